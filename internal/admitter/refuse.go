package admitter

import (
	"time"

	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Limits and defaults of retry delays.
const (
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 30 * time.Minute
	// defaultRetryGap is the time between two retries if the service time is unknown.
	defaultRetryGap = 10 * time.Millisecond
	// retryShare is the share of the grants of a target that retries may use.
	retryShare = 0.25
)

// refuse returns the refusal of a request that never got a slot.
func (t *Table) refuse(q *targetQueue, w *Waiter, now time.Time, reason verdict.Reason, detail string) *RefusedRequest {
	return &RefusedRequest{w, verdict.Refuse(reason, q.bookRetry(w, now), "%s", detail)}
}

// Expire removes a request at its deadline and returns its refusal. It returns
// nil if the request no longer waits.
func (t *Table) Expire(w *Waiter, now time.Time, reason verdict.Reason) *RefusedRequest {
	if !t.Remove(w) {
		return nil
	}
	detail := "no upstream had room in time"
	if reason == verdict.ReasonContractLimit {
		detail = "all that the contract allows was in use"
	}
	return t.refuse(t.queueOf(w.Target), w, now, reason, detail)
}

// bookRetry assigns the next retry time and returns the delay until then. Each
// customer and class has its own sequence, so that a flood of one does not
// delay the retries of the others. A retry time that would be more than half of
// maxRetryDelay away is not assigned; the delay is then derived from the ID of the
// request.
func (q *targetQueue) bookRetry(w *Waiter, now time.Time) time.Duration {
	gap := defaultRetryGap
	if interval := q.grantInterval(); interval > 0 {
		gap = time.Duration(float64(interval) / retryShare)
	}
	k := flowKey{w.Class, w.Customer}
	next := q.nextRetry[k]
	if first := now.Add(minRetryDelay); next.Before(first) {
		next = first
	}
	if next.Sub(now) > maxRetryDelay/2 {
		return verdict.JitteredRetryDelay(w.ID, maxRetryDelay/2)
	}
	if q.nextRetry == nil {
		q.nextRetry = make(map[flowKey]time.Time)
	}
	q.nextRetry[k] = next.Add(gap)
	return next.Sub(now)
}
