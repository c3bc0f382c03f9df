package estimator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestEstimateDecaysAndRecovers(t *testing.T) {
	var x Estimate
	require.Zero(t, x.FailureProbability(start))
	x = x.WithFailure(start).WithFailure(start)
	require.InDelta(t, 0.19, x.FailureProbability(start), 0.001)
	require.Less(t, x.WithSuccess(start).FailureProbability(start), x.FailureProbability(start))
	require.Less(t, x.FailureProbability(start.Add(decayTime)), x.FailureProbability(start)/2)
	require.InDelta(t, x.FailureProbability(start), x.FailureProbability(start.Add(-time.Second)), 0, "a clock that steps back changes nothing")
}

// The failure probability stays between 0 and 1 for any sequence of outcomes and
// clock steps.
func TestFailureProbabilityIsBetweenZeroAndOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Estimate
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				x = x.WithSuccess(now)
			case 1:
				x = x.WithFailure(now)
			default:
				n := rapid.IntRange(0, 20).Draw(t, "attempts")
				x = x.WithCounts(n, rapid.IntRange(0, 25).Draw(t, "failures"), now)
			}
			require.GreaterOrEqual(t, x.FailureProbability(now), 0.0)
			require.LessOrEqual(t, x.FailureProbability(now), 1.0)
		}
	})
}
