package allotter

import (
	"math"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/authenticator"
)

const (
	// NumParts is the number of parts of each quota. A lender has one or more of them.
	NumParts = 3
	// maxValidity and minValidity bound the time for which a loan is valid. It is shorter
	// for a quota whose bound leaves little room above its rate, since what is lent may be
	// used that much later.
	maxValidity = 500 * time.Millisecond
	minValidity = 200 * time.Millisecond
	// baseRatio is the part of the rate that all instances together may use without a
	// lender, and baseTime the time over which an instance accumulates its share.
	baseRatio = 0.04
	baseTime  = time.Second
	// minBurstTime is the least burst of the lenders together, as time at the full rate. A
	// shorter one would lose refill between two requests.
	minBurstTime = 150 * time.Millisecond
	// minBurstSlack is the least burst as a multiple of the slack, as far as a shorter validity
	// of loans allows it. The slack is chosen for large requests. A burst of fewer than two
	// or three of them would refuse requests at the usual demand.
	minBurstSlack = 1.5
	// sendTime is the time that may pass between the last check of a loan and the arrival
	// of the request at its upstream.
	sendTime = 20 * time.Millisecond
	// usedSlack is the part of the slack that is lent; the remainder covers the rounding of times.
	usedSlack = 0.9
)

// Bounds limit the use of an account within a window. For a quota of a rate and a burst it
// is at most (rate x window + burst) x (1 + overage) + slack. The zero value stands for
// the default window and overage, without slack.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

const (
	defaultWindow  = 8 * time.Second
	defaultOverage = 0.1
)

func (b Bounds) withDefaults() Bounds {
	if b.Window <= 0 {
		b.Window = defaultWindow
		if b.Overage == 0 {
			b.Overage = defaultOverage
		}
	}
	return b
}

// Limit returns the maximum use of an account within a window.
func (b Bounds) Limit(q authenticator.Quota) float64 {
	b = b.withDefaults()
	return (q.Rate*b.Window.Seconds()+q.Burst)*(1+b.Overage) + b.Slack
}

// terms are what the bounds allow the lenders of a quota together.
type terms struct {
	rate, burst float64
	validity    time.Duration
	// window is the use within windowTime that the rate and the burst add up to.
	window     float64
	windowTime time.Duration
	// base is the rate of all base shares together.
	base float64
}

// termsOf divides the bound of a quota. Within a window, the lenders lend at most what is
// in their buckets at its start, and the rate for the window and the time before it in
// which loans were made that are still valid. The base shares come on top.
func (b Bounds) termsOf(q authenticator.Quota) terms {
	b = b.withDefaults()
	window := b.Window.Seconds()
	t := terms{rate: q.Rate, base: baseRatio * q.Rate, validity: maxValidity}
	// What the bound leaves for the burst and for the validity of loans, at the full rate.
	room := b.Limit(q) - (1-usedSlack)*b.Slack - t.base*(window+baseTime.Seconds()) - q.Rate*(window+sendTime.Seconds())
	least := q.Rate * minBurstTime.Seconds()
	if free := seconds((room - max(least, minBurstSlack*b.Slack)) / q.Rate); free < t.validity {
		t.validity = max(free, minValidity)
	}
	t.burst = room - q.Rate*t.validity.Seconds()
	if t.burst < least {
		t.rate = max(0, t.rate-(least-t.burst)/(window+t.validity.Seconds()))
		t.burst = least
	}
	t.windowTime = b.Window + t.validity
	t.window = t.burst + t.rate*t.windowTime.Seconds()
	return t
}

// part returns the terms for a number of parts.
func (t terms) part(parts int) terms {
	share := float64(parts) / NumParts
	t.rate, t.burst, t.window = t.rate*share, t.burst*share, t.window*share
	return t
}

// seconds returns a number of seconds as a duration, bounded so that it does not overflow.
func seconds(s float64) time.Duration {
	const limit = 1e6
	if math.IsNaN(s) {
		return 0
	}
	return time.Duration(max(-limit, min(limit, s)) * float64(time.Second))
}
