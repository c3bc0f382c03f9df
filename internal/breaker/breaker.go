// Package breaker implements a circuit breaker for the attempts at an upstream.
//
// An upstream may fail every attempt although its own reports and the platform's
// list of upstreams show it as healthy. A breaker opens after a few consecutive
// failures and stays open for a time that doubles with each further failure.
// Then it allows one trial attempt at a time; a success closes it.
//
// A Breaker is an immutable value; its zero value is closed. It reads no clock.
package breaker

import "time"

// Limits of a Breaker.
const (
	// FailuresToOpen is the number of consecutive failures that open a breaker.
	FailuresToOpen = 3
	// MinOpen and MaxOpen limit the time for which a breaker stays open.
	MinOpen = 500 * time.Millisecond
	MaxOpen = 30 * time.Second
	// TrialTimeout is the time after which a trial without an outcome no longer
	// blocks the next one.
	TrialTimeout = 10 * time.Second
)

// Breaker is the state of one upstream, derived from the outcomes of attempts.
type Breaker struct {
	failures   int // consecutive
	openTime   time.Duration
	openUntil  time.Time // end of the open time
	trialStart time.Time // start of the running trial, zero for none
}

// Allows reports whether an attempt may start.
func (b Breaker) Allows(now time.Time) bool {
	if b.failures < FailuresToOpen {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	return b.trialStart.IsZero() || now.Sub(b.trialStart) > TrialTimeout
}

// IsOpen reports whether the breaker blocks attempts other than trials.
func (b Breaker) IsOpen() bool {
	return b.failures >= FailuresToOpen
}

// WithAttempt returns the breaker after the start of an attempt.
func (b Breaker) WithAttempt(now time.Time) Breaker {
	if b.IsOpen() {
		b.trialStart = now
	}
	return b
}

// WithSuccess returns the breaker after a successful attempt.
func (b Breaker) WithSuccess() Breaker {
	return Breaker{}
}

// WithFailure returns the breaker after a failed attempt. Failures of attempts
// that started before the open time ended do not prolong it.
func (b Breaker) WithFailure(began, now time.Time) Breaker {
	if b.IsOpen() && began.Before(b.openUntil) {
		return b
	}
	b.failures++
	b.trialStart = time.Time{}
	if b.IsOpen() {
		b.openTime = min(max(2*b.openTime, MinOpen), MaxOpen)
		b.openUntil = now.Add(b.openTime)
	}
	return b
}
