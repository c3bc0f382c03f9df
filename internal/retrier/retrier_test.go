package retrier

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever fails, attempts are at most 1.1 times the first tries, but for the reserve.
func TestAmplificationIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		failing := rapid.Float64Range(0, 1).Draw(t, "failing")
		for range 2000 {
			b.First()
			for range 3 {
				if rapid.Float64Range(0, 1).Draw(t, "p") >= failing || !b.Retry() {
					break
				}
			}
		}
		first, retries := b.Counts()
		require.LessOrEqual(t, float64(first+retries), (1+DefaultShare)*float64(first)+DefaultReserve+1)
	})
}

func TestReserveLetsAQuietInstanceRetry(t *testing.T) {
	var b Budget
	b.First()
	require.True(t, b.Retry())
}
