// Package attempter makes one attempt at an upstream and judges its end.
//
// Every attempt has its own id, which the upstream echoes on every message. A
// stream ends with an end mark and a count; anything else is no whole answer.
//
// An attempt is NotRun only if no connection was had, so that no byte left, or
// if the upstream said so in a reply with this attempt's id. Everything else
// that is no answer may have run.
package attempter

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Kind says how an attempt ended that was not answered.
type Kind uint8

// Kinds of failures.
const (
	// KindBroken means that the connection broke off, or the upstream failed.
	KindBroken Kind = iota
	// KindUnreachable means that no connection was had.
	KindUnreachable
	// KindRefused means that the upstream refused and did not run the attempt.
	KindRefused
	// KindLeaving means that it refused since it leaves.
	KindLeaving
	// KindIncomplete means that the answer was not whole or not this attempt's.
	KindIncomplete
	// KindCaller means that the caller went away.
	KindCaller
)

// Failure is the end of an attempt that was not answered. It is an error that
// wraps its verdict.
type Failure struct {
	verdict.Refusal
	Kind Kind
}

// Unwrap returns the verdict.
func (f Failure) Unwrap() error { return f.Refusal }

// Headers of an upstream's error replies.
const (
	// HeaderLeaving says "true" if the upstream takes no new work any more.
	HeaderLeaving = "Primrosedrift-Leaving"
	// HeaderAttempt echoes the attempt that the error is about.
	HeaderAttempt = "Primrosedrift-Attempt"
	// HeaderRan says "not-run" if the upstream did not run the attempt.
	HeaderRan = "Primrosedrift-Ran"
)

// Attempter makes attempts. HTTP must be set.
type Attempter struct {
	HTTP *http.Client
}

// trace notes whether a connection was had.
func trace(ctx context.Context) (context.Context, *atomic.Bool) {
	var connected atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), &connected
}

// judge returns the verdict on an attempt that ended with err.
func judge(err error, attempt string, connected bool) Failure {
	if !connected {
		return Failure{verdict.Refuse(verdict.ReasonUpstreamFailed, 0, "no connection: %v", err), KindUnreachable}
	}
	var ce *connect.Error
	if !errors.As(err, &ce) || !connect.IsWireError(err) || ce.Meta().Get(HeaderAttempt) != attempt || ce.Meta().Get(HeaderRan) != "not-run" {
		return Failure{verdict.Doubt(verdict.ReasonUpstreamFailed, 0, "attempt broke off: %v", err), KindBroken}
	}
	f := Failure{verdict.Refuse(verdict.ReasonUpstreamFailed, 0, "upstream refused: %v", err), KindRefused}
	if ce.Meta().Get(HeaderLeaving) == "true" {
		f.Kind = KindLeaving
	}
	return f
}

// incomplete returns the failure of an answer that is not whole.
func incomplete(format string, args ...any) Failure {
	return Failure{verdict.Doubt(verdict.ReasonIncompleteReply, 0, format, args...), KindIncomplete}
}

// Generate streams an answer and calls emit for every token, in order and from
// the request's first token on. It returns the token count at the end mark.
// The request's attempt id is set here.
func (a *Attempter) Generate(ctx context.Context, address string, req *upstreamv1.GenerateRequest, emit func(index uint32, token string) error) (uint32, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, connected := trace(ctx)
	req.Attempt = ulid.Make().String()
	stream, err := upstreamv1connect.NewEngineCommandsClient(a.HTTP, "http://"+address).
		Generate(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, judge(err, req.GetAttempt(), connected.Load())
	}
	defer stream.Close()
	next := req.GetFromToken()
	for stream.Receive() {
		m := stream.Msg()
		switch {
		case m.GetAttempt() != req.GetAttempt():
			return 0, incomplete("message of another attempt")
		case m.GetEnd() && m.GetCount() != next:
			return 0, incomplete("end mark counts %d tokens, %d came", m.GetCount(), next)
		case m.GetEnd():
			return next, nil
		case m.GetIndex() != next:
			return 0, incomplete("token %d came, %d was next", m.GetIndex(), next)
		}
		if err := emit(next, m.GetToken()); err != nil {
			return 0, Failure{verdict.Doubt(verdict.ReasonCanceled, 0, "caller went away: %v", err), KindCaller}
		}
		next++
	}
	if stream.Err() == nil {
		return 0, incomplete("stream ended without an end mark")
	}
	f := judge(stream.Err(), req.GetAttempt(), connected.Load())
	if next > req.GetFromToken() {
		f.Refusal = f.After(verdict.MayHaveRun) // it ran: tokens came
	}
	return 0, f
}

// Call calls a plain service once.
func (a *Attempter) Call(ctx context.Context, address string, req *upstreamv1.CallRequest) ([]byte, error) {
	ctx, connected := trace(ctx)
	req.Attempt = ulid.Make().String()
	resp, err := upstreamv1connect.NewServiceCommandsClient(a.HTTP, "http://"+address).
		Call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, judge(err, req.GetAttempt(), connected.Load())
	}
	if resp.Msg.GetAttempt() != req.GetAttempt() {
		return nil, incomplete("answer of another attempt")
	}
	return resp.Msg.GetBody(), nil
}
