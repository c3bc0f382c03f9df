package relayer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/retrier"
)

// TestRequestsForOneServicePayForNoRepeatsAtAnother guards against a service that gets more
// repeats than its own requests permit, because another service is busy and sound.
func TestRequestsForOneServicePayForNoRepeatsAtAnother(t *testing.T) {
	sound := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, "ok"), false })
	refuse := func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 503, notRun, ""), false }
	full := []*upstream{newUpstream(t, refuse), newUpstream(t, refuse), newUpstream(t, refuse)}
	g := newFixture(t, sound)
	list := make(map[string]*registrar.Upstream)
	for n, u := range full {
		id := string(rune('a' + n))
		list[id] = &registrar.Upstream{ID: id, Address: u.listen.Addr().String(), Service: "t", Slots: 4, StartedAtMs: 1}
	}
	g.Upstreams.ApplyRegistrations(list, time.Now())
	const numRequests = 60
	for range numRequests {
		for range 10 {
			resp, _ := g.do(g.request("POST", "/once/", ""))
			require.Equal(t, http.StatusOK, resp.StatusCode)
		}
		resp, _ := g.do(g.request("POST", "/second/", ""))
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	arrivals := 0
	for _, u := range full {
		arrivals += u.count()
	}
	require.GreaterOrEqual(t, arrivals, numRequests)
	require.LessOrEqual(t, float64(arrivals-numRequests), retrier.DefaultRatio*numRequests+retrier.DefaultReserve)
}
