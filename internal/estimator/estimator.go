// Package estimator estimates the failure probability of upstreams from the outcomes
// of their attempts.
//
// A circuit breaker opens when consecutive attempts at an upstream fail. An
// upstream that loses or corrupts one response in five never opens it, and each
// such response may belong to a request that must not be sent again. An Estimate
// is an exponentially decaying mean of the outcomes, by which upstreams can be
// compared.
//
// An Estimate is an immutable value; its zero value has a failure probability of
// 0. It reads no clock.
package estimator

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
func New(probability float64, at time.Time) Estimate {
	return Estimate{probability: min(max(probability, 0), 1), at: at}
}

// Estimate is the failure estimate of one upstream.
type Estimate struct {
	probability float64
	at          time.Time
}

// FailureProbability returns the probability that an attempt fails, from 0 to 1.
func (e Estimate) FailureProbability(now time.Time) float64 {
	age := max(0, now.Sub(e.at))
	return e.probability * math.Exp(-age.Seconds()/decayTime.Seconds())
}

// WithSuccess returns the estimate after an attempt that succeeded.
func (e Estimate) WithSuccess(now time.Time) Estimate {
	return Estimate{probability: (1 - sampleWeight) * e.FailureProbability(now), at: now}
}

// WithFailure returns the estimate after an attempt that failed.
func (e Estimate) WithFailure(now time.Time) Estimate {
	p := e.FailureProbability(now)
	return Estimate{probability: p + sampleWeight*(1-p), at: now}
}

// WithCounts returns the estimate after a number of attempts, of which the given
// number failed. Without attempts the estimate does not change.
func (e Estimate) WithCounts(attempts, failures int, now time.Time) Estimate {
	if attempts <= 0 {
		return e
	}
	share := float64(min(failures, attempts)) / float64(attempts)
	oldWeight := math.Pow(1-sampleWeight, float64(attempts))
	return Estimate{probability: oldWeight*e.FailureProbability(now) + (1-oldWeight)*share, at: now}
}
