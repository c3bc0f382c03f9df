package attempter

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// fakeUpstream is an upstream whose methods are function fields.
type fakeUpstream struct {
	generate func(context.Context, *upstreamv1.GenerateRequest, *connect.ServerStream[upstreamv1.GenerateResponse]) error
	call     func(context.Context, *upstreamv1.CallRequest) (*upstreamv1.CallResponse, error)
}

func (f fakeUpstream) Generate(ctx context.Context, r *connect.Request[upstreamv1.GenerateRequest], s *connect.ServerStream[upstreamv1.GenerateResponse]) error {
	return f.generate(ctx, r.Msg, s)
}

func (fakeUpstream) Order(context.Context, *connect.Request[upstreamv1.OrderRequest]) (*connect.Response[upstreamv1.OrderResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("no orders"))
}

func (f fakeUpstream) Call(ctx context.Context, r *connect.Request[upstreamv1.CallRequest]) (*connect.Response[upstreamv1.CallResponse], error) {
	resp, err := f.call(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func serve(t *testing.T, f fakeUpstream) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(upstreamv1connect.NewEngineCommandsHandler(f))
	mux.Handle(upstreamv1connect.NewServiceCommandsHandler(f))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func refusal(code connect.Code, attempt, ran string) error {
	err := connect.NewError(code, errors.New("refused"))
	err.Meta().Set(HeaderAttempt, attempt)
	err.Meta().Set(HeaderRan, ran)
	return err
}

// Every way in which a stream of tokens can end, and its verdict. A row fails if
// an attempt that may have run is reported as not-run, or an incomplete response
// as complete.
func TestGenerateVerdicts(t *testing.T) {
	type send = func(...*upstreamv1.GenerateResponse) error
	tok := func(attempt string, i uint32) *upstreamv1.GenerateResponse {
		return &upstreamv1.GenerateResponse{Attempt: attempt, Index: i, Token: "t"}
	}
	end := func(attempt string, n uint32) *upstreamv1.GenerateResponse {
		return &upstreamv1.GenerateResponse{Attempt: attempt, End: true, Count: n}
	}
	for _, tc := range []struct {
		name       string
		respond    func(a string, send send) error
		isComplete bool
		ran        verdict.Ran
		reason     verdict.Reason
		numEmitted int
	}{
		{"complete response", func(a string, s send) error { return s(tok(a, 0), tok(a, 1), end(a, 2)) }, true, 0, "", 2},
		{"empty complete response", func(a string, s send) error { return s(end(a, 0)) }, true, 0, "", 0},
		{"messages after the end mark", func(a string, s send) error { return s(tok(a, 0), end(a, 1), tok(a, 1)) }, true, 0, "", 1},
		{"refused as not run", func(a string, _ send) error { return refusal(connect.CodeResourceExhausted, a, "not-run") }, false, verdict.NotRun, verdict.ReasonUpstreamFailed, 0},
		{"refused with the id of another attempt", func(string, send) error { return refusal(connect.CodeResourceExhausted, "other", "not-run") }, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 0},
		{"refused without the ran header", func(a string, _ send) error { return refusal(connect.CodeUnavailable, a, "") }, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 0},
		{"refused as not run after a token", func(a string, s send) error {
			_ = s(tok(a, 0))
			return refusal(connect.CodeAborted, a, "not-run")
		}, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 1},
		{"no end mark", func(a string, s send) error { return s(tok(a, 0)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"end mark counts too many", func(a string, s send) error { return s(tok(a, 0), end(a, 2)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"end mark counts too few", func(a string, s send) error { return s(tok(a, 0), tok(a, 1), end(a, 1)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 2},
		{"duplicate token", func(a string, s send) error { return s(tok(a, 0), tok(a, 0), end(a, 1)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"missing token", func(a string, s send) error { return s(tok(a, 0), tok(a, 2), end(a, 3)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"response of another attempt", func(_ string, s send) error { return s(tok("other", 0), end("other", 1)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 0},
		{"end mark of another attempt", func(a string, s send) error { return s(tok(a, 0), end("other", 1)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"aborted before the first message", func(string, send) error { panic(http.ErrAbortHandler) }, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 0},
		{"aborted after a token", func(a string, s send) error {
			_ = s(tok(a, 0))
			panic(http.ErrAbortHandler)
		}, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := serve(t, fakeUpstream{generate: func(_ context.Context, r *upstreamv1.GenerateRequest, s *connect.ServerStream[upstreamv1.GenerateResponse]) error {
				return tc.respond(r.GetAttempt(), func(ms ...*upstreamv1.GenerateResponse) error {
					for _, m := range ms {
						if err := s.Send(m); err != nil {
							return err
						}
					}
					return nil
				})
			}})
			numEmitted := 0
			a := &Attempter{HTTP: &http.Client{Transport: &http.Transport{}}}
			_, err := a.Generate(context.Background(), addr, &upstreamv1.GenerateRequest{}, func(uint32, string, string) error {
				numEmitted++
				return nil
			})
			require.Equal(t, tc.numEmitted, numEmitted)
			if tc.isComplete {
				require.NoError(t, err)
				return
			}
			r := verdict.FromError(err)
			require.Equal(t, tc.ran, r.Ran, r)
			require.Equal(t, tc.reason, r.Reason, r)
		})
	}
}

// serveConns calls handle for every connection and closes it.
func serveConns(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			handle(c)
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

func readRequest(c net.Conn) {
	_, _ = http.ReadRequest(bufio.NewReader(c))
}

// writePartialFrame responds with the first bytes of a message.
func writePartialFrame(c net.Conn) {
	readRequest(c)
	data, _ := proto.Marshal(&upstreamv1.GenerateResponse{Token: "a long token"})
	frame := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(data)))
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\nTransfer-Encoding: chunked\r\n\r\n"))
	_, _ = c.Write([]byte("8\r\n"))
	_, _ = c.Write(append(frame, data...)[:8])
}

// A request on a connection that is closed after it was established may have
// run; a refused connection cannot have carried the request.
func TestClosedConnectionMayHaveRun(t *testing.T) {
	const refused = "127.0.0.1:1" // no test listens on this port, so connections are refused
	for _, tc := range []struct {
		name string
		addr string
		ran  verdict.Ran
	}{
		{"refused", refused, verdict.NotRun},
		{"closed on accept", serveConns(t, func(net.Conn) {}), verdict.MayHaveRun},
		{"closed after the request", serveConns(t, readRequest), verdict.MayHaveRun},
		{"closed within the response", serveConns(t, writePartialFrame), verdict.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := &Attempter{HTTP: &http.Client{Transport: &http.Transport{}}}
			_, err := a.Generate(context.Background(), tc.addr, &upstreamv1.GenerateRequest{}, func(uint32, string, string) error { return nil })
			require.Equal(t, tc.ran, verdict.FromError(err).Ran, err)
			_, err = a.Call(context.Background(), tc.addr, &upstreamv1.CallRequest{})
			require.Equal(t, tc.ran, verdict.FromError(err).Ran, err)
		})
	}
}

// Every way in which a call can end, and its verdict.
func TestCallVerdicts(t *testing.T) {
	for _, tc := range []struct {
		name       string
		respond    func(a string) (*upstreamv1.CallResponse, error)
		isComplete bool
		ran        verdict.Ran
	}{
		{"response", func(a string) (*upstreamv1.CallResponse, error) { return &upstreamv1.CallResponse{Attempt: a}, nil }, true, 0},
		{"response of another attempt", func(string) (*upstreamv1.CallResponse, error) { return &upstreamv1.CallResponse{Attempt: "other"}, nil }, false, verdict.MayHaveRun},
		{"response without an attempt id", func(string) (*upstreamv1.CallResponse, error) { return &upstreamv1.CallResponse{}, nil }, false, verdict.MayHaveRun},
		{"refused as not run", func(a string) (*upstreamv1.CallResponse, error) {
			return nil, refusal(connect.CodeUnavailable, a, "not-run")
		}, false, verdict.NotRun},
		{"refused with the id of another attempt", func(string) (*upstreamv1.CallResponse, error) {
			return nil, refusal(connect.CodeUnavailable, "other", "not-run")
		}, false, verdict.MayHaveRun},
		{"failed", func(string) (*upstreamv1.CallResponse, error) {
			return nil, connect.NewError(connect.CodeInternal, errors.New("failed"))
		}, false, verdict.MayHaveRun},
		{"connection aborted", func(string) (*upstreamv1.CallResponse, error) { panic(http.ErrAbortHandler) }, false, verdict.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := serve(t, fakeUpstream{call: func(_ context.Context, r *upstreamv1.CallRequest) (*upstreamv1.CallResponse, error) {
				return tc.respond(r.GetAttempt())
			}})
			a := &Attempter{HTTP: &http.Client{Transport: &http.Transport{}}}
			_, err := a.Call(context.Background(), addr, &upstreamv1.CallRequest{})
			if tc.isComplete {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tc.ran, verdict.FromError(err).Ran, err)
		})
	}
}
