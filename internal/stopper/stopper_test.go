package stopper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
)

func drawDuration(t *rapid.T, name string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
}

// TestStopIsOverWithinTheGrace guards against a schedule that ends work before the last sixth of the
// grace, or later than its end, for any grace.
func TestStopIsOverWithinTheGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := drawDuration(t, "grace", 100*time.Millisecond, time.Minute)
		now := time.Unix(1000, 0)
		s := Plan(now, 0, grace)
		require.True(t, s.Refuse.Before(s.Answer))
		require.Less(t, s.Answer.UnixNano(), s.Close.UnixNano())
		require.Less(t, s.Close.UnixNano(), s.Exit.UnixNano())
		require.Less(t, s.Exit.UnixNano(), now.Add(grace).UnixNano())
		require.Greater(t, s.Answer.Sub(now), grace*5/6)
		late := drawDuration(t, "late", 0, grace)
		l := Plan(now, late, grace)
		require.Equal(t, s.Answer.Add(-late), l.Answer, "counted from the signal")
		require.True(t, l.Close.After(now), "there is time for the answers")
		require.Equal(t, s.Exit.Sub(s.Close), l.Exit.Sub(l.Close), "and for what follows")
	})
}

// TestRequestIsTakenOnlyIfItIsExpectedToEnd plays stops: a request whose duration is known ends
// before the answer, and one whose duration is not is taken only if its deadline does.
func TestRequestIsTakenOnlyIfItIsExpectedToEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := Plan(now, 0, 8*time.Second)
		at := now.Add(drawDuration(t, "at", 0, 8*time.Second))
		takes := drawDuration(t, "takes", 0, 20*time.Second)
		deadline := at.Add(drawDuration(t, "time", time.Millisecond, 20*time.Second))
		f := s.Fit(takes, at, deadline)
		end := deadline
		if takes > 0 && at.Add(takes).Before(end) {
			end = at.Add(takes)
		}
		require.Equal(t, !end.After(s.Answer), f.Fits)
	})
}

// TestMostRequestsEndByTheirExpectedTime plays routes with drawn durations, short and long ones mixed.
func TestMostRequestsEndByTheirExpectedTime(t *testing.T) {
	const numRequests = 5000
	rng := rand.New(rand.NewPCG(1, 2))
	draw := map[string]func() time.Duration{
		"even":  func() time.Duration { return time.Second + time.Duration(rng.IntN(1000))*time.Millisecond },
		"heavy": func() time.Duration { return time.Duration(float64(100*time.Millisecond) * (1 + rng.ExpFloat64()*5)) },
		"mixed": func() time.Duration {
			if rng.IntN(3) == 0 {
				return 9 * time.Second
			}
			return 10 * time.Millisecond
		},
	}
	for route, next := range draw {
		var d Durations
		for range minSamples - 1 {
			d.Record(route, next())
			require.Zero(t, d.Expect(route), "too few")
		}
		numLate := 0
		for range numRequests {
			d.Record(route, next())
			if next() > d.Expect(route) {
				numLate++
			}
		}
		require.Less(t, numLate, numRequests/10, route)
		require.Zero(t, d.Expect("another"))
	}
}

// TestDurationsOfManyRoutesAreBounded guards against memory that grows with each configuration.
func TestDurationsOfManyRoutesAreBounded(t *testing.T) {
	var d Durations
	for n := range 3 * maxRoutes {
		d.Record(fmt.Sprint(n), time.Second)
	}
	require.Equal(t, maxRoutes, d.routes.Len())
}

// TestStopThatHasNotBegunChangesNothing guards against zero values and nil that end requests.
func TestStopThatHasNotBegunChangesNothing(t *testing.T) {
	for _, s := range []*Stop{nil, {}} {
		_, hasBegun := s.Schedule()
		require.False(t, hasBegun)
		remove := s.OnEnd(func() { t.Error("ended") })
		require.True(t, s.OnBegin(func() { t.Error("begun") })())
		s.Record("r", time.Second)
		require.Zero(t, s.Expect("r"))
		require.True(t, remove())
	}
	var s Stop
	done := make(chan struct{})
	s.OnEnd(func() { close(done) })
	s.End()
	<-done
}

