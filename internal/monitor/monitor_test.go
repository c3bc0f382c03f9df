package monitor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// reported returns the view of an upstream after one report.
func reported(inc string, seq uint64) View {
	return withReport(View{}, &upstreamv1.ReportResponse{Incarnation: inc, Sequence: seq}, time.Now())
}

// Any source makes an upstream unusable at once; only a newer report of its own
// makes it usable again.
func TestOnlyNewerReportMakesUsableAgain(t *testing.T) {
	now := time.Now()
	listed := func(v View, s platformv1.InstanceState, inc string) View {
		return v.withListed(&platformv1.Instance{State: s, Incarnation: inc})
	}
	failed := reported("a", 1).withFailure(now.Add(time.Minute))
	for _, tc := range []struct {
		name     string
		view     View
		isUsable bool
	}{
		{"no report", View{}, false},
		{"reported", reported("a", 1), true},
		{"reported as leaving", withReport(View{}, &upstreamv1.ReportResponse{Incarnation: "a", Leaving: true}, now), false},
		{"listed as leaving", listed(reported("a", 1), platformv1.InstanceState_INSTANCE_STATE_LEAVING, "a"), false},
		{"listed as gone", listed(reported("a", 1), platformv1.InstanceState_INSTANCE_STATE_GONE, "a"), false},
		{"older incarnation listed as gone", listed(reported("b", 1), platformv1.InstanceState_INSTANCE_STATE_GONE, "a"), true},
		{"after a failure", failed, false},
		{"report requested before the failure", withReport(failed, &upstreamv1.ReportResponse{Incarnation: "a", Sequence: 2}, now), false},
		{"report requested after the failure", withReport(failed, &upstreamv1.ReportResponse{Incarnation: "a", Sequence: 2}, now.Add(2*time.Minute)), true},
		{"older report is ignored", withReport(reported("a", 5), &upstreamv1.ReportResponse{Incarnation: "a", Sequence: 4, Leaving: true}, now), true},
		{"new incarnation after the old one was leaving", withReport(listed(reported("a", 1), platformv1.InstanceState_INSTANCE_STATE_LEAVING, "a"),
			&upstreamv1.ReportResponse{Incarnation: "b"}, now), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.isUsable, tc.view.IsUsable(now))
		})
	}
	require.False(t, reported("a", 1).IsUsable(now.Add(DefaultStaleAfter+time.Second)), "a stale report is ignored")
}

func TestFailingUpstreamIsReplacedAfterDelay(t *testing.T) {
	now := time.Now()
	v := reported("a", 1).withFailure(now).withFailure(now.Add(replaceAfter))
	require.False(t, v.NeedsReplacement(now.Add(replaceAfter)))
	require.True(t, v.NeedsReplacement(now.Add(replaceAfter+1)))
}

// Load is the load of other instances at the last report plus the outstanding
// attempts of this instance. When all attempts since the last report counted until
// the next one, also those that had ended, an upstream with n slots received only
// n requests per 200 ms.
func TestLoadExcludesEndedAttempts(t *testing.T) {
	v := withReport(View{}, &upstreamv1.ReportResponse{Incarnation: "a", Sequence: 1, Running: 3, Queued: 1}, time.Now())
	v.Outstanding = 2
	require.Equal(t, 6, v.Load())
	v.OutstandingAtReport = 1
	require.Equal(t, 5, v.Load(), "attempts of this instance in the report do not count twice")
	v.Outstanding = 0
	require.Equal(t, 3, v.Load(), "ended attempts do not count")
	v.Outstanding, v.OutstandingAtReport = 9, 9
	require.Equal(t, 9, v.Load(), "outstanding attempts count even if a late report does not include them")
}

// Requests that wait for a free slot must notice that a peer found an upstream to be
// shutting down.
func TestPeerReportOfLeavingWakesWaiters(t *testing.T) {
	m := &Monitor{views: map[string]View{"u1": reported("a", 1)}}
	changed := m.Changed()
	m.RecordPeerLeaving([]string{"other"})
	select {
	case <-changed:
		require.Fail(t, "nothing has changed")
	default:
	}
	m.RecordPeerLeaving([]string{"a"})
	<-changed
	require.Equal(t, []string{"a"}, m.LeavingIncarnations())
}
