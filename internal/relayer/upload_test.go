package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPartOfAResponseToAnUploadIsNotWhole guards against a part of a response that reaches the client as a whole one,
// since its upstream resets the connection, or does not read on, while the request is still being written.
func TestPartOfAResponseToAnUploadIsNotWhole(t *testing.T) {
	reset := func(delay time.Duration) func(net.Conn, *http.Request) {
		return func(c net.Conn, _ *http.Request) {
			time.Sleep(delay)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
	for name, end := range map[string]func(net.Conn, *http.Request){
		"reset at once": reset(0), "reset after a while": reset(100 * time.Millisecond),
		"reset after a part of the request": func(c net.Conn, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 200_000)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"not read on": func(net.Conn, *http.Request) { time.Sleep(3 * time.Second) },
	} {
		for _, path := range []string{"/once/", "/stream/", "/resumable/"} {
			for _, size := range []int{512 << 10, 1_000_000} {
				t.Run(fmt.Sprint(name, path, size), func(t *testing.T) {
					const numRequests = 3
					var fixtures []*fixture
					var requests []*http.Request
					for range numRequests {
						up := rawUpstream(t, func(c net.Conn, r *http.Request) {
							send(c, "HTTP/1.1 200 OK\r\n"+hID+": "+r.Header.Get(hID)+"\r\n"+stamped+"\r\n"+event(1)+event(2))
							end(c, r)
						})
						g := newFixture(t, up)
						fixtures, requests = append(fixtures, g), append(requests, g.request("POST", path, strings.Repeat("x", size)))
					}
					t.Parallel()
					for n, g := range fixtures {
						resp, got := g.do(requests[n])
						if resp.StatusCode == http.StatusOK {
							require.Contains(t, got, "!", "it must not look complete")
							continue
						}
						require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, resp.StatusCode)
					}
				})
			}
		}
	}
}
