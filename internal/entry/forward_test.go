package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/settings"
	"github.com/primrosedrift/primrosedrift/internal/standin/certifier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// echo answers calls with their body.
type echo struct {
	callerv1connect.UnimplementedCallerCommandsHandler
}

func (echo) Call(_ context.Context, r *connect.Request[callerv1.CallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	return connect.NewResponse(&callerv1.CallResponse{Body: r.Msg.GetBody()}), nil
}

// Instances whose callers use TLS forward requests to each other over TLS, with the
// same keys.
func TestForwardingUsesTheKeysOfCallers(t *testing.T) {
	files, err := certifier.Write(t.TempDir())
	require.NoError(t, err)
	e := New(settings.Settings{Instance: "entry-1", TLS: settings.TLS{Caller: files}}, zap.NewNop())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerCommandsHandler(echo{}))
	s, err := e.serve(address, mux, files)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	resp, err := e.forwarder.call(t.Context(), address, &callerv1.CallRequest{Body: []byte("x")}, 10*time.Second)
	require.NoError(t, err)
	require.Equal(t, "x", string(resp.GetBody()))
}

// TestForwardedCallWithoutAWholeResponseFails guards against an instance that breaks off in its response: a part of
// it without a length is a success with an empty body.
func TestForwardedCallWithoutAWholeResponseFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n")
		}
	}()
	f := forwarder{HTTP: &http.Client{Transport: &http.Transport{}}, Scheme: "http"}
	_, err = f.call(t.Context(), ln.Addr().String(), &callerv1.CallRequest{}, 10*time.Second)
	require.Error(t, err)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Ran)
}
