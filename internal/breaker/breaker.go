// Package breaker decides by outcomes whether an upstream gets new attempts.
//
// Reports and lists may call an upstream well that fails every attempt. A
// breaker opens after a few failures in a row and stays open for a while that
// doubles with every further failure. Then it lets one trial attempt through
// at a time; a success closes it again.
//
// A Breaker is an immutable value; its zero value is closed. It reads no clock.
package breaker

import "time"

// Bounds of a Breaker.
const (
	// FailuresToOpen is how many failures in a row open a breaker.
	FailuresToOpen = 3
	// MinOpen and MaxOpen bound how long it stays open.
	MinOpen = 500 * time.Millisecond
	MaxOpen = 30 * time.Second
	// TrialTimeout is how long a trial without an outcome keeps others back.
	TrialTimeout = 10 * time.Second
)

// Breaker is what outcomes say of one upstream.
type Breaker struct {
	failures int // in a row
	open     time.Duration
	until    time.Time // open until then
	trial    time.Time // when a trial began, zero for none
}

// Allows reports whether an attempt may begin.
func (b Breaker) Allows(now time.Time) bool {
	if b.failures < FailuresToOpen {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	return b.trial.IsZero() || now.Sub(b.trial) > TrialTimeout
}

// IsOpen reports whether the upstream is kept from ordinary attempts.
func (b Breaker) IsOpen() bool {
	return b.failures >= FailuresToOpen
}

// WithAttempt returns the breaker after an attempt began.
func (b Breaker) WithAttempt(now time.Time) Breaker {
	if b.IsOpen() {
		b.trial = now
	}
	return b
}

// WithSuccess returns the breaker after an attempt was answered.
func (b Breaker) WithSuccess() Breaker {
	return Breaker{}
}

// WithFailure returns the breaker after an attempt failed. Failures of
// attempts that began before the breaker opened do not open it for longer.
func (b Breaker) WithFailure(began, now time.Time) Breaker {
	if b.IsOpen() && began.Before(b.until) {
		return b
	}
	b.failures++
	b.trial = time.Time{}
	if b.IsOpen() {
		b.open = min(max(2*b.open, MinOpen), MaxOpen)
		b.until = now.Add(b.open)
	}
	return b
}
