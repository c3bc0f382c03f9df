package courier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeadCutAtAnyByteIsNoResponse guards against a response that is made of a part of a head: its status and
// framing are not known, so it is neither a success nor a refusal.
func TestHeadCutAtAnyByteIsNoResponse(t *testing.T) {
	const id = "Id: 1\r\n"
	heads := map[string]string{
		"length":          "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 12\r\n\r\n",
		"length first":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + id + "\r\n",
		"chunks":          "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n",
		"no framing":      "HTTP/1.1 200 OK\r\n" + id + "\r\n",
		"length 0":        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + id + "\r\n",
		"bare line feeds": "HTTP/1.1 200 OK\nId: 1\nContent-Length: 12\n\n",
		"refusal":         "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n" + id + "\r\n",
		"behind 100":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + id + "\r\n",
		"behind 102":      "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" + id + "\r\n",
	}
	for ending, isReset := range map[string]bool{"close": false, "reset": true} {
		for name, head := range heads {
			t.Run(ending+"/"+name, func(t *testing.T) {
				for cut := range head {
					address := serve(t, func(_ int, c net.Conn) {
						if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							_, _ = io.WriteString(c, head[:cut])
						}
						if isReset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						_ = c.Close()
					})
					p := &Pool{IDHeader: "Id"}
					for _, takesProgress := range []bool{false, true} {
						_, err := p.Do(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, ID: "1", TakesProgress: takesProgress})
						require.Error(t, err, "%q", head[:cut])
						require.True(t, WasSent(err), "it may have run: %q", head[:cut])
						_, err = p.Call(t.Context(), address, http.MethodPost, "/order", nil, []byte("{}"))
						require.Error(t, err, "%q", head[:cut])
						require.True(t, WasSent(err), "%q", head[:cut])
					}
				}
			})
		}
	}
}
