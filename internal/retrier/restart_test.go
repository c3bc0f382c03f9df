package retrier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRestartsPermitNoMoreRetries plays a service whose upstreams refuse everything, for a
// minute: 6 instances get 10 requests a second each and would repeat each of them three
// times. Each is restarted every 2 s. The retries of any 10 s must stay within a fifth of
// the requests and the slack.
func TestRestartsPermitNoMoreRetries(t *testing.T) {
	const (
		numInstances, ratio, slack = 6, 0.2, 50.0
		window                     = 10 * time.Second
	)
	budgets := make([]*Budgets, numInstances)
	var requests, retries []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		for n := range budgets {
			if budgets[n] == nil || (now+time.Duration(n)*300*time.Millisecond)%(2*time.Second) == 0 {
				budgets[n] = &Budgets{Ratio: 0.8 * ratio, Reserve: 0.6 * slack / numInstances, StartsEmpty: true}
			}
			b := budgets[n].Of("s")
			b.Deposit()
			requests = append(requests, now)
			for range 3 {
				if b.TryWithdraw() {
					retries = append(retries, now)
				}
			}
		}
		count := func(list []time.Duration) (n float64) {
			for _, at := range list {
				if now-at < window {
					n++
				}
			}
			return n
		}
		require.LessOrEqual(t, count(retries), ratio*count(requests)+slack)
	}
	require.NotEmpty(t, retries)
}

// TestReserveThatShrinksIsEarnedSooner guards against an instance that permits no retries for
// minutes after its start, because it learns then that many instances share the reserve.
func TestReserveThatShrinksIsEarnedSooner(t *testing.T) {
	b := &Budgets{Ratio: 0.16, Reserve: 43, StartsEmpty: true}
	require.False(t, b.Of("s").TryWithdraw())
	b.SetReserve(1.3)
	require.False(t, b.Of("s").TryWithdraw())
	for range 7 {
		b.Of("s").Deposit()
	}
	require.True(t, b.Of("s").TryWithdraw())
}
