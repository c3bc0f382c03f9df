package admitter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Times to come back.
const (
	leastComeBack = 250 * time.Millisecond
	mostComeBack  = 10 * time.Second
	// defaultGap is the time between two returns if the service time is unknown.
	defaultGap = 10 * time.Millisecond
	// returnShare is the share of the target's grants that returns may take.
	returnShare = 0.5
)

// refuse returns the refusal of a request that never got a slot.
func (t *Table) refuse(l *line, w *Waiter, now time.Time, reason verdict.Reason, detail string) *Refused {
	return &Refused{w, verdict.Refuse(reason, l.comeBack(w.ID, now), "%s", detail)}
}

// Expire removes a request whose deadline has come, and returns its refusal.
// It returns nil if the request no longer waits.
func (t *Table) Expire(w *Waiter, now time.Time) *Refused {
	if !t.Leave(w) {
		return nil
	}
	return t.refuse(t.line(w.Target), w, now, verdict.ReasonDeadline, "no upstream had room in time")
}

// comeBack books a time to come back.
func (l *line) comeBack(id string, now time.Time) time.Duration {
	gap := defaultGap
	if per := l.perGrant(); per > 0 {
		gap = time.Duration(float64(per) / returnShare)
	}
	if first := now.Add(leastComeBack); l.booked.Before(first) {
		l.booked = first
	}
	last := now.Add(mostComeBack / 2)
	if l.booked.After(last) {
		return Spread(id, mostComeBack/2)
	}
	l.booked = l.booked.Add(gap)
	return l.booked.Sub(now)
}

// Spread returns a time between base and twice base. The same id always gets
// the same time.
func Spread(id string, base time.Duration) time.Duration {
	const parts = 1 << 16
	return base + time.Duration(int64(base)/parts*int64(xxhash.Sum64String(id)%parts))
}
