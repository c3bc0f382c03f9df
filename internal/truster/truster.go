// Package truster estimates the failure probability of upstreams from the outcomes
// of their attempts.
//
// A circuit breaker opens when consecutive attempts at an upstream fail. An
// upstream that loses or corrupts one response in five never opens it, and each
// such response may belong to a request that must not be sent again. A Trust is
// an exponentially decaying mean of the outcomes, by which upstreams can be
// compared.
//
// A Trust is an immutable value; its zero value has a failure probability of 0. It
// reads no clock.
package truster

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of one outcome in the mean.
	sampleWeight = 0.1
	// decayTime is the time constant with which the estimate decays to 0. Without
	// the decay an ejected upstream, which gets no attempts, would never recover.
	decayTime = 5 * time.Second
)

// New returns an estimate with a failure probability, limited to 0 to 1, at a time.
func New(probability float64, at time.Time) Trust {
	return Trust{probability: min(max(probability, 0), 1), at: at}
}

// Trust is the failure estimate of one upstream.
type Trust struct {
	probability float64
	at          time.Time
}

// Risk returns the probability that an attempt fails, from 0 to 1.
func (t Trust) Risk(now time.Time) float64 {
	age := max(0, now.Sub(t.at))
	return t.probability * math.Exp(-age.Seconds()/decayTime.Seconds())
}

// WithSuccess returns the estimate after an attempt that succeeded.
func (t Trust) WithSuccess(now time.Time) Trust {
	return Trust{probability: (1 - sampleWeight) * t.Risk(now), at: now}
}

// WithFailure returns the estimate after an attempt that failed.
func (t Trust) WithFailure(now time.Time) Trust {
	r := t.Risk(now)
	return Trust{probability: r + sampleWeight*(1-r), at: now}
}

// WithCounts returns the estimate after a number of attempts, of which the given
// number failed. Without attempts the estimate does not change.
func (t Trust) WithCounts(attempts, failures int, now time.Time) Trust {
	if attempts <= 0 {
		return t
	}
	share := float64(min(failures, attempts)) / float64(attempts)
	oldWeight := math.Pow(1-sampleWeight, float64(attempts))
	return Trust{probability: oldWeight*t.Risk(now) + (1-oldWeight)*share, at: now}
}
