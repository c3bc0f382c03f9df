package arranger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSkippedLoadForStreamsSaysWhy guards against streams that wait in vain for a reason that the log does not show.
func TestSkippedLoadForStreamsSaysWhy(t *testing.T) {
	v1 := "v1"
	f := fleet(3, 6)
	f.Upstreams[0].Software, f.Upstreams[1].Software, f.Upstreams[2].Software = v1, "v2", v1
	f.Upstreams[0].IsBusy, f.Upstreams[0].BusyFor = true, 5920*time.Millisecond
	f.Upstreams[2].IsLimited = true
	f.Demands = append(f.Demands, Demand{Model: "m0", Software: &v1, Waiting: 2})
	moves, skipped := PlanWithSkipped(f)
	require.NotContains(t, loadOrders(moves), "e0 m0")
	require.Len(t, skipped, 1)
	require.Equal(t, []string{"e0: busy for 5.92s", "e2: it takes few requests"}, skipped[0].Obstacles())
	skipped[0].Obstacles = nil
	require.Equal(t, Skipped{Model: "m0", Software: v1, Waiting: 2}, skipped[0])
}
