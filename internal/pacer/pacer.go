// Package pacer estimates how soon an upstream responds to one more request, and how long the
// events of the streams pause there.
//
// It is designed for engines that differ in speed, that slow down for fractions of a second,
// and that state in responses how long their work takes at this moment. An engine runs its
// requests as a batch: a step takes longer with more running requests and with larger models,
// and prompts are read between the steps. No figure of an engine is configured; all of them
// are learnt from responses:
//
//   - A Service holds what its upstreams have in common: the usual pause between events by
//     running requests, the usual time to the first event by prompt tokens, and how often and
//     how much upstreams slow down.
//   - An Upstream holds how its own usual speed differs from that, how slow it is now, and how
//     many requests of other instances run there.
//   - A Model holds how its speed differs from that of the other models.
//
// All three are immutable values whose zero value is ready to use. They read no clock.
package pacer

import (
	"math"
	"time"
)

const (
	// slowdownLifetime is the time constant with which a stated slowdown gives way to the mean:
	// slowdowns last about 600 ms, so a statement says little after that.
	slowdownLifetime = 400 * time.Millisecond
	// countLifetime is the time constant with which the number of running requests in a
	// response gives way to the conductor's view, which is up to 400 ms old.
	countLifetime = 300 * time.Millisecond
	// slowFrom is the slowdown from which an upstream counts as slowed down.
	slowFrom = 1.3
	// shareWeight and factorWeight are the weights of a new sample in the share of slow
	// upstreams and in their mean slowdown.
	shareWeight, factorWeight = 0.01, 0.05
	// maxSamples bounds the weight of earlier samples in a scale, so that it follows a change.
	maxSamples = 40
	// priorSamples is the weight of the assumption that an upstream or a model is like the
	// others of its service.
	priorSamples = 1
	// minRatio and maxRatio bound a sample of a scale, so that one late packet does not count
	// for an engine of a hundredth of the speed.
	minRatio, maxRatio = 0.2, 4
	// slowdownsInLife is how many slowdowns a stream may meet while it runs, in multiples of the
	// share of time that they take: streams run several times as long as a slowdown.
	slowdownsInLife = 4
	// surelyInTime and surelyLate are the expected times, as shares of their bound, up to which
	// none and from which all requests are late. The expectation is a mean; single pauses
	// scatter around it.
	surelyInTime, surelyLate = 0.6, 1.2
)

// Model is the speed of a model as learnt from responses.
type Model struct{ scale scale }

// WithPrior returns a model of which nothing is known but its expected scale, as a multiple of
// the time that a usual model takes.
func (m Model) WithPrior(prior float64) Model {
	m.scale.prior = prior
	return m
}

// Upstream is what is known about one run of an upstream.
type Upstream struct {
	scale      scale
	slowdown   float64
	slowdownAt time.Time
	others     float64
	othersAt   time.Time
}

// WithSlowdown returns the upstream after it has stated how long work takes there, as a
// multiple of the usual time.
func (u Upstream) WithSlowdown(slowdown float64, now time.Time) Upstream {
	u.slowdown, u.slowdownAt = slowdown, now
	return u
}

// WithOthers returns the upstream after a response has shown how many requests of other
// instances run or wait there.
func (u Upstream) WithOthers(n int, now time.Time) Upstream {
	u.others, u.othersAt = float64(max(n, 0)), now
	return u
}

// Others returns the number of requests of other instances on the upstream, given the number
// in the conductor's view.
func (u Upstream) Others(viewed int, now time.Time) float64 {
	if u.othersAt.IsZero() {
		return float64(viewed)
	}
	return float64(viewed) + (u.others-float64(viewed))*remaining(now.Sub(u.othersAt), countLifetime)
}

// SlowdownAge returns how old the newest statement of the slowdown is, and false if there is
// none.
func (u Upstream) SlowdownAge(now time.Time) (time.Duration, bool) {
	return now.Sub(u.slowdownAt), u.slowdown > 0
}

// Scale returns how long work usually takes on the upstream, as a multiple of what it takes on
// the others of its service.
func (u Upstream) Scale() float64 { return u.scale.value() }

// remaining returns the weight of what was known some time ago.
func remaining(age, lifetime time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(lifetime))
}

// scale is how long work takes in comparison, as a mean of samples.
type scale struct {
	prior, mean float64 // prior 0 stands for 1
	samples     float64
}

func (s scale) value() float64 {
	switch {
	case s.samples > 0:
		return s.mean
	case s.prior > 0:
		return s.prior
	}
	return 1
}

func (s scale) with(ratio float64) scale {
	s.mean = s.value()
	s.samples = min(s.samples+1, maxSamples)
	s.mean += (min(max(ratio, minRatio), maxRatio) - s.mean) / (s.samples + priorSamples)
	return s
}
