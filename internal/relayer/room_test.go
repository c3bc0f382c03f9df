package relayer

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// TestFullUpstreamIsNoCrash guards against an upstream without room for connections that counts as crashed: its content is
// refused as one that crashes upstreams, and its process is suspected of a restart. The same resets by an upstream that
// crashes count.
func TestFullUpstreamIsNoCrash(t *testing.T) {
	for name, tt := range map[string]struct {
		delay   time.Duration // until new connections are reset
		isCrash bool
	}{
		"resets at once": {}, "resets after ms": {delay: 8 * time.Millisecond}, "crashes": {isCrash: true},
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var ups []*upstream
				for range losstracker.SharedThreshold + 1 {
					p := newProcess(t, 0, func(p *process, c net.Conn, _ *http.Request) {
						_ = c.(*net.TCPConn).SetLinger(0)
						p.end()
					})
					if !tt.isCrash {
						p.resetAfter(tt.delay)
					}
					ups = append(ups, &p.upstream)
				}
				g := newFixture(t, ups...)
				numSuspected := 0
				g.Upstreams.OnRestart = func(registrar.Restart, []registrar.Model, string) { numSuspected++ }
				for range losstracker.SharedThreshold {
					resp, _ := g.do(g.request("POST", path, "same"))
					require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, resp.StatusCode)
				}
				sent := &call{req: courier.Request{Method: "POST", Host: "h.example", Target: path, Body: []byte("same")}}
				numCounted, _ := g.Losses.Losses(fingerprint(sent), time.Now())
				if tt.isCrash {
					require.Positive(t, numCounted)
					require.Positive(t, numSuspected)
					return
				}
				require.Zero(t, numCounted)
				require.Zero(t, numSuspected)
			})
		}
	}
}

// TestRequestIsNotSentToAFullUpstream guards against requests that end with 502 since they were sent on a connection which
// a full upstream had accepted and then reset: they may have run, so that no other upstream gets them.
func TestRequestIsNotSentToAFullUpstream(t *testing.T) {
	const numRequests = 12
	for name, delay := range map[string]time.Duration{"resets at once": 0, "resets after ms": 3 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			serve := func(_ *process, c net.Conn, r *http.Request) { send(c, response(r, 200, stamped, "done")) }
			first, second := newProcess(t, 0, serve), newProcess(t, 0, serve)
			first.resetAfter(delay)
			second.resetAfter(delay)
			g := newFixture(t, &first.upstream, &second.upstream)
			g.Pool.RoomTime = time.Second // the upstreams run in this process, which may be busy
			statuses := make(map[int]int)
			for range numRequests {
				resp, _ := g.do(g.request("POST", "/once/", "x"))
				statuses[resp.StatusCode]++
			}
			// For each upstream one finds it out, and another may be sent on the connection that is opened then.
			require.LessOrEqual(t, statuses[http.StatusBadGateway], 4, "%v", statuses)
			require.GreaterOrEqual(t, statuses[http.StatusServiceUnavailable], numRequests-4, "%v", statuses)
			first.reset.Store(nil)
			resp, _ := g.do(g.request("POST", "/once/", "x"))
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}
