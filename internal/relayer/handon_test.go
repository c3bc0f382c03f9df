package relayer

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/linkwatcher"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

// newCutFixture returns a fixture whose links to its upstream are cut, and which knows peers.
func newCutFixture(t *testing.T, peers ...*upstream) (*fixture, *upstream) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, "own"), false })
	g := newFixture(t, up)
	g.knowPeers(peers...)
	g.cutLinks()
	return g, up
}

// knowPeers makes the relayer know peers. Its links to the upstreams are watched.
func (g *fixture) knowPeers(peers ...*upstream) {
	g.Links = &linkwatcher.Watcher{
		Addresses: func() []string { return []string{"a", "b"} },
		Dial:      func(context.Context, string) error { return errors.New("timeout") },
		Log:       zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(g.t.Context())
	g.t.Cleanup(cancel)
	go g.Links.Run(ctx)
	g.Queue.LinksCut = g.Links.Cut
	g.PeerPool = &courier.Pool{IDHeader: hID}
	g.Peers = func() (out []Peer) {
		for _, p := range peers {
			out = append(out, Peer{Address: p.listen.Addr().String()})
		}
		return out
	}
}

// cutLinks cuts the links to the upstreams.
func (g *fixture) cutLinks() {
	for _, address := range g.Links.Addresses() {
		g.Links.Record(address, errors.New("timeout"), time.Now())
	}
	<-g.Links.Cut()
}

func answerWith(out func(r *http.Request) string) func(int, *http.Request, string) (string, bool) {
	return func(_ int, r *http.Request, _ string) (string, bool) { return out(r), false }
}

// TestRequestsAreHandedOnWhileTheLinksAreCut checks what callers get from an instance that does
// not reach the upstreams.
func TestRequestsAreHandedOnWhileTheLinksAreCut(t *testing.T) {
	fine := answerWith(func(r *http.Request) string { return response(r, 200, stamped, "from a peer") })
	cut := answerWith(func(r *http.Request) string {
		return response(r, 503, headerCutOff+": 1\r\nRetry-After: 0.05\r\n", "")
	})
	refuses := answerWith(func(r *http.Request) string { return response(r, 503, "Retry-After: 2\r\n", "") })
	overQuota := answerWith(func(r *http.Request) string { return response(r, 429, "Retry-After: 2\r\n", "") })
	fails := answerWith(func(r *http.Request) string { return response(r, 502, "", "") })
	breaks := func(int, *http.Request, string) (string, bool) { return "", true }
	for name, tt := range map[string]struct {
		peers  []func(int, *http.Request, string) (string, bool)
		status int
		body   string
		counts []int // requests at each peer
	}{
		"served":                 {[]func(int, *http.Request, string) (string, bool){fine}, 200, "from a peer", []int{1}},
		"the first is cut, too":  {[]func(int, *http.Request, string) (string, bool){cut, fine}, 200, "from a peer", []int{1, 1}},
		"refused":                {[]func(int, *http.Request, string) (string, bool){refuses, fine}, 503, "", []int{1, 0}},
		"over its quota":         {[]func(int, *http.Request, string) (string, bool){overQuota, fine}, 429, "", []int{1, 0}},
		"may have run at a peer": {[]func(int, *http.Request, string) (string, bool){fails, fine}, 502, "", []int{1, 0}},
		"lost at a peer":         {[]func(int, *http.Request, string) (string, bool){breaks, fine}, 502, "", []int{1, 0}},
		"all are cut":            {[]func(int, *http.Request, string) (string, bool){cut, cut}, 200, "own", []int{1, 1}},
		"no peer":                {nil, 200, "own", nil},
	} {
		t.Run(name, func(t *testing.T) {
			var peers []*upstream
			for _, respond := range tt.peers {
				peers = append(peers, newUpstream(t, respond))
			}
			g, up := newCutFixture(t, peers...)
			resp, body := g.do(g.request("POST", "/once/a%2Fb/../c?q", "hello"))
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, tt.body, body)
			isRefused := tt.status == http.StatusServiceUnavailable || tt.status == http.StatusTooManyRequests
			if isRefused {
				delay, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, delay, 1.0, "half of what the peer states")
			}
			for i, want := range tt.counts {
				require.Equal(t, want, peers[i].count())
			}
			if tt.body == "own" {
				require.Equal(t, 1, up.count(), "this instance tries itself if no other can")
				return
			}
			require.Zero(t, up.count())
			seen := peers[0].seen[0]
			require.Equal(t, "/once/a%2Fb/../c?q", seen.RequestURI)
			require.Equal(t, "hello", peers[0].bodies[0])
			require.Equal(t, "2", seen.Header.Get(HeaderHandedOn), "attempts of the route")
			require.NotEmpty(t, seen.Header.Get(hTimeLeft))
		})
	}
}

// allCovered is a history without a gap.
var allCovered = streamtracker.Versions{Ages: map[string]time.Duration{"": 0}, Covered: streamtracker.StreamMemory}

// TestStreamThatBreaksAtAPeerGoesOn guards against streams that are lost because the peer that
// served them has ended.
func TestStreamThatBreaksAtAPeerGoesOn(t *testing.T) {
	peer := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return streamHead(r) + chunk(event(1)), true })
	g, up := newCutFixture(t, peer)
	up.respond = func(_ int, r *http.Request, _ string) (string, bool) {
		if r.Header.Get(hLastEventID) != "1" {
			return response(r, 400, stamped, ""), false
		}
		return streamHead(r) + chunk(event(2)) + "0\r\n\r\n", false
	}
	g.knowStreams()
	_, body := g.do(g.request("POST", "/resumable/", "x"))
	require.Equal(t, event(1)+event(2), body)
}

// TestRequestIsHandedOnOnce guards against requests that circle between instances.
func TestRequestIsHandedOnOnce(t *testing.T) {
	peer := newUpstream(t, answerWith(func(r *http.Request) string { return response(r, 200, stamped, "") }))
	g, up := newCutFixture(t, peer)
	r := g.request("POST", "/once/", "")
	r.Header.Set(HeaderHandedOn, "1")
	resp, _ := g.do(r)
	require.Equal(t, 503, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get(headerCutOff))
	require.Zero(t, peer.count()+up.count())
}
