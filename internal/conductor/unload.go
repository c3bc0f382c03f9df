package conductor

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// maxUnloadDuration bounds the estimate. One deployment's unloads took 44 to 57 ms in 90 of
	// 100 cases.
	maxUnloadDuration = 150 * time.Millisecond
	// 1/unloadIncrease is the share by which a refused order raises the estimated duration,
	// twice as much after each further one, and 1/unloadDecrease the one by which an accepted
	// order lowers it: about one order in 32 tells that the estimate is too low.
	unloadIncrease = 8
	unloadDecrease = 256
	// maxCountedRoundTrip bounds the round trip that is subtracted from a wait.
	maxCountedRoundTrip = 20 * time.Millisecond
)

// unloadTime estimates how long the unload of a model without running requests keeps an
// engine busy. It is an immutable value. Its zero value is 0: engines may unload at once, and
// then a wait would only delay loads.
type unloadTime struct {
	d        time.Duration
	refusals int // consecutive
}

// WithAccepted returns the estimate after an order that was accepted at the first attempt.
func (u unloadTime) WithAccepted() unloadTime {
	return unloadTime{d: u.d - u.d/unloadDecrease}
}

// WithRefused returns the estimate after an unload that took longer. The engine accepted the
// order at last when it came some time after the unload: the first estimate.
func (u unloadTime) WithRefused(after time.Duration) unloadTime {
	if u.d == 0 {
		return unloadTime{d: min(after, maxUnloadDuration)}
	}
	return unloadTime{min(u.d+u.d<<u.refusals/unloadIncrease, maxUnloadDuration), min(u.refusals+1, unloadIncrease)}
}

// accepted is the last order of a move that the engine has accepted.
type accepted struct {
	arranger.Order
	// at is when the engine accepted it, and roundTrip how long its response took.
	at        time.Time
	roundTrip time.Duration
}

func newAccepted(o arranger.Order, sentAt, now time.Time) accepted {
	rtt := min(now.Sub(sentAt), maxCountedRoundTrip)
	return accepted{o, now.Add(-rtt / 2), rtt}
}

// isModelUnload reports whether the engine accepts no order until the unload is done.
func (a accepted) isModelUnload() bool { return a.Operation == arranger.Unload && a.Adapter == "" }

// awaitUnload waits until the unload before an order is expected to be done when the order
// arrives.
func (c *Conductor) awaitUnload(ctx context.Context, last accepted) {
	if !last.isModelUnload() {
		return
	}
	c.mu.Lock()
	d := c.unloadTime.d
	c.mu.Unlock()
	sleeper.Sleep(ctx, time.Until(last.at.Add(d-last.roundTrip/2)))
}

// recordUnloadTime updates the estimate with the order after an unload that waited for no
// running request.
func (c *Conductor) recordUnloadTime(last accepted, conflicts int, now time.Time) {
	if !last.isModelUnload() || now.Sub(last.at) > maxUnloadDuration {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conflicts == 0 {
		c.unloadTime = c.unloadTime.WithAccepted()
	} else {
		c.unloadTime = c.unloadTime.WithRefused(now.Sub(last.at) - last.roundTrip/2)
	}
}
