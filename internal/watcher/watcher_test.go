package watcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
)

const (
	live    = platformv1.InstanceState_INSTANCE_STATE_LIVE
	leaving = platformv1.InstanceState_INSTANCE_STATE_LEAVING
	gone    = platformv1.InstanceState_INSTANCE_STATE_GONE
)

// testWatcher is a watcher that runs in virtual time.
type testWatcher struct {
	*Watcher
	currentTime time.Time
}

func newTestWatcher() *testWatcher {
	w := &testWatcher{currentTime: time.Unix(1000, 0)}
	w.Watcher = &Watcher{Self: Member{Name: "self", Incarnation: "s1"}, Now: func() time.Time { return w.currentTime }}
	return w
}

// list applies a list in which the peer has the given state.
func (w *testWatcher) list(state platformv1.InstanceState, incarnation string) {
	w.applyList([]*platformv1.Instance{{
		Name: "peer", Address: "a", State: state, Incarnation: incarnation, Role: platformv1.InstanceRole_INSTANCE_ROLE_ENTRY,
	}})
}

// respond applies a status of the peer.
func (w *testWatcher) respond(incarnation string, isLeaving bool) {
	w.applyStatus("peer", &peerv1.StatusResponse{Instance: "peer", Incarnation: incarnation, Leaving: isLeaving}, nil)
}

// failAfter applies a failed status query after a time.
func (w *testWatcher) failAfter(d time.Duration) {
	w.currentTime = w.currentTime.Add(d)
	w.applyStatus("peer", nil, errors.New("no response"))
}

// peerState is the state of the peer according to the watcher.
type peerState struct {
	isKnown, isUsable, isAlive bool
	incarnation                string
	endedIncarnation           string
}

func TestMembership(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(*testWatcher)
		want peerState
	}{
		{"listed, no response yet", func(w *testWatcher) { w.list(live, "") }, peerState{isKnown: true}},
		{"responds", func(w *testWatcher) { w.list(live, ""); w.respond("p1", false) }, peerState{true, true, true, "p1", ""}},
		{"one failed query", func(w *testWatcher) {
			w.list(live, "")
			w.respond("p1", false)
			w.failAfter(DefaultUnreachableAfter / 2)
		}, peerState{true, true, true, "p1", ""}},
		{"unreachable", func(w *testWatcher) {
			w.list(live, "")
			w.respond("p1", false)
			w.failAfter(2 * DefaultUnreachableAfter)
		}, peerState{true, false, false, "p1", ""}},
		{"network failure in one direction: it sends queries but its responses do not arrive", func(w *testWatcher) {
			w.list(live, "")
			w.respond("p1", false)
			w.failAfter(2 * DefaultUnreachableAfter)
			w.RecordQuery("peer", "p1")
		}, peerState{true, false, true, "p1", ""}},
		{"query of an older incarnation does not count as alive", func(w *testWatcher) {
			w.list(live, "")
			w.respond("p2", false)
			w.failAfter(2 * DefaultUnreachableAfter)
			w.RecordQuery("peer", "p1")
		}, peerState{true, false, false, "p2", ""}},
		{"leaving in the list only", func(w *testWatcher) {
			w.list(live, "p1")
			w.respond("p1", false)
			w.list(leaving, "p1")
			w.respond("p1", false)
		}, peerState{true, false, true, "p1", ""}},
		{"leaving in its own status only", func(w *testWatcher) {
			w.list(live, "p1")
			w.respond("p1", true)
			w.list(live, "p1")
		}, peerState{true, false, true, "p1", ""}},
		{"new incarnation while the list reports the old one as leaving", func(w *testWatcher) {
			w.list(live, "p1")
			w.respond("p1", false)
			w.list(leaving, "p1")
			w.respond("p2", false)
			w.list(leaving, "p1")
		}, peerState{true, true, true, "p2", ""}},
		{"process has ended", func(w *testWatcher) {
			w.list(live, "p1")
			w.respond("p1", false)
			w.list(gone, "p1")
		}, peerState{endedIncarnation: "p1"}},
		{"old incarnation has ended, new one responds", func(w *testWatcher) {
			w.list(live, "p1")
			w.respond("p2", false)
			w.list(gone, "p1")
		}, peerState{true, true, true, "p2", "p1"}},
		{"another instance at the address", func(w *testWatcher) {
			w.list(live, "")
			w.applyStatus("peer", &peerv1.StatusResponse{Instance: "other", Incarnation: "o1"}, nil)
		}, peerState{isKnown: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestWatcher()
			tc.run(w)
			m, ok := w.Member("peer")
			got := peerState{ok, ok && m.IsUsable(), m.IsAlive, m.Incarnation, ""}
			if tc.want.endedIncarnation != "" && w.HasProcessEnded(tc.want.endedIncarnation) {
				got.endedIncarnation = tc.want.endedIncarnation
			}
			require.Equal(t, tc.want, got)
		})
	}
}

type hangingList struct{}

func (hangingList) List(ctx context.Context, _ *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestHangingListKeepsPeersUsable checks that a list that does not respond does not
// make the peers appear unreachable.
func TestHangingListKeepsPeersUsable(t *testing.T) {
	srv := httptest.NewServer(peerv1.NewPeerQueriesServer(respondingPeer{}))
	defer srv.Close()
	w := newTestWatcher()
	w.HTTP = http.DefaultClient
	w.List = hangingList{}
	w.applyList([]*platformv1.Instance{{
		Name: "peer", Address: strings.TrimPrefix(srv.URL, "http://"), State: live, Role: platformv1.InstanceRole_INSTANCE_ROLE_ENTRY,
	}})
	for range 3 {
		w.round(context.Background(), 100*time.Millisecond)
		w.currentTime = w.currentTime.Add(2 * DefaultUnreachableAfter)
	}
	m, _ := w.Member("peer")
	require.True(t, m.IsUsable())
}

// respondingPeer is a peer that responds to status queries.
type respondingPeer struct{ peerv1.PeerQueries }

func (respondingPeer) Status(context.Context, *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	return &peerv1.StatusResponse{Instance: "peer", Incarnation: "p1"}, nil
}
