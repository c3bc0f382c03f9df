package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// TestCallWithoutAWholeResponseMayHaveRun guards against an entry instance that breaks off in its response: a part of
// it without a length is a success with an empty body.
func TestCallWithoutAWholeResponseMayHaveRun(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, out := range map[string]string{
		"no length": head + "\r\n", "short": head + "Content-Length: 4\r\n\r\n\x0a\x01r", "head cut": head, "chunks without end": head + "Transfer-Encoding: chunked\r\n\r\n",
		"refusal short": "HTTP/1.1 503 X\r\nContent-Type: application/json\r\nContent-Length: 99\r\n\r\n{\"code\":\"unavailable\"}",
	} {
		t.Run(name, func(t *testing.T) {
			listen, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer listen.Close()
			go func() {
				c, err := listen.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, out)
				}
			}()
			c := &Client{cache: map[string]location{"s": {[]string{listen.Addr().String()}, time.Now().Add(time.Hour)}}, HTTP: &http.Client{Transport: &http.Transport{}}}
			_, err = c.Call(t.Context(), &callerv1.CallRequest{Service: "s"})
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Ran)
		})
	}
}
