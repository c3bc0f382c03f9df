package losstracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// TestNewLossesOfSuspectsComeFirst guards against the losses of a request that crashes upstreams that are
// left out of a message because many other requests have lost their upstream.
func TestNewLossesOfSuspectsComeFirst(t *testing.T) {
	const poison, limit = 7, 16
	var tracker Tracker
	now := time.Now()
	for n := range uint64(2) {
		tracker.Begin(registrar.Incarnation{ID: "e1", StartedAtMs: int64(n)}, poison).End(Broken, now)
	}
	for n := range uint64(100) {
		tracker.Begin(registrar.Incarnation{ID: "e2", StartedAtMs: 1}, 100+n).End(Broken, now)
	}
	list := tracker.New(limit, now)
	require.Len(t, list, limit)
	for _, l := range list[:2] {
		require.EqualValues(t, poison, l.Fingerprint)
	}
	require.Empty(t, tracker.New(limit, now.Add(newAge+1)), "they are not new any more")
}

// TestSingleLossesAreSentOnce guards against losses of requests that crash nothing that every instance
// passes on, so that a crash of many upstreams takes the links of a large fleet.
func TestSingleLossesAreSentOnce(t *testing.T) {
	const own, others = 1, 2
	var tracker Tracker
	now := time.Now()
	tracker.Begin(registrar.Incarnation{ID: "e1", StartedAtMs: 1}, own).End(Broken, now)
	tracker.MergeExchanged([]Loss{{Fingerprint: others, Incarnation: registrar.Incarnation{ID: "e2", StartedAtMs: 1}}}, now)
	list := tracker.New(maxReported, now)
	require.Len(t, list, 1)
	require.EqualValues(t, own, list[0].Fingerprint, "its own instance sends the other one")
	require.Empty(t, tracker.New(maxReported, now))
	tracker.Begin(registrar.Incarnation{ID: "e3", StartedAtMs: 1}, others).End(Broken, now)
	require.Len(t, tracker.New(maxReported, now), 2, "another loss matters now")
	require.Len(t, tracker.New(maxReported, now), 2)
}

// TestManyLossesAreExchangedInParts guards against responses to peers without a conductor that grow with the
// losses that an instance knows, and against losses in none of them.
func TestManyLossesAreExchangedInParts(t *testing.T) {
	const numShared, newest = 500, 1 << 20
	var tracker Tracker
	now := time.Now()
	for n := range uint64(numShared) {
		for k := range int64(2) {
			tracker.Begin(registrar.Incarnation{ID: "e1", StartedAtMs: k}, n).End(Broken, now)
		}
	}
	for n := range uint64(1000) {
		l := Loss{Fingerprint: numShared + n, Incarnation: registrar.Incarnation{ID: "e2", StartedAtMs: 1}}
		tracker.MergeExchanged([]Loss{l}, now)
	}
	tracker.Begin(registrar.Incarnation{ID: "e3", StartedAtMs: 1}, newest).End(Broken, now)
	require.Contains(t, tracker.Recent(now), Loss{Fingerprint: newest, Incarnation: registrar.Incarnation{ID: "e3", StartedAtMs: 1}})
	now = now.Add(recentAge + 1)
	seen := make(map[uint64]bool)
	for n := 0; len(seen) < numShared; n++ {
		require.Less(t, n, 100*numShared)
		list := tracker.Recent(now)
		require.LessOrEqual(t, len(list), maxExchanged)
		for _, l := range list {
			seen[l.Fingerprint] = true
		}
	}
}
