package relayer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	info100 = "HTTP/1.1 100 Continue\r\n\r\n"
	info102 = "HTTP/1.1 102 Processing\r\n\r\n"
)

// routesOfAllKinds are the paths of the routes that newFixture knows.
var routesOfAllKinds = []string{"/once/", "/again/", "/stream/", "/resumable/"}

// brokenUpstream returns an upstream that sends what out holds at the time, with the request's id in place
// of ID, and then closes the connection: with a reset, or in order.
func brokenUpstream(t *testing.T, out *atomic.Value, isReset bool) *upstream {
	return rawUpstream(t, func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // or the close is a reset
		send(c, strings.ReplaceAll(out.Load().(string), "ID", r.Header.Get(hID)))
		if isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// requireBroken fails if the client can take the response for a whole one, or for the promise that its
// request has not run.
func (g *fixture) requireBroken(path, what string) {
	resp, body := g.do(g.request("POST", path, "x"))
	if resp.StatusCode == http.StatusOK && strings.Contains(body, "!") {
		return
	}
	require.Equal(g.t, http.StatusBadGateway, resp.StatusCode, "%s: %q", path, what)
	require.Empty(g.t, resp.Header.Get(hStamp), "%s: %q", path, what)
}

// headsToCut are heads of responses, with the last line end left out where the head alone is a whole response.
var headsToCut = map[string]string{
	"length":           "HTTP/1.1 200 OK\r\n" + hID + ": ID\r\n" + stamped + "Content-Length: 12\r\n\r\n",
	"length first":     "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + hID + ": ID\r\n" + stamped + "\r\n",
	"chunks":           "HTTP/1.1 200 OK\r\n" + hID + ": ID\r\n" + stamped + "Transfer-Encoding: chunked\r\n\r\n",
	"no framing":       "HTTP/1.1 200 OK\r\n" + hID + ": ID\r\n" + stamped + "\r\n",
	"length 0":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + hID + ": ID\r\n" + stamped + "\r",
	"bare line feeds":  "HTTP/1.1 200 OK\n" + hID + ": ID\n" + hStamp + ": s\nContent-Length: 12\n\n",
	"refusal":          "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" + hID + ": ID\r\n" + notRun + "\r",
	"refusal by limit": "HTTP/1.1 429 Busy\r\n" + notRun + "Content-Length: 0\r\n" + hID + ": ID\r\n\r",
	"misdirected":      "HTTP/1.1 421 X\r\nContent-Length: 0\r\n" + hUpstream + ": other\r\n" + hID + ": ID\r\n\r",
}

// TestHeadThatBreaksOffIsNoResponse guards against a 200 with an empty or short body, and against a refusal,
// after an upstream or a peer has ended within the head of its response. Package courier cuts at every byte.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	for hop, isPeer := range map[string]bool{"upstream": false, "peer": true} {
		for ending, isReset := range map[string]bool{"close": false, "reset": true} {
			for name, head := range headsToCut {
				t.Run(hop+"/"+ending+"/"+name, func(t *testing.T) {
					var out atomic.Value
					up := brokenUpstream(t, &out, isReset)
					for end := 0; end < len(head); {
						line := strings.Index(head[end:], "\n") + 1
						if line == 0 {
							line = len(head) - end
						}
						for _, cut := range []int{end + line/2, end + line} {
							for _, before := range []string{"", info100, info102} {
								if before != "" && name != "length" && name != "refusal" {
									continue
								}
								out.Store(before + head[:cut])
								for _, path := range routesOfAllKinds {
									g := newBrokenFixture(t, up, isPeer) // of a known one, the upstream is kept from requests
									g.requireBroken(path, before+head[:cut])
									g.server.Close()
								}
							}
						}
						end += line
					}
				})
			}
		}
	}
}

// newBrokenFixture returns a fixture with an upstream, or with a peer to which it hands all requests on.
func newBrokenFixture(t *testing.T, up *upstream, isPeer bool) *fixture {
	if !isPeer {
		return newFixture(t, up)
	}
	g, _ := newCutFixture(t, up)
	return g
}
