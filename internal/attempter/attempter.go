// Package attempter makes one attempt at an upstream and returns its verdict.
//
// Every attempt has its own id, which the upstream echoes in every message. A
// complete stream ends with an end mark and the token count; any other stream
// is incomplete.
//
// A failed attempt is NotRun only if no connection was established, so that no
// byte was sent, or if the upstream reported it in a reply with this attempt's
// id. Every other failed attempt may have run.
package attempter

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Kind is how an attempt failed.
type Kind uint8

// Kinds of failures.
const (
	// KindBroken means that the connection was interrupted, or that the upstream
	// failed.
	KindBroken Kind = iota
	// KindUnreachable means that no connection was established.
	KindUnreachable
	// KindRefused means that the upstream refused and did not run the attempt.
	KindRefused
	// KindLeaving means that the upstream refused because it is shutting down.
	KindLeaving
	// KindIncomplete means that the response was incomplete, or belonged to
	// another attempt.
	KindIncomplete
	// KindCanceled means that the caller disconnected.
	KindCanceled
)

// Failure is the error of a failed attempt. It wraps the attempt's verdict.
type Failure struct {
	verdict.Refusal
	Kind Kind
}

// Unwrap returns the verdict.
func (f Failure) Unwrap() error { return f.Refusal }

// Headers of an upstream's error replies.
const (
	// HeaderLeaving is "true" if the upstream accepts no new requests.
	HeaderLeaving = "Primrosedrift-Leaving"
	// HeaderAttempt echoes the id of the attempt that failed.
	HeaderAttempt = "Primrosedrift-Attempt"
	// HeaderRan is "not-run" if the upstream did not run the attempt.
	HeaderRan = "Primrosedrift-Ran"
)

// MaxMessageBytes bounds a message of an upstream, which is held as a whole.
const MaxMessageBytes = 16 << 20

// Attempter makes attempts. HTTP must be set.
type Attempter struct {
	HTTP *http.Client
}

// limited returns a copy of a client that reads no more of a body than a message may have. The codec
// holds no more either, but reads on to learn the size.
func limited(c *http.Client) *http.Client {
	out := *c
	out.Transport = courier.LimitedTransport{RoundTripper: c.Transport, MaxBodyBytes: MaxMessageBytes + 1}
	return &out
}

// withConnTrace returns a context that records whether a connection was
// established.
func withConnTrace(ctx context.Context) (context.Context, *atomic.Bool) {
	var connected atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}), &connected
}

// failureOf returns the failure of an attempt that ended with err.
func failureOf(err error, attempt string, isConnected bool) Failure {
	if !isConnected {
		return Failure{verdict.Refuse(verdict.ReasonUpstreamFailed, 0, "no connection: %v", err), KindUnreachable}
	}
	var ce *connect.Error
	if !errors.As(err, &ce) || !connect.IsWireError(err) || ce.Meta().Get(HeaderAttempt) != attempt || ce.Meta().Get(HeaderRan) != "not-run" {
		return Failure{verdict.RefuseMayHaveRun(verdict.ReasonUpstreamFailed, 0, "attempt broke off: %v", err), KindBroken}
	}
	f := Failure{verdict.Refuse(verdict.ReasonUpstreamFailed, 0, "upstream refused: %v", err), KindRefused}
	if ce.Meta().Get(HeaderLeaving) == "true" {
		f.Kind = KindLeaving
	}
	return f
}

// incomplete returns the failure of an incomplete response.
func incomplete(format string, args ...any) Failure {
	return Failure{verdict.RefuseMayHaveRun(verdict.ReasonIncompleteReply, 0, format, args...), KindIncomplete}
}

// Generate streams a response and calls emit for every token, in order and
// starting at the request's FromToken, with the software version that wrote it. It returns the token count at the end
// mark, and sets the request's attempt id.
func (a *Attempter) Generate(ctx context.Context, address string, req *upstreamv1.GenerateRequest, emit func(index uint32, token, software string) error) (uint32, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, connected := withConnTrace(ctx)
	req.Attempt = ulid.Make().String()
	stream, err := upstreamv1connect.NewEngineCommandsClient(courier.FramedClient(a.HTTP), "http://"+address, connect.WithReadMaxBytes(MaxMessageBytes)).
		Generate(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, failureOf(err, req.GetAttempt(), connected.Load())
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
		if want := req.GetSoftware(); want != "" && m.GetSoftware() != want {
			return 0, incomplete("token of software version %q, not of %q", m.GetSoftware(), want)
		}
		if err := emit(next, m.GetToken(), m.GetSoftware()); err != nil {
			return 0, Failure{verdict.RefuseMayHaveRun(verdict.ReasonCanceled, 0, "caller went away: %v", err), KindCanceled}
		}
		next++
	}
	if stream.Err() == nil {
		return 0, incomplete("stream ended without an end mark")
	}
	f := failureOf(stream.Err(), req.GetAttempt(), connected.Load())
	if next > req.GetFromToken() {
		f.Refusal = f.AfterAttempts(verdict.MayHaveRun) // it ran: tokens were received
	}
	return 0, f
}

// Call calls a plain service once. It sets the request's attempt id.
func (a *Attempter) Call(ctx context.Context, address string, req *upstreamv1.CallRequest) ([]byte, error) {
	ctx, connected := withConnTrace(ctx)
	req.Attempt = ulid.Make().String()
	resp, err := upstreamv1connect.NewServiceCommandsClient(limited(courier.FramedClient(a.HTTP)), "http://"+address, connect.WithReadMaxBytes(MaxMessageBytes)).
		Call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, failureOf(err, req.GetAttempt(), connected.Load())
	}
	if resp.Msg.GetAttempt() != req.GetAttempt() {
		return nil, incomplete("answer of another attempt")
	}
	return resp.Msg.GetBody(), nil
}
