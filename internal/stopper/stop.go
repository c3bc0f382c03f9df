package stopper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// minAnswerSleeps is how often the process sleeps for answerSleep at least between the end of the
	// requests that still run and the close of their connections. Together they are longer than
	// what has arrived may stay unread, 100 ms.
	minAnswerSleeps, answerSleep = 30, 5 * time.Millisecond
)

var (
	// ErrEnded is the cause with which the context of a request ends that still runs when the time
	// of a stop is over.
	ErrEnded error = endedError{}
	// errOver is the cause of the close of connections at the end of a stop.
	errOver = errors.New("the time of the stop is over")
)

// endedError counts as a passed deadline: what has arrived before is read first.
type endedError struct{}

func (endedError) Error() string { return "the instance has stopped" }

// Is supports errors.Is.
func (endedError) Is(target error) bool { return target == context.DeadlineExceeded }

// HasEnded reports whether a stop has ended the context of a request.
func HasEnded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrEnded) }

// Stop is the planned stop of an instance, which its requests share. Its zero value, and nil, are a
// stop that has not begun.
type Stop struct {
	Durations Durations

	schedule     atomic.Pointer[Schedule]
	once         sync.Once
	begun, ended context.Context //nolint:containedctx // they are the signals that requests wait for
	begin, end   context.CancelFunc
}

// Begin begins the stop.
func (s *Stop) Begin(plan Schedule) {
	s.init()
	s.schedule.Store(&plan)
	s.begin()
}

// OnBegin calls f when the stop begins. The result removes it.
func (s *Stop) OnBegin(f func()) (remove func() bool) {
	if s == nil {
		return func() bool { return true }
	}
	s.init()
	return context.AfterFunc(s.begun, f)
}

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
	s.once.Do(func() {
		s.begun, s.begin = context.WithCancel(context.Background())
		s.ended, s.end = context.WithCancel(context.Background())
	})
}

// EndInTime makes all requests end with an answer at the time for it. The returned context
// ends when connections have to be closed. The stop must have begun; cancel must be called.
func (s *Stop) EndInTime(ctx context.Context) (untilClose context.Context, cancel func()) {
	plan := s.schedule.Load()
	ctx, cancelCause := context.WithCancelCause(ctx)
	answers := time.AfterFunc(time.Until(plan.Answer), func() {
		s.End()
		// Sleeps, not only the time: after a pause of the process both moments may have passed.
		for range minAnswerSleeps {
			sleeper.Sleep(ctx, answerSleep)
		}
		sleeper.Sleep(ctx, time.Until(plan.Close))
		cancelCause(errOver)
	})
	return ctx, func() {
		answers.Stop()
		cancelCause(nil)
	}
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
