package relayer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestRequestBehindACutLinkGoesToAPeerInTime guards against requests that run behind a link that was cut
// and are sent again only when their clients give up.
func TestRequestBehindACutLinkGoesToAPeerInTime(t *testing.T) {
	for name, tt := range map[string]struct {
		path, first, rest string // of the response
		isPlain           bool
	}{
		"within a stream": {path: "/resumable/", first: event(1) + event(2), rest: event(3)},
		"before a stream": {path: "/resumable/", rest: event(1)},
		"may be repeated": {path: "/again/", rest: "whole", isPlain: true},
	} {
		t.Run(name, func(t *testing.T) {
			hangs := make(chan struct{})
			t.Cleanup(func() { close(hangs) })
			var g *slowFixture
			up := rawUpstream(t, func(c net.Conn, r *http.Request) {
				if tt.first != "" {
					send(c, streamHead(r)+chunk(tt.first))
				}
				g.cutLinks()
				<-hangs
			})
			peer := newUpstream(t, answerWith(func(r *http.Request) string {
				if tt.isPlain {
					return response(r, 200, stamped, tt.rest)
				}
				return streamHead(r) + chunk(tt.rest) + "0\r\n\r\n"
			}))
			g = newSlowFixture(t, time.Minute, up)
			g.knowPeers(peer)
			ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
			defer cancel()
			_, body := g.do(g.request("POST", tt.path, "").WithContext(ctx))
			require.Equal(t, tt.first+tt.rest, body)
			require.Equal(t, 1, peer.count())
		})
	}
}

// TestRequestThatRunsOnceIsNotRepeatedForACutLink guards against a request that runs twice: what is
// behind a cut link may have run.
func TestRequestThatRunsOnceIsNotRepeatedForACutLink(t *testing.T) {
	g := newFixture(t)
	g.knowPeers()
	for path, want := range map[string]bool{"/once/": false, "/stream/": false, "/again/": true, "/resumable/": true} {
		c := &call{Relayer: g.Relayer}
		c.route, _ = g.Config().Match("h.example", path)
		w := c.watchCut(time.Hour, nil)
		require.Equal(t, want, w != nil, path)
		w.stop()
	}
}

// TestCutLinksEndAnAttemptLikeADeadline guards against a response that is thrown away because the process was
// paused while the links were cut: package courier reads first what has arrived before a deadline.
func TestCutLinksEndAnAttemptLikeADeadline(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errLinksCut)
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
	require.ErrorIs(t, errors.Wrap(context.Cause(ctx), "attempt"), errLinksCut)
	require.False(t, errors.Is(context.DeadlineExceeded, errLinksCut), "a failure of the upstream")
}
