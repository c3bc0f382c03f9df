package admitter

import (
	"time"

	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Times to come back.
const (
	leastComeBack = 250 * time.Millisecond
	mostComeBack  = 30 * time.Minute
	// defaultGap is the time between two returns if the service time is unknown.
	defaultGap = 10 * time.Millisecond
	// returnShare is the share of the target's grants that returns may take.
	returnShare = 0.25
)

// refuse returns the refusal of a request that never got a slot.
func (t *Table) refuse(l *line, w *Waiter, now time.Time, reason verdict.Reason, detail string) *Refused {
	return &Refused{w, verdict.Refuse(reason, l.comeBack(w, now), "%s", detail)}
}

// Expire removes a request whose deadline has come, and returns its refusal.
// It returns nil if the request no longer waits.
func (t *Table) Expire(w *Waiter, now time.Time, reason verdict.Reason) *Refused {
	if !t.Leave(w) {
		return nil
	}
	detail := "no upstream had room in time"
	if reason == verdict.ReasonContractLimit {
		detail = "all that the contract allows was in use"
	}
	return t.refuse(t.line(w.Target), w, now, reason, detail)
}

// comeBack books a time to come back. Each customer and class has its own
// bookings, so that a flood does not send the others far away.
func (l *line) comeBack(w *Waiter, now time.Time) time.Duration {
	gap := defaultGap
	if per := l.perGrant(); per > 0 {
		gap = time.Duration(float64(per) / returnShare)
	}
	k := flowKey{w.Class, w.Customer}
	next := l.booked[k]
	if first := now.Add(leastComeBack); next.Before(first) {
		next = first
	}
	if next.Sub(now) > mostComeBack/2 {
		return verdict.Spread(w.ID, mostComeBack/2)
	}
	if l.booked == nil {
		l.booked = make(map[flowKey]time.Time)
	}
	l.booked[k] = next.Add(gap)
	return next.Sub(now)
}
