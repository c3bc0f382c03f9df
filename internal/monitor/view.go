package monitor

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/breaker"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// View is the state of an upstream as known to this instance. Reports are never
// changed in place.
type View struct {
	Config *recordv1.Upstream
	Report *upstreamv1.ReportResponse // nil before the first report
	// ReportedAt is when the last report was received.
	ReportedAt time.Time
	// FailedAt is when a request for a report or a connection last failed, zero
	// after a report that was requested later.
	FailedAt time.Time
	// FailingSince is when the current series of failures started, zero for none.
	FailingSince time.Time
	// LeavingIncarnation is the incarnation that is shutting down according to the
	// instance list, a peer or a refusal.
	LeavingIncarnation string
	// Breaker is the circuit breaker that counts the results of attempts.
	Breaker breaker.Breaker
	// Latency is the smoothed time to the first byte, zero if unknown.
	Latency time.Duration
	// Outstanding is the number of attempts of this instance that have not ended.
	Outstanding int
	// OutstandingAtReport is the value of Outstanding when the last report was
	// requested.
	OutstandingAtReport int
}

// IsUsable reports whether the upstream may receive new requests at the given
// time.
func (v View) IsUsable(now time.Time) bool {
	return v.Report != nil && !v.IsLeaving() && v.FailedAt.IsZero() &&
		now.Sub(v.ReportedAt) < DefaultStaleAfter && v.Breaker.Allows(now)
}

// NeedsReplacement reports whether the upstream has been unusable for so long
// that its replicas should be replaced on other upstreams.
func (v View) NeedsReplacement(now time.Time) bool {
	return v.IsLeaving() || !v.FailingSince.IsZero() && now.Sub(v.FailingSince) > replaceAfter
}

// withFailure returns the view after a request for a report or a connection has
// failed.
func (v View) withFailure(now time.Time) View {
	v.FailedAt = now
	if v.FailingSince.IsZero() {
		v.FailingSince = now
	}
	return v
}

// IsLeaving reports whether the upstream is shutting down according to its report,
// the instance list, a peer or a refusal.
func (v View) IsLeaving() bool {
	return v.Report.GetLeaving() || v.LeavingIncarnation != "" && v.LeavingIncarnation == v.Report.GetIncarnation()
}

// Load returns the known number of requests that run or wait at the upstream:
// those of the other instances at the last report, and those of this instance
// now. Attempts of this instance that have ended do not count, even if a late
// report includes them.
func (v View) Load() int {
	reported := int(v.Report.GetRunning() + v.Report.GetQueued())
	return max(reported-v.OutstandingAtReport, 0) + v.Outstanding
}

// withListed returns the view with the state from the instance list. The list
// lags: the state of an older incarnation does not apply to a newer one that
// sends reports.
func (v View) withListed(in *platformv1.Instance) View {
	switch in.GetState() {
	case platformv1.InstanceState_INSTANCE_STATE_LEAVING, platformv1.InstanceState_INSTANCE_STATE_GONE:
		if inc := in.GetIncarnation(); inc != "" {
			v.LeavingIncarnation = inc
		}
	}
	return v
}

// withReport returns the view with a report, if it is not older than the last one.
// A report clears a failure only if it was requested after the failure.
func withReport(v View, r *upstreamv1.ReportResponse, requestedAt time.Time) View {
	isSameIncarnation := v.Report.GetIncarnation() == r.GetIncarnation()
	if isSameIncarnation && r.GetSequence() < v.Report.GetSequence() {
		return v
	}
	if !isSameIncarnation {
		v.Breaker = breaker.Breaker{}
		v.Latency = 0
	}
	v.Report = r
	v.ReportedAt = time.Now()
	if requestedAt.After(v.FailedAt) {
		v.FailedAt, v.FailingSince = time.Time{}, time.Time{}
	}
	return v
}
