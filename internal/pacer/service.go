package pacer

import "time"

// Service is what the upstreams of a service have in common.
type Service struct {
	pause, first trend
	// crowd is how the time to the first event grows with the running requests, which the prompt
	// is read between, and some of whose prompts are in front.
	crowd trend
	// slowShare is the share of statements by slow upstreams, slowFactor their mean slowdown,
	// 0 if there was none.
	slowShare, slowFactor float64
}

// priorPause and priorFirst are the pause between events by running requests and the time to
// the first event by prompt tokens, in milliseconds, until responses have shown them.
var (
	priorPause = trend{base: 60, slope: 5}
	priorFirst = trend{base: 15, slope: 0.035}
	priorCrowd = trend{base: 0.8, slope: 0.05}
)

// WithSlowdown returns the service after an upstream has stated how long work takes there.
func (s Service) WithSlowdown(slowdown float64) Service {
	if slowdown < slowFrom {
		s.slowShare -= shareWeight * s.slowShare
		return s
	}
	s.slowShare += shareWeight * (1 - s.slowShare)
	if s.slowFactor == 0 {
		s.slowFactor = slowdown
	}
	s.slowFactor += factorWeight * (slowdown - s.slowFactor)
	return s
}

// Slowdown returns the expected slowdown of an upstream at this moment.
func (s Service) Slowdown(u Upstream, now time.Time) float64 { return s.outlook(u, now).mean() }

// Sample is a time measured on an upstream.
type Sample struct {
	// Took is the time to the first event, or the mean pause between later ones.
	Took time.Duration
	// Tokens is the length of the prompt, Running how many requests ran meanwhile.
	Tokens  int
	Running float64
}

// LearnFirst returns what is known after the time to a first event or to a plain response.
func LearnFirst(s Service, u Upstream, m Model, x Sample, now time.Time) (Service, Upstream, Model) {
	usual := milliseconds(x.Took) / s.Slowdown(u, now)
	first, crowd := s.first.or(priorFirst).at(float64(x.Tokens)), s.crowd.or(priorCrowd).at(x.Running)
	shape := first * crowd
	own, model := u.scale.value(), m.scale.value()
	s.first = s.first.with(float64(x.Tokens), usual/(own*model*crowd), priorFirst)
	s.crowd = s.crowd.with(x.Running, min(max(usual/(own*model*first), minRatio), maxRatio), priorCrowd)
	u.scale, m.scale = u.scale.with(usual/(shape*model)), m.scale.with(usual/(shape*own))
	return s, u, m
}

// LearnPause returns what is known after a mean pause between some events.
func LearnPause(s Service, u Upstream, m Model, x Sample, now time.Time) (Service, Upstream, Model) {
	usual := milliseconds(x.Took) / s.Slowdown(u, now)
	shape := s.pause.or(priorPause).at(x.Running)
	own, model := u.scale.value(), m.scale.value()
	s.pause = s.pause.with(x.Running, usual/(own*model), priorPause)
	u.scale, m.scale = u.scale.with(usual/(shape*model)), m.scale.with(usual/(shape*own))
	return s, u, m
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// trend is a line through decaying samples, by least squares.
type trend struct {
	base, slope     float64
	w, x, y, xx, xy float64 // sums over the samples
}

const (
	// trendDecay is what remains of the weight of earlier samples after another one.
	trendDecay = 0.998
	// trendPrior is the weight of the assumed line.
	trendPrior = 4
)

// or returns the trend, or another one if there is no sample.
func (t trend) or(prior trend) trend {
	if t.w == 0 {
		return prior
	}
	return t
}

func (t trend) at(x float64) float64 { return t.base + t.slope*x }

// with returns the trend after another sample. The prior stands for two points, so that the
// slope is known before the samples differ.
func (t trend) with(x, y float64, prior trend) trend {
	t.w, t.x, t.y = trendDecay*t.w+1, trendDecay*t.x+x, trendDecay*t.y+y
	t.xx, t.xy = trendDecay*t.xx+x*x, trendDecay*t.xy+x*y
	// The slope is that of the samples, with some weight of the prior's; the line goes through
	// the mean of the samples.
	meanX, meanY := t.x/t.w, t.y/t.w
	varX, covXY := t.xx-t.w*meanX*meanX, t.xy-t.w*meanX*meanY
	ridge := trendPrior * max(meanX*meanX, 1)
	priorSlope := prior.slope * meanY / max(prior.at(meanX), 1)
	t.slope = max(0, (covXY+ridge*priorSlope)/(varX+ridge))
	t.base = meanY - t.slope*meanX
	if t.base < minBaseShare*meanY {
		t.base = minBaseShare * meanY
		t.slope = (meanY - t.base) / max(meanX, 1)
	}
	return t
}

// minBaseShare is the least share of a usual time that does not depend on the load.
const minBaseShare = 0.05
