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
