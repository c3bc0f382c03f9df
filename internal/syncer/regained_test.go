package syncer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRegainedLeaseKeepsNoSilentMember guards against callers that are directed to an instance that has ended, because the time in which another instance was the conductor counts as a pause.
func TestRegainedLeaseKeepsNoSilentMember(t *testing.T) {
	now := time.Now()
	s, holder := newServer()
	sweepAfter := func(d time.Duration) int {
		now = now.Add(d)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sweepLocked(now)
		return len(s.members)
	}
	s.ApplyReport(report("b", "b1", false), now)
	require.Equal(t, 1, sweepAfter(retryDelay))
	*holder = false
	s.endSweepsWithoutLease() // as the client does while another instance is the conductor
	now = now.Add(5 * time.Second)
	*holder = true
	require.Zero(t, sweepAfter(0), "b has reported to nobody, or to another conductor, for 5 s")
}
