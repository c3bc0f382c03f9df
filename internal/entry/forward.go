package entry

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// errNotForwarded says that nothing of the request left for the other instance.
var errNotForwarded = errors.New("no connection to the other entry instance")

// forwardGrace is how much longer than its limit the other instance may take,
// and how long an answer that has begun may be silent.
const forwardGrace = 10 * time.Second

// forwardLimit returns how long the other instance may take to answer or refuse.
func (e *Entry) forwardLimit(customer string, wantedMs uint32) time.Duration {
	var waitingMs uint32
	e.keeper.View(func(s *folder.State) { waitingMs = s.Config.Contracts[customer].GetWaitingTimeMs() })
	if wantedMs > 0 && (waitingMs == 0 || wantedMs < waitingMs) {
		waitingMs = wantedMs
	}
	return time.Duration(waitingMs)*time.Millisecond + forwardGrace
}

// forwarder sends requests on to another entry instance. A request that it has
// sent is marked, so that it is not sent on again.
type forwarder struct {
	HTTP *http.Client
}

// connected reports through the returned flag whether a connection was had.
func connected(ctx context.Context) (context.Context, *atomic.Bool) {
	var had atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { had.Store(true) },
	}), &had
}

// judge returns errNotForwarded, or the other instance's verdict.
func judge(err error, had *atomic.Bool) error {
	if !had.Load() {
		return errors.Mark(err, errNotForwarded)
	}
	return verdict.FromConnect(err)
}

// call forwards a request to a plain service.
func (f *forwarder) call(ctx context.Context, address string, req *callerv1.CallRequest, limit time.Duration) (*callerv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, had := connected(ctx)
	sent := proto.CloneOf(req)
	sent.Forwarded = true
	resp, err := callerv1connect.NewCallerCommandsClient(f.HTTP, "http://"+address).Call(ctx, connect.NewRequest(sent))
	if err != nil {
		return nil, judge(err, had)
	}
	return resp.Msg, nil
}

// generate forwards a request to a model, and its answer to send.
func (f *forwarder) generate(ctx context.Context, address string, req *callerv1.GenerateRequest, limit time.Duration, send func(*callerv1.GenerateResponse) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(limit, cancel) // for the first token
	defer watchdog.Stop()
	ctx, had := connected(ctx)
	sent := proto.CloneOf(req)
	sent.Forwarded = true
	stream, err := callerv1connect.NewCallerCommandsClient(f.HTTP, "http://"+address).Generate(ctx, connect.NewRequest(sent))
	if err != nil {
		return judge(err, had)
	}
	defer stream.Close()
	for stream.Receive() {
		m := stream.Msg()
		watchdog.Reset(forwardGrace)
		if err := send(m); err != nil {
			return verdict.Doubt(verdict.ReasonCanceled, 0, "caller went away")
		}
		if m.GetEnd() {
			return nil
		}
	}
	if stream.Err() == nil {
		return verdict.Doubt(verdict.ReasonIncompleteReply, 0, "the other entry instance sent no end mark")
	}
	return judge(stream.Err(), had)
}
