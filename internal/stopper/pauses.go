package stopper

import (
	"context"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
)

const (
	// tickInterval is the time between two observations of the process, and minPause the time
	// without one above which it counts as paused.
	tickInterval, minPause = 100 * time.Millisecond, 250 * time.Millisecond
	// settleTime is how long after a pause a signal that was sent during it may still be handled.
	settleTime = 500 * time.Millisecond
)

// Pauses knows when the process last stood still, because it was stopped, suspended or short of processor
// time. A signal that is sent meanwhile is handled later. Its zero value is ready to use; times are
// those of clocker.SinceStart.
type Pauses struct {
	mu           sync.Mutex
	last         time.Duration // when the process was last seen to run
	began, ended time.Duration // of the last pause
}

// Tick records that the process runs.
func (p *Pauses) Tick(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickLocked(now)
}

func (p *Pauses) tickLocked(now time.Duration) {
	if p.last > 0 && now-p.last >= minPause {
		p.began, p.ended = p.last, now
	}
	p.last = now
}

// Late returns how long ago a signal that is handled now may have been sent, 0 if that is below the
// precision of the observation, minPause.
func (p *Pauses) Late(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickLocked(now)
	if p.ended > 0 && now-p.ended <= settleTime {
		return now - p.began
	}
	return 0
}

// Run observes the process until ctx ends.
func (p *Pauses) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		p.Tick(clocker.SinceStart())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
