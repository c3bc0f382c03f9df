package monitor

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/breaker"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// View is an upstream as this instance sees it. Reports are never changed in place.
type View struct {
	Config *recordv1.Upstream
	Report *upstreamv1.ReportResponse // nil before the first
	Heard  time.Time
	// Failed is when the last report failed or a connection was refused, zero
	// after a newer report.
	Failed time.Time
	// FailedSince is when the present run of failures began, zero for none.
	FailedSince time.Time
	// Left is the incarnation that the list or a refusal calls leaving.
	Left string
	// Breaker is what the attempts' outcomes say.
	Breaker breaker.Breaker
	// Latency is the smoothed time to the first byte, zero if unknown.
	Latency time.Duration
	// Outstanding is what this instance has sent and not heard the end of.
	Outstanding int
	// Reported is what was outstanding here when the last report was asked for.
	Reported int
}

// IsUsable reports whether new work may go to the upstream at the given time.
func (v View) IsUsable(now time.Time) bool {
	return v.Report != nil && !v.IsLeaving() && v.Failed.IsZero() &&
		now.Sub(v.Heard) < DefaultStaleAfter && v.Breaker.Allows(now)
}

// IsStranded reports whether the upstream is out of use for so long that what
// is loaded there should be replaced elsewhere.
func (v View) IsStranded(now time.Time) bool {
	return v.IsLeaving() || !v.FailedSince.IsZero() && now.Sub(v.FailedSince) > strandedAfter
}

// withFailure returns the view after a report or a connection failed.
func (v View) withFailure(now time.Time) View {
	v.Failed = now
	if v.FailedSince.IsZero() {
		v.FailedSince = now
	}
	return v
}

// IsLeaving reports whether anything says that the upstream leaves.
func (v View) IsLeaving() bool {
	return v.Report.GetLeaving() || v.Left != "" && v.Left == v.Report.GetIncarnation()
}

// Load returns the requests that run or wait at the upstream, as far as known:
// what others had there at the last report, and what this instance has there
// now. What this instance sent and has heard the end of counts no longer,
// whatever a late report says.
func (v View) Load() int {
	reported := int(v.Report.GetRunning() + v.Report.GetQueued())
	return max(reported-v.Reported, 0) + v.Outstanding
}

// withListed takes over the list's word. The list lags: a newer incarnation
// that reports itself is not bound by what the list says of an older one.
func (v View) withListed(in *platformv1.Instance) View {
	switch in.GetState() {
	case platformv1.InstanceState_INSTANCE_STATE_LEAVING, platformv1.InstanceState_INSTANCE_STATE_GONE:
		if inc := in.GetIncarnation(); inc != "" {
			v.Left = inc
		}
	}
	return v
}

// withReport takes over a report that is newer than the last one. A report
// clears a failure only if it was asked for after the failure.
func withReport(v View, r *upstreamv1.ReportResponse, asked time.Time) View {
	same := v.Report.GetIncarnation() == r.GetIncarnation()
	if same && r.GetSequence() < v.Report.GetSequence() {
		return v
	}
	if !same {
		v.Breaker = breaker.Breaker{}
		v.Latency = 0
	}
	v.Report = r
	v.Heard = time.Now()
	if asked.After(v.Failed) {
		v.Failed, v.FailedSince = time.Time{}, time.Time{}
	}
	return v
}
