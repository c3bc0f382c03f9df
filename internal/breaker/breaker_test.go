package breaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func openBreaker() Breaker {
	var b Breaker
	for range FailuresToOpen {
		b = b.WithFailure(start, start)
	}
	return b
}

func TestOpensAfterConsecutiveFailures(t *testing.T) {
	var b Breaker
	for range FailuresToOpen - 1 {
		b = b.WithFailure(start, start)
	}
	require.True(t, b.Allows(start))
	require.False(t, b.WithFailure(start, start).Allows(start))
	require.True(t, b.WithSuccess().WithFailure(start, start).Allows(start))
}

func TestOneTrialAtATime(t *testing.T) {
	b := openBreaker()
	later := start.Add(MinOpen)
	require.True(t, b.Allows(later))
	b = b.WithAttempt(later)
	require.False(t, b.Allows(later))
	require.True(t, b.WithSuccess().Allows(later))
	require.True(t, b.Allows(later.Add(TrialTimeout+1)), "a trial without an outcome blocks only until its timeout")
}

func TestFailuresOfEarlierAttemptsDoNotProlongTheOpenTime(t *testing.T) {
	b := openBreaker()
	require.Equal(t, b, b.WithFailure(start.Add(-time.Second), start.Add(MinOpen)))
}

func TestOpenTimeDoublesUpToTheBound(t *testing.T) {
	b, now := openBreaker(), start
	want := MinOpen
	for range 10 {
		require.False(t, b.Allows(now.Add(want-1)))
		now = now.Add(want)
		require.True(t, b.Allows(now))
		b = b.WithAttempt(now).WithFailure(now, now)
		want = min(2*want, MaxOpen)
	}
}

// After any sequence of outcomes, the breaker allows an attempt within the
// longest open time.
func TestAttemptIsAllowedAfterTheLongestOpenTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Breaker
		now := start
		for range rapid.IntRange(0, 50).Draw(t, "outcomes") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*MaxOpen)).Draw(t, "pause")))
			if !b.Allows(now) {
				continue
			}
			b = b.WithAttempt(now)
			switch rapid.IntRange(0, 2).Draw(t, "outcome") {
			case 0:
				b = b.WithFailure(now, now)
			case 1:
				b = b.WithSuccess()
			}
		}
		require.True(t, b.Allows(now.Add(max(MaxOpen, TrialTimeout)+1)))
	})
}