// TestRequestsAreToldToEndBeforeConnectionsClose guards against a close that comes with the end of the
// requests, as after a pause of the process in which the times of both have passed.
func TestRequestsAreToldToEndBeforeConnectionsClose(t *testing.T) {
	for name, pause := range map[string]time.Duration{"no pause": 0, "a pause over the end": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s Stop
				var begun, ended time.Time
				s.OnBegin(func() { begun = time.Now() })
				s.OnEnd(func() { ended = time.Now() })
				plan := Plan(time.Now(), pause, 3*time.Second)
				s.Begin(plan)
				ctx, cancel := s.EndInTime(t.Context())
				defer cancel()
				<-ctx.Done()
				synctest.Wait()
				require.False(t, begun.IsZero())
				require.GreaterOrEqual(t, time.Since(ended), minAnswerSleeps*answerSleep)
				require.False(t, time.Now().Before(plan.Close))
				require.False(t, HasEnded(ctx), "the close is no answer")
			})
		})
	}
}

// TestSignalIsNeverTakenForYoungerThanItIs plays processes that stand still: a signal is handled when the
// process runs again, soon before or soon after the goroutine that observes it.
func TestSignalIsNeverTakenForYoungerThanItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pauses
		now := time.Second
		for range rapid.IntRange(1, 20).Draw(t, "ticks") {
			now += drawDuration(t, "interval", tickInterval, 4*tickInterval)
			p.Tick(now)
		}
		sent := now + drawDuration(t, "sent", 0, tickInterval)
		now = sent + drawDuration(t, "pause", 0, 10*time.Second)
		if rapid.Bool().Draw(t, "observed first") {
			p.Tick(now)
			now += drawDuration(t, "handled after", 0, time.Millisecond)
		}
		late := p.Late(now)
		require.GreaterOrEqual(t, late+minPause, now-sent)
		require.LessOrEqual(t, late, now-sent+5*tickInterval+settleTime+minPause)
	})
}

// TestPauseThatIsOverDoesNotShortenAStop guards against a stop that ends early because of a pause long ago.
func TestPauseThatIsOverDoesNotShortenAStop(t *testing.T) {
	var p Pauses
	p.Tick(time.Second)
	p.Tick(10 * time.Second)
	for now := 10 * time.Second; now <= 11*time.Second; now += tickInterval {
		p.Tick(now)
	}
	require.Zero(t, p.Late(11*time.Second+tickInterval))
	require.Zero(t, new(Pauses).Late(time.Hour), "nothing was observed")
}

// TestPauseBeforeASignalDoesNotShortenAStop guards against requests that are answered early, because a pause
// that was over when the signal was sent is taken for one during which it was sent.
func TestPauseBeforeASignalDoesNotShortenAStop(t *testing.T) {
	const ended, handled = 10 * time.Second, 10*time.Second + tickInterval
	pause := func() *Pauses {
		p := &Pauses{numProbes: 1}
		p.Tick(time.Second)
		require.True(t, p.Tick(ended))
		return p
	}
	p := pause()
	p.handle(probeSignal, ended+1)
	require.Zero(t, p.Late(handled), "no signal was sent during the pause")
	p = pause()
	p.handle(syscall.SIGTERM, ended+1)
	p.handle(probeSignal, ended+2)
	require.Equal(t, handled-time.Second, p.Late(handled), "it was sent during the pause")
	p = pause()
	p.numProbes = 0
	p.handle(probeSignal, ended+1)
	require.Equal(t, handled-time.Second, p.Late(handled), "the signal was another one's")
	p = pause()
	p.handle(probeSignal, ended+1)
	p.handle(syscall.SIGTERM, ended+2)
	require.Equal(t, handled-ended-2, p.Late(handled), "it was sent after the pause")
}

// TestProbeIsHandledAfterAPause runs the observation of a process that seems to have been paused.
func TestProbeIsHandledAfterAPause(t *testing.T) {
	var p Pauses
	p.Tick(max(1, clocker.SinceStart()-time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.last > time.Second && len(p.recent) == 0 && p.numProbes == 0
	}, time.Minute, time.Millisecond)
	cancel()
	wg.Wait()
}
