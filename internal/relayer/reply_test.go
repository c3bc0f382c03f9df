package relayer

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
)

// newInterruptedFixture returns a fixture whose upstream breaks a stream off after two events. Its
// links are cut then, and the request is handed on to the peer.
func newInterruptedFixture(t *testing.T, peer *upstream) *fixture {
	up := newUpstream(t, nil)
	g := newFixture(t, up)
	g.knowPeers(peer)
	up.respond = func(_ int, r *http.Request, _ string) (string, bool) {
		g.cutLinks()
		return streamHead(r) + chunk(event(1)+event(2)+"id: 3\nda"), true
	}
	return g
}

// TestErrorOfAPeerDoesNotCompleteAStream guards against a stream that ends as if it were complete,
// because the peer that was to send its rest has refused the request or failed.
func TestErrorOfAPeerDoesNotCompleteAStream(t *testing.T) {
	for _, status := range []int{400, 401, 404, 408, 413, 421, 429, 500, 502, 503, 504} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			peer := newUpstream(t, answerWith(func(r *http.Request) string { return response(r, status, "", "") }))
			g := newInterruptedFixture(t, peer)
			_, body := g.do(g.request("POST", "/resumable/", ""))
			require.Equal(t, 1, peer.count())
			require.Equal(t, event(1)+event(2)+"!unexpected EOF", body)
		})
	}
}

// TestKeptErrorIsNotSentIntoAStream guards against the response of an earlier attempt, kept for the
// case that a retry fails, that is written behind the events of a stream.
func TestKeptErrorIsNotSentIntoAStream(t *testing.T) {
	failing := newUpstream(t, answerWith(func(r *http.Request) string { return response(r, 500, stamped, "oops") }))
	breaking := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return streamHead(r) + chunk(event(1)), true })
	g := newFixture(t, failing, breaking)
	cfg := g.Config()
	route, ok := cfg.Match("h.example", "/resumable/")
	require.True(t, ok)
	route.Kind = matcher.Idempotent // no deployment has such a route
	g.Config = func() *matcher.Config { return matcher.New(2, []matcher.Route{route}, cfg.Services, cfg.Limits) }
	for failing.count() == 0 || breaking.count() == 0 {
		resp, body := g.do(g.request("POST", "/resumable/", ""))
		if resp.StatusCode == http.StatusOK {
			require.Equal(t, event(1)+"!unexpected EOF", body)
		}
	}
}

// TestReplyIsWholeOrCutOff guards against a second head or body within a response, and against a
// response that was not written to its end and looks complete.
func TestReplyIsWholeOrCutOff(t *testing.T) {
	newReply := func() (*reply, *httptest.ResponseRecorder) {
		w := httptest.NewRecorder()
		return &reply{w: w}, w
	}
	r, w := newReply()
	require.Panics(t, r.end, "nothing was sent")
	require.NoError(t, r.begin(http.StatusOK, http.Header{"A": {"1"}}, -1))
	require.True(t, r.hasBegun())
	_, err := r.Write([]byte("half"))
	require.NoError(t, err)
	require.ErrorIs(t, r.begin(http.StatusBadGateway, http.Header{"A": {"2"}}, 0), errReplyBegun)
	r.sendEmpty(http.StatusNotFound)
	require.Panics(t, r.end, "the refusal does not complete it")
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, "1", w.Header().Get("A"))
	require.Equal(t, "half", w.Body.String())
	r.complete()
	require.NotPanics(t, r.end)

	r, w = newReply()
	r.sendEmpty(http.StatusNotFound)
	require.NotPanics(t, r.end)
	require.Equal(t, http.StatusNotFound, w.Code)
}
