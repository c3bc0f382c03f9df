// Package limiter estimates how many concurrent loads the weight store runs at full
// speed.
//
// The store does not report that number. With more concurrent loads each takes
// longer, in proportion, and an upstream accepts no other order while it waits
// for its load. So the number is estimated from the durations of finished loads.
// If a load took much longer than it takes alone, the estimate is lowered to the
// number of loads that would have run at full speed. If a load ran at full speed
// while at least the estimated number of loads were in flight, it is raised by one.
//
// The first loads show nothing until they have finished, and they cannot be stopped. On
// a store that needs long for a single load, several loads at once would keep it from
// the models that are requested meanwhile for minutes, so its limit starts at one.
//
// A Limit is an immutable value; its zero value has MaxLoads.
package limiter

import "time"

const (
	// MaxLoads is the largest number of concurrent loads, and the initial one unless a
	// load takes slowLoad or longer.
	MaxLoads = 4
	slowLoad = 10 * time.Second
	// A load was slowed down by others if it took more than slowRatio times its
	// duration alone. It ran at full speed if it took less than fullSpeedRatio times
	// that duration.
	slowRatio      = 1.5
	fullSpeedRatio = 1.2
	// loadsToRaise is how many loads must run at full speed before the limit of a store
	// with slow loads is raised.
	loadsToRaise = 3
)

// Limit is the estimated number of concurrent loads that run at full speed.
type Limit struct {
	reduction int
	// isCautious reports that loadsToRaise loads at full speed raise the limit, instead
	// of one. numFullSpeed counts them since the limit was last changed.
	isCautious   bool
	numFullSpeed int
}

// New returns the limit of a store that needs the given time for a load alone.
func New(alone time.Duration) Limit {
	if alone >= slowLoad {
		return Limit{reduction: MaxLoads - 1, isCautious: true}
	}
	return Limit{}
}

// Loads returns the estimated number of concurrent loads that run at full speed.
func (l Limit) Loads() int { return MaxLoads - l.reduction }

// WithLoad returns the limit after a load has finished: took is its duration, alone
// its duration without other loads, and concurrent the number of loads in flight
// when it started, itself included.
func (l Limit) WithLoad(took, alone time.Duration, concurrent int) Limit {
	if alone <= 0 {
		return l
	}
	switch n := l.Loads(); {
	case took.Seconds() > slowRatio*alone.Seconds():
		estimate := int(float64(concurrent) * alone.Seconds() / took.Seconds())
		l.reduction, l.numFullSpeed = MaxLoads-min(n, max(1, estimate)), 0
	case took.Seconds() < fullSpeedRatio*alone.Seconds() && concurrent >= n:
		l.numFullSpeed++
		if !l.isCautious || l.numFullSpeed >= loadsToRaise {
			l.reduction, l.numFullSpeed = max(0, l.reduction-1), 0
		}
	}
	return l
}
