package applier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

func TestSuspicionsAreBoundedAndExpire(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var p Poison
	for f := range uint64(maxSuspects + 10) {
		require.Empty(t, p.apply(&recordv1.Suspicion{Fingerprints: []uint64{f}, UpstreamIncarnation: "a", UnixMs: now.UnixMilli()}))
	}
	require.Len(t, p.suspects, maxSuspects)
	require.Empty(t, p.LostIncarnations(0, now), "the oldest is dropped first")
	require.Len(t, p.LostIncarnations(maxSuspects, now), 1)
	require.Empty(t, p.LostIncarnations(maxSuspects, now.Add(SuspicionTTL+time.Millisecond)))
}

func TestSuspicionCountsIncarnationOnceAndIsCleared(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s := func(inc string, cleared bool) *recordv1.Suspicion {
		return &recordv1.Suspicion{Fingerprints: []uint64{7}, UpstreamIncarnation: inc, UnixMs: now.UnixMilli(), Cleared: cleared}
	}
	var p Poison
	require.Empty(t, p.apply(s("a", false)))
	require.NotEmpty(t, p.apply(s("a", false)))
	require.Len(t, p.LostIncarnations(7, now), 1)
	require.Empty(t, p.apply(s("", true)))
	require.Empty(t, p.LostIncarnations(7, now))
	require.Empty(t, p.apply(s("a", false)))
	require.Empty(t, p.apply(s("b", false)))
	require.NotEmpty(t, p.apply(s("", true)), "a poison request is not cleared")
	require.Len(t, p.LostIncarnations(7, now), PoisonThreshold)
}

// A poison request that keeps ending upstreams stays refused: each further loss
// renews the suspicion.
func TestFurtherLossesRenewSuspicion(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var p Poison
	for _, incarnation := range []string{"a", "b", "c", "d"} {
		require.Empty(t, p.apply(&recordv1.Suspicion{Fingerprints: []uint64{7}, UpstreamIncarnation: incarnation, UnixMs: now.UnixMilli()}))
		require.NotEmpty(t, p.LostIncarnations(7, now.Add(SuspicionTTL-time.Millisecond)))
		now = now.Add(SuspicionTTL / 2)
	}
	require.Len(t, p.LostIncarnations(7, now), maxLosses, "the losses that are kept are bounded")
}
