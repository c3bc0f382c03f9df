package stopper

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
)

const (
	// tickInterval is the time between two observations of the process, and minPause the time
	// without one above which it counts as paused.
	tickInterval, minPause = 100 * time.Millisecond, 250 * time.Millisecond
	// settleTime is how long the process may run after a pause until a signal that was sent during it
	// is handled, if it is not known that none was.
	settleTime = 500 * time.Millisecond
	// seriesTime bounds the time from the end of a pause until such a signal is handled if there are
	// more pauses in between. A pause counts there as maxCounted at most, however long it is: two more do
	// not hide the signal. Without a bound, a process that is always short of processor time would take each signal
	// for one that was sent long ago, and refuse what it can still serve.
	seriesTime, maxCounted = 850 * time.Millisecond, 400 * time.Millisecond
	// maxSignals bounds the signals that wait to be handled.
	maxSignals = 16
)

// probeSignal is sent by a process to itself after a pause. Signals that are pending are delivered in the
// order of their numbers, so that SIGTERM, if it was sent during the pause, is handled before it.
const probeSignal = syscall.SIGWINCH

// Pauses knows when the process was not scheduled lately, because it was stopped, suspended or short of processor
// time. A signal that is sent meanwhile is handled later, and maybe after another pause. Its zero value is ready
// to use; times are those of clocker.SinceStart.
type Pauses struct {
	mu     sync.Mutex
	last   time.Duration // when the process was last seen to run
	recent []pause       // those in which a signal that is handled now may have been sent, oldest first

	numProbes  int           // that were sent and not handled
	signaledAt time.Duration // when SIGTERM may have been sent, 0 if it was not handled
}

type pause struct {
	began time.Duration
	// ran is how long the process has run since the end of the pause, and counted the same and the pauses
	// since, each as maxCounted at most.
	ran, counted time.Duration
}

// Tick records that the process runs, and reports whether a pause has ended.
func (p *Pauses) Tick(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tickLocked(now)
}

func (p *Pauses) tickLocked(now time.Duration) bool {
	gap, isPause := now-p.last, p.last > 0 && now-p.last >= minPause
	for i := range p.recent {
		r := &p.recent[i]
		if isPause {
			r.counted += min(gap, maxCounted)
		} else {
			r.ran, r.counted = r.ran+gap, r.counted+gap
		}
	}
	for len(p.recent) > 0 && (p.recent[0].ran > settleTime || p.recent[0].counted > seriesTime) {
		p.recent = p.recent[1:]
	}
	if isPause {
		p.recent = append(p.recent, pause{began: p.last})
	}
	p.last = now
	return isPause
}

// sentLocked returns when a signal that is handled now may have been sent.
func (p *Pauses) sentLocked(now time.Duration) time.Duration {
	if len(p.recent) == 0 {
		return now
	}
	return p.recent[0].began
}

// handle records a signal that is handled.
func (p *Pauses) handle(s os.Signal, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case s != probeSignal && p.signaledAt == 0:
		p.tickLocked(now)
		p.signaledAt = p.sentLocked(now)
	case s == probeSignal && p.numProbes > 0:
		if p.numProbes--; p.numProbes == 0 {
			p.recent = nil
		}
	}
}

// Late returns how long ago a signal that is handled now may have been sent, 0 if that is below the
// precision of the observation, minPause.
func (p *Pauses) Late(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickLocked(now)
	if p.signaledAt > 0 {
		return now - p.signaledAt
	}
	return now - p.sentLocked(now)
}

// Run observes the process until ctx ends.
func (p *Pauses) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	signals := make(chan os.Signal, maxSignals)
	signal.Notify(signals, syscall.SIGTERM, probeSignal)
	defer signal.Stop(signals)
	for {
		if p.Tick(clocker.SinceStart()) {
			p.probe()
		}
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			p.handle(s, clocker.SinceStart())
		case <-tick.C:
		}
	}
}

// probe sends the signal that shows when those of the last pause have been handled.
func (p *Pauses) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if syscall.Kill(os.Getpid(), probeSignal) == nil {
		p.numProbes++
	}
}
