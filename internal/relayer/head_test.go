package relayer

import (
	"io"
	"net"
	"net/http"
	"slices"
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
	"no framing":       "HTTP/1.1 200 OK\r\n" + hID + ": ID\r\n" + stamped + "\r",
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

// withoutFraming are the cases of TestHeadThatLacksALineIsNoResponse that have neither a length nor chunks.
var withoutFraming = []string{"no framing", "no framing, short", "no framing, an event", "length with its name cut", "framing left out, behind 102"}

// TestHeadThatLacksALineIsNoResponse guards against an upstream that stops while it writes the lines of a head,
// and ends it in order: a header that decides the framing, names the request or says that it did not run is
// missing or cut. A head without any framing is that of a response which ends with its connection, so there the
// connection is reset, and a close in order delivers the body as it is.
func TestHeadThatLacksALineIsNoResponse(t *testing.T) {
	const ok, busy, id = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Busy\r\n", hID + ": ID\r\n"
	for name, out := range map[string]string{
		"no framing":                      ok + id + stamped + "\r\n",
		"no framing, short":               ok + id + stamped + "\r\nhal",
		"no framing, an event":            ok + id + stamped + "\r\n" + event(1),
		"no framing, a chunk":             ok + id + stamped + "\r\n" + chunk(event(1)),
		"length cut":                      ok + id + stamped + "Content-Length: 1\r\n\r\n",
		"length empty":                    ok + id + stamped + "Content-Length: \r\n\r\n",
		"length without a value":          ok + id + stamped + "Content-Length\r\n\r\n",
		"length with its name cut":        ok + id + stamped + "Content-Lengt: 12\r\n\r\nhalf",
		"length cut in two":               ok + id + stamped + "Content-Length: 1\r\n2\r\n\r\nhalf",
		"chunks cut":                      ok + id + stamped + "Transfer-Encoding: chunke\r\n\r\n" + event(1),
		"chunks empty":                    ok + id + stamped + "Transfer-Encoding:\r\n\r\n" + event(1),
		"chunks with the name cut":        ok + id + stamped + "Transfer-Encodin: chunked\r\n\r\n" + chunk(event(1)) + "0\r\n\r\n",
		"chunks, and nothing":             ok + id + stamped + "Transfer-Encoding: chunked\r\n\r\n",
		"id cut":                          ok + hID + ": I\r\n" + stamped + "Content-Length: 0\r\n\r\n",
		"id empty":                        ok + hID + ":\r\n" + stamped + "Content-Length: 0\r\n\r\n",
		"id with its name cut":            ok + "Test-I: ID\r\n" + stamped + "Content-Length: 0\r\n\r\n",
		"stamp empty":                     ok + id + hStamp + ": \r\nContent-Length: 0\r\n\r\n",
		"stamp with its name cut":         ok + id + "Test-Stam: s\r\nContent-Length: 0\r\n\r\n",
		"stamp left out":                  ok + id + "Content-Length: 0\r\n\r\n",
		"status of two digits":            "HTTP/1.1 20\r\n" + id + stamped + "Content-Length: 0\r\n\r\n",
		"status 503 of two digits":        "HTTP/1.1 50\r\n" + id + notRun + "Content-Length: 0\r\n\r\n",
		"status left out":                 "HTTP/1.1 \r\n" + id + notRun + "Content-Length: 0\r\n\r\n",
		"status line left out":            id + stamped + "Content-Length: 0\r\n\r\n",
		"not-run left out":                busy + id + "Content-Length: 0\r\n\r\n",
		"not-run empty":                   busy + id + hNotRun + ":\r\nContent-Length: 0\r\n\r\n",
		"not-run with its name cut":       busy + id + "Test-Not-Ru: 1\r\nContent-Length: 0\r\n\r\n",
		"not-run and framing left out":    busy + id + "\r\n",
		"not-run left out of a limit":     "HTTP/1.1 429 X\r\n" + id + "Content-Length: 0\r\n\r\n",
		"not-run left out of a time-out":  "HTTP/1.1 408 X\r\n" + id + "Content-Length: 0\r\n\r\n",
		"not-run left out, behind 100":    info100 + busy + id + "Content-Length: 0\r\n\r\n",
		"framing left out, behind 102":    info102 + ok + id + stamped + "\r\n" + event(1),
		"informational response in parts": "HTTP/1.1 102 Processing\r\n" + id + "\r\n" + ok + "\r\n",
	} {
		for _, path := range routesOfAllKinds {
			t.Run(name+path, func(t *testing.T) {
				var sent atomic.Value
				sent.Store(out)
				_, body, _ := strings.Cut(out[max(0, strings.LastIndex(out, "HTTP/1.1")):], "\r\n\r\n")
				if !slices.Contains(withoutFraming, name) || (path == "/stream/" || path == "/resumable/") && body != event(1) {
					newFixture(t, brokenUpstream(t, &sent, false)).requireBroken(path, name)
					return
				}
				newFixture(t, brokenUpstream(t, &sent, true)).requireBroken(path, name)
				g := newFixture(t, brokenUpstream(t, &sent, false))
				resp, got := g.do(g.request("POST", path, "x"))
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Equal(t, body, got)
			})
		}
	}
}
