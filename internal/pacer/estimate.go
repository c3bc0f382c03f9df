package pacer

import "time"

// Attempt describes one more request on an upstream.
type Attempt struct {
	// Tokens is the length of the prompt, TokensInFront that of the prompts which the upstream
	// reads before.
	Tokens, TokensInFront int
	// Running is the number of requests that run or wait there.
	Running float64
	// Slots is how many run at once. Further ones wait there.
	Slots int
	// IsPlain says that the upstream is no model engine.
	IsPlain bool
	// MaxPause is the bound of the pause between two events, 0 for none.
	MaxPause time.Duration
	// TimeLeft is the time left until the objective for the first event, 0 for none.
	TimeLeft time.Duration
}

// Estimate is what one more request on an upstream is expected to see.
type Estimate struct {
	// First is the time to the first event, or to the response of a plain service.
	First time.Duration
	// Pause is the longest pause between events, of this and the other streams there.
	Pause time.Duration
	// Slowdown is the assumed slowdown.
	Slowdown float64
	// Late is how many more streams are expected to be late, this one included.
	Late float64
	// IsWithin says that the pause is within its bound.
	IsWithin bool
}

// Estimate returns what one more request on an upstream is expected to see.
func (s Service) Estimate(u Upstream, m Model, a Attempt, now time.Time) Estimate {
	x := s.outlook(u, now)
	scale := u.scale.value() * m.scale.value()
	first := s.first.or(priorFirst)
	e := Estimate{Slowdown: x.mean()}
	if a.IsPlain {
		rounds := max(1, (a.Running+1)/float64(max(a.Slots, 1)))
		usual := first.at(0) * scale * rounds
		e.First, e.IsWithin, e.Late = duration(usual*e.Slowdown), true, x.late(usual, a.TimeLeft)
		return e
	}
	// The prompt is read between the steps of the batch, so the streams that run there pause
	// for it.
	reading := first.slope * float64(a.Tokens+a.TokensInFront) * scale
	usual := (first.base*scale + reading) * s.crowd.or(priorCrowd).at(a.Running)
	e.First = duration(usual * e.Slowdown)
	pause := s.pause.or(priorPause)
	before, after := pause.at(a.Running)*scale, pause.at(a.Running+1)*scale
	during := after
	if a.Running >= 1 {
		during += reading
	}
	e.Pause = duration(during * e.Slowdown)
	e.IsWithin = a.MaxPause == 0 || e.Pause <= a.MaxPause
	e.Late = x.late(usual, a.TimeLeft)
	if a.Running+0.5 >= float64(a.Slots) {
		e.Late, e.IsWithin = 1, false // the request waits until another one ends
	}
	if a.MaxPause > 0 {
		later := outlook{usualShare: 1 - min(1, slowdownsInLife*s.slowShare), slowShare: min(1, slowdownsInLife*s.slowShare), slowFactor: s.slowFactor}
		own := later.late(after, a.MaxPause)
		e.Late = max(e.Late, own)
		// The streams that run there may become late by this one.
		e.Late += a.Running * max(0, max(own, x.late(during, a.MaxPause))-later.late(before, a.MaxPause))
	}
	return e
}

// MayBeLate reports whether one more request may make a stream late if the upstream has slowed
// down since its last statement.
func (s Service) MayBeLate(u Upstream, m Model, a Attempt, now time.Time) bool {
	if s.slowFactor == 0 {
		return false
	}
	slowed := s.Estimate(u.WithSlowdown(s.slowFactor, now), m, a, now)
	return slowed.Late > negligible
}

// negligible is the expected number of late streams that is not worth a probe.
const negligible = 0.05

// outlook is how an upstream may be slowed down: as it last stated, not at all, or as much as
// upstreams are when they slow down. The shares add up to one.
type outlook struct {
	statedShare, usualShare, slowShare float64
	stated, slowFactor                 float64
}

// outlook returns how an upstream may be slowed down at this moment.
func (s Service) outlook(u Upstream, now time.Time) outlook {
	x := outlook{slowShare: s.slowShare, slowFactor: s.slowFactor, stated: u.slowdown}
	if u.slowdown > 0 {
		x.statedShare = remaining(now.Sub(u.slowdownAt), slowdownLifetime)
		x.slowShare *= 1 - x.statedShare
	}
	x.usualShare = 1 - x.statedShare - x.slowShare
	return x
}

func (x outlook) mean() float64 {
	return x.statedShare*x.stated + x.usualShare + x.slowShare*x.slowFactor
}

// late returns the probability that something takes longer than a bound, given how long it
// usually takes in milliseconds.
func (x outlook) late(usual float64, bound time.Duration) float64 {
	return x.statedShare*lateShare(usual*x.stated, bound) + x.usualShare*lateShare(usual, bound) + x.slowShare*lateShare(usual*x.slowFactor, bound)
}

// lateShare returns the share of requests that exceed a bound, given the expected time in
// milliseconds.
func lateShare(expected float64, bound time.Duration) float64 {
	if bound <= 0 {
		return 0
	}
	return min(max((expected/milliseconds(bound)-surelyInTime)/(surelyLate-surelyInTime), 0), 1)
}
