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

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// errNotForwarded is returned if no byte of the request was sent to the other
// instance.
var errNotForwarded = errors.New("no connection to the other entry instance")

// forwardMargin is how much longer than the request's own limit the other
// instance may take, and the maximum pause between two tokens of a response.
const forwardMargin = 10 * time.Second

// forwardTimeout returns how long the other instance may take to answer or refuse
// a request: the customer's waiting time, or deadlineMs if it is shorter and not
// zero, plus forwardMargin.
func (e *Entry) forwardTimeout(customer string, deadlineMs uint32) time.Duration {
	var waitingMs uint32
	e.keeper.View(func(s *applier.State) { waitingMs = s.Config.Contracts[customer].GetWaitingTimeMs() })
	if deadlineMs > 0 && (waitingMs == 0 || deadlineMs < waitingMs) {
		waitingMs = deadlineMs
	}
	return time.Duration(waitingMs)*time.Millisecond + forwardMargin
}

// forwarder forwards requests to another entry instance. It marks each forwarded
// request, so that it is not forwarded again.
type forwarder struct {
	HTTP *http.Client
	// Scheme is the URL scheme of the callers' address of an instance, which is the
	// same on all instances.
	Scheme string
}

// traceConnection returns a context for one call and a flag that is set once the
// call has obtained a connection.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	var hasConn atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { hasConn.Store(true) },
	}), &hasConn
}

// forwardError marks err as errNotForwarded if the call had no connection, and
// otherwise returns the verdict of the other instance.
func forwardError(err error, hasConn *atomic.Bool) error {
	if !hasConn.Load() {
		return errors.Mark(err, errNotForwarded)
	}
	return verdict.FromConnect(err)
}

// call forwards a request to a plain service.
func (f *forwarder) call(ctx context.Context, address string, req *callerv1.CallRequest, timeout time.Duration) (*callerv1.CallResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, hasConn := traceConnection(ctx)
	sent := proto.CloneOf(req)
	sent.Forwarded = true
	resp, err := callerv1connect.NewCallerCommandsClient(courier.FramedClient(f.HTTP), f.Scheme+"://"+address).Call(ctx, connect.NewRequest(sent))
	if err != nil {
		return nil, forwardError(err, hasConn)
	}
	return resp.Msg, nil
}

// generate forwards a request to a model and passes each message of the response
// to send. timeout bounds the time to the first message.
func (f *forwarder) generate(ctx context.Context, address string, req *callerv1.GenerateRequest, timeout time.Duration, send func(*callerv1.GenerateResponse) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(timeout, cancel) // until the first token
	defer watchdog.Stop()
	ctx, hasConn := traceConnection(ctx)
	sent := proto.CloneOf(req)
	sent.Forwarded = true
	stream, err := callerv1connect.NewCallerCommandsClient(courier.FramedClient(f.HTTP), f.Scheme+"://"+address).Generate(ctx, connect.NewRequest(sent))
	if err != nil {
		return forwardError(err, hasConn)
	}
	defer stream.Close()
	for stream.Receive() {
		m := stream.Msg()
		watchdog.Reset(forwardMargin)
		if err := send(m); err != nil {
			return verdict.RefuseMayHaveRun(verdict.ReasonCanceled, 0, "caller went away")
		}
		if m.GetEnd() {
			return nil
		}
	}
	if stream.Err() == nil {
		return verdict.RefuseMayHaveRun(verdict.ReasonIncompleteReply, 0, "the other entry instance sent no end mark")
	}
	return forwardError(stream.Err(), hasConn)
}
