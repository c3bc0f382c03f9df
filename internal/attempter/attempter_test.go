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

// fakeUpstream answers with functions.
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

// Every way in which a stream of tokens can end, and the verdict on it. A
// wrong promise of not-run, or of a whole answer, fails the row.
func TestGenerateVerdicts(t *testing.T) {
	type send = func(...*upstreamv1.GenerateResponse) error
	tok := func(attempt string, i uint32) *upstreamv1.GenerateResponse {
		return &upstreamv1.GenerateResponse{Attempt: attempt, Index: i, Token: "t"}
	}
	end := func(attempt string, n uint32) *upstreamv1.GenerateResponse {
		return &upstreamv1.GenerateResponse{Attempt: attempt, End: true, Count: n}
	}
	for _, tc := range []struct {
		name    string
		answer  func(a string, send send) error
		whole   bool
		ran     verdict.Ran
		reason  verdict.Reason
		emitted int
	}{
		{"whole answer", func(a string, s send) error { return s(tok(a, 0), tok(a, 1), end(a, 2)) }, true, 0, "", 2},
		{"empty whole answer", func(a string, s send) error { return s(end(a, 0)) }, true, 0, "", 0},
		{"messages after the end mark", func(a string, s send) error { return s(tok(a, 0), end(a, 1), tok(a, 1)) }, true, 0, "", 1},
		{"refused as not run", func(a string, _ send) error { return refusal(connect.CodeResourceExhausted, a, "not-run") }, false, verdict.NotRun, verdict.ReasonUpstreamFailed, 0},
		{"refused about another attempt", func(string, send) error { return refusal(connect.CodeResourceExhausted, "other", "not-run") }, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 0},
		{"refused without a word on running", func(a string, _ send) error { return refusal(connect.CodeUnavailable, a, "") }, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 0},
		{"refused as not run after a token", func(a string, s send) error {
			_ = s(tok(a, 0))
			return refusal(connect.CodeAborted, a, "not-run")
		}, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 1},
		{"no end mark", func(a string, s send) error { return s(tok(a, 0)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"end mark counts too many", func(a string, s send) error { return s(tok(a, 0), end(a, 2)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"end mark counts too few", func(a string, s send) error { return s(tok(a, 0), tok(a, 1), end(a, 1)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 2},
		{"token doubled", func(a string, s send) error { return s(tok(a, 0), tok(a, 0), end(a, 1)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"token missing", func(a string, s send) error { return s(tok(a, 0), tok(a, 2), end(a, 3)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"crossed answer", func(_ string, s send) error { return s(tok("other", 0), end("other", 1)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 0},
		{"crossed end mark", func(a string, s send) error { return s(tok(a, 0), end("other", 1)) }, false, verdict.MayHaveRun, verdict.ReasonIncompleteReply, 1},
		{"cut before the first message", func(string, send) error { panic(http.ErrAbortHandler) }, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 0},
		{"cut after a token", func(a string, s send) error {
			_ = s(tok(a, 0))
			panic(http.ErrAbortHandler)
		}, false, verdict.MayHaveRun, verdict.ReasonUpstreamFailed, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := serve(t, fakeUpstream{generate: func(_ context.Context, r *upstreamv1.GenerateRequest, s *connect.ServerStream[upstreamv1.GenerateResponse]) error {
				return tc.answer(r.GetAttempt(), func(ms ...*upstreamv1.GenerateResponse) error {
					for _, m := range ms {
						if err := s.Send(m); err != nil {
							return err
						}
					}
					return nil
				})
			}})
			emitted := 0
			a := &Attempter{HTTP: &http.Client{Transport: &http.Transport{}}}
			_, err := a.Generate(context.Background(), addr, &upstreamv1.GenerateRequest{}, func(uint32, string) error {
				emitted++
				return nil
			})
			require.Equal(t, tc.emitted, emitted)
			if tc.whole {
				require.NoError(t, err)
				return
			}
			r := verdict.Of(err)
			require.Equal(t, tc.ran, r.Ran, r)
			require.Equal(t, tc.reason, r.Reason, r)
		})
	}
}

// cutter accepts connections, reads as much as it is told and closes.
func cutter(t *testing.T, read func(net.Conn)) string {
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
			read(c)
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

func readRequest(c net.Conn) {
	_, _ = http.ReadRequest(bufio.NewReader(c))
}

// partialFrame answers with the first bytes of a message and closes.
func partialFrame(c net.Conn) {
	readRequest(c)
	data, _ := proto.Marshal(&upstreamv1.GenerateResponse{Token: "a long token"})
	frame := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(data)))
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\nTransfer-Encoding: chunked\r\n\r\n"))
	_, _ = c.Write([]byte("8\r\n"))
	_, _ = c.Write(append(frame, data...)[:8])
}

// A connection that is cut at any moment after it was had may have carried the
// request; one that was refused did not.
func TestConnectionCuts(t *testing.T) {
	const refused = "127.0.0.1:1" // a port that no test serves on and no connection is given
	for _, tc := range []struct {
		name string
		addr string
		ran  verdict.Ran
	}{
		{"refused", refused, verdict.NotRun},
		{"closed on accept", cutter(t, func(net.Conn) {}), verdict.MayHaveRun},
		{"closed after the request", cutter(t, readRequest), verdict.MayHaveRun},
		{"closed within the answer", cutter(t, partialFrame), verdict.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := &Attempter{HTTP: &http.Client{Transport: &http.Transport{}}}
			_, err := a.Generate(context.Background(), tc.addr, &upstreamv1.GenerateRequest{}, func(uint32, string) error { return nil })
			require.Equal(t, tc.ran, verdict.Of(err).Ran, err)
			_, err = a.Call(context.Background(), tc.addr, &upstreamv1.CallRequest{})
			require.Equal(t, tc.ran, verdict.Of(err).Ran, err)
		})
	}
}

// Every way in which a call can end, and the verdict on it.
func TestCallVerdicts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer func(a string) (*upstreamv1.CallResponse, error)
		whole  bool
		ran    verdict.Ran
	}{
		{"answer", func(a string) (*upstreamv1.CallResponse, error) { return &upstreamv1.CallResponse{Attempt: a}, nil }, true, 0},
		{"answer of another attempt", func(string) (*upstreamv1.CallResponse, error) { return &upstreamv1.CallResponse{Attempt: "other"}, nil }, false, verdict.MayHaveRun},
		{"answer without an attempt", func(string) (*upstreamv1.CallResponse, error) { return &upstreamv1.CallResponse{}, nil }, false, verdict.MayHaveRun},
		{"refused as not run", func(a string) (*upstreamv1.CallResponse, error) {
			return nil, refusal(connect.CodeUnavailable, a, "not-run")
		}, false, verdict.NotRun},
		{"refused about another attempt", func(string) (*upstreamv1.CallResponse, error) {
			return nil, refusal(connect.CodeUnavailable, "other", "not-run")
		}, false, verdict.MayHaveRun},
		{"failed", func(string) (*upstreamv1.CallResponse, error) {
			return nil, connect.NewError(connect.CodeInternal, errors.New("failed"))
		}, false, verdict.MayHaveRun},
		{"cut", func(string) (*upstreamv1.CallResponse, error) { panic(http.ErrAbortHandler) }, false, verdict.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := serve(t, fakeUpstream{call: func(_ context.Context, r *upstreamv1.CallRequest) (*upstreamv1.CallResponse, error) {
				return tc.answer(r.GetAttempt())
			}})
			a := &Attempter{HTTP: &http.Client{Transport: &http.Transport{}}}
			_, err := a.Call(context.Background(), addr, &upstreamv1.CallRequest{})
			if tc.whole {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tc.ran, verdict.Of(err).Ran, err)
		})
	}
}
