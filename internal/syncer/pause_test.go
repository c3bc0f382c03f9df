package syncer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPausedConductorDropsNoMember guards against a conductor that stood still and then takes all members for
// silent, before it has read the reports that they have sent meanwhile.
func TestPausedConductorDropsNoMember(t *testing.T) {
	now := time.Now()
	s, _ := newServer()
	s.ApplyReport(report("b", "b1", false), now)
	sweepAfter := func(d time.Duration) int {
		now = now.Add(d)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sweepLocked(now)
		return len(s.members)
	}
	require.Equal(t, 1, sweepAfter(retryDelay))
	require.Equal(t, 1, sweepAfter(3*time.Second), "paused")
	for range (memberTTL - 2*retryDelay) / retryDelay {
		require.Equal(t, 1, sweepAfter(retryDelay))
	}
	require.Zero(t, sweepAfter(retryDelay), "silent since")
	s.ApplyReport(report("b", "b1", false), now)
	require.Zero(t, sweepAfter(maxPause+retryDelay), "the lease has ended as well")
}
