package stopper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Stop is the planned stop of an instance, which its requests share. Its zero value, and nil, are a
// stop that has not begun.
type Stop struct {
	Durations Durations

	schedule atomic.Pointer[Schedule]
	once     sync.Once
	ended    context.Context //nolint:containedctx // it is the signal that requests wait for
	end      context.CancelFunc
}

// Begin begins the stop.
func (s *Stop) Begin(plan Schedule) { s.schedule.Store(&plan) }

// Schedule returns the schedule of the stop, false before it begins.
func (s *Stop) Schedule() (Schedule, bool) {
	if s == nil {
		return Schedule{}, false
	}
	if p := s.schedule.Load(); p != nil {
		return *p, true
	}
	return Schedule{}, false
}

// End makes all requests that still run end with an answer.
func (s *Stop) End() {
	s.init()
	s.end()
}

// OnEnd calls f when requests have to end. The result removes it.
func (s *Stop) OnEnd(f func()) (remove func() bool) {
	if s == nil {
		return func() bool { return true }
	}
	s.init()
	return context.AfterFunc(s.ended, f)
}

func (s *Stop) init() {
	s.once.Do(func() { s.ended, s.end = context.WithCancel(context.Background()) })
}

// Expect returns how long a request of a route is expected to run, 0 if that is not known.
func (s *Stop) Expect(route string) time.Duration {
	if s == nil {
		return 0
	}
	return s.Durations.Expect(route)
}

// Record records how long a request of a route has run.
func (s *Stop) Record(route string, took time.Duration) {
	if s != nil {
		s.Durations.Record(route, took)
	}
}
