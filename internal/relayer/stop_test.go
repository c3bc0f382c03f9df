package relayer

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/stopper"
)

// beginStop begins a stop that answers what runs after some time.
func (g *fixture) beginStop(answerAfter time.Duration) {
	now := time.Now()
	g.Stop.Begin(stopper.Schedule{Signaled: now, Refuse: now.Add(answerAfter), Answer: now.Add(answerAfter), Close: now.Add(2 * answerAfter)})
}

func newStopFixture(t *testing.T, ups ...*upstream) *fixture {
	g := newFixture(t, ups...)
	g.Stop = &stopper.Stop{}
	return g
}

var stopPaths = []string{"/once/", "/again/", "/stream/", "/resumable/"}

// TestRequestThatOutlastsTheStopIsNotSent guards against requests that are passed on during a stop although
// they are not expected to end before it. The deadline of the client counts where nothing is measured.
func TestRequestThatOutlastsTheStopIsNotSent(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		return response(r, 200, stamped, event(1)), false
	})
	for _, path := range stopPaths {
		t.Run(path, func(t *testing.T) {
			g := newStopFixture(t, up)
			before := up.count()
			g.beginStop(2 * time.Second) // the deadline is 5 s
			resp, _ := g.do(g.request("POST", path, ""))
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Equal(t, before, up.count())

			for range 10 {
				for _, route := range []string{"once", "again", "stream", "resumable"} {
					g.Stop.Record(route, time.Millisecond)
				}
			}
			g.beginStop(time.Minute)
			resp, _ = g.do(g.request("POST", path, ""))
			require.Equal(t, http.StatusOK, resp.StatusCode, "it is measured, and ends in time")
		})
	}
}

// TestFailedAttemptIsNotRepeatedLateInAStop guards against a request that is sent again when it can no
// longer end before the stop. Its status says whether it may have run.
func TestFailedAttemptIsNotRepeatedLateInAStop(t *testing.T) {
	tests := map[string]struct {
		respond func(r *http.Request) (string, bool)
		status  int
	}{
		"may have run": {func(*http.Request) (string, bool) { return "", true }, http.StatusBadGateway},
		"not run":      {func(r *http.Request) (string, bool) { return response(r, 503, notRun, ""), false }, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var g *fixture
			respond := func(_ int, r *http.Request, _ string) (string, bool) {
				g.beginStop(time.Second)
				return tt.respond(r)
			}
			a, b := newUpstream(t, respond), newUpstream(t, respond)
			g = newStopFixture(t, a, b)
			for range 100 {
				g.RetryBudgets.Of("s").Deposit()
			}
			resp, _ := g.do(g.request("POST", "/again/", ""))
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, 1, a.count()+b.count())
		})
	}
}

// TestStreamThatBreaksLateInAStopIsCut guards against a stream that goes on at another upstream when the stop
// would cut it again, while its client could take it up elsewhere.
func TestStreamThatBreaksLateInAStopIsCut(t *testing.T) {
	var g *fixture
	respond := func(_ int, r *http.Request, _ string) (string, bool) {
		g.beginStop(time.Second)
		return streamHead(r) + chunk(event(1)) + chunk("id: 2\nda"), true
	}
	a, b := newUpstream(t, respond), newUpstream(t, respond)
	g = newStopFixture(t, a, b)
	resp, body := g.do(g.request("POST", "/resumable/", ""))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, event(1)+"!unexpected EOF", body)
	require.Equal(t, 1, a.count()+b.count())
}

// TestPeerThatStopsLeavesTheRequestToAnother guards against a request that is refused to its client because
// the peer to which it was handed on stops.
func TestPeerThatStopsLeavesTheRequestToAnother(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, "x"), false })
	g := newStopFixture(t, up)
	g.beginStop(time.Second)
	r := g.request("POST", "/once/", "")
	r.Header.Set(HeaderHandedOn, "1")
	resp, _ := g.do(r)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get(headerCutOff))
	require.Zero(t, up.count())
}

// TestRequestAtTheEndOfAStopIsAnswered guards against a request that runs when the time of a stop is over,
// and is taken for one whose client has left.
func TestRequestAtTheEndOfAStopIsAnswered(t *testing.T) {
	for _, path := range stopPaths {
		t.Run(path, func(t *testing.T) {
			var g *fixture
			up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
				g.beginStop(time.Second)
				g.Stop.End()
				return responseHead(r, 200, stamped+"Content-Length: 10\r\n\r\n"), false // no body
			})
			g = newStopFixture(t, up)
			resp, _ := g.do(g.request("POST", path, ""))
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.Equal(t, 1, up.count())
		})
	}
}
