package retrier

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever share of the attempts fails, there are at most 1.1 attempts per first
// attempt plus the reserve.
func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		failureShare := rapid.Float64Range(0, 1).Draw(t, "failing")
		for range 2000 {
			b.Deposit()
			for range 3 {
				if rapid.Float64Range(0, 1).Draw(t, "p") >= failureShare || !b.TryWithdraw() {
					break
				}
			}
		}
		firstAttempts, retries := b.Counts()
		require.LessOrEqual(t, float64(firstAttempts+retries), (1+DefaultRatio)*float64(firstAttempts)+DefaultReserve+1)
	})
}

func TestReserveAllowsRetryWithLittleTraffic(t *testing.T) {
	var b Budget
	b.Deposit()
	require.True(t, b.TryWithdraw())
}
