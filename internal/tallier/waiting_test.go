package tallier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request whose attempt failed counts as waiting again. It used to count as
// running forever, so no replica was loaded for it.
func TestFailedAttemptCountsAsWaiting(t *testing.T) {
	now := time.Now()
	tl := &Tallier{Instance: "a", Holder: func(string) string { return "a" }}
	k := tl.Add(Target{Model: "m"}, 1, now.Add(time.Second))
	demand := func() Demand { return tl.TakeDemand(now, func(string) bool { return true })[Target{Model: "m"}] }
	k.MarkRunning()
	require.Equal(t, 0, demand().Waiting)
	require.Equal(t, 1, demand().Running)
	k.MarkWaiting(now.Add(2 * time.Second))
	require.Equal(t, 1, demand().Waiting)
	require.Equal(t, 0, demand().Running)
	require.Equal(t, now.Add(2*time.Second), demand().Deadline)
	k.MarkRunning()
	k.Done()
	require.Equal(t, 0, demand().Waiting+demand().Running)
}
