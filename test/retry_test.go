package test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/retrier"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
)

// TestRetryAmplification runs three upstreams, of which one reports itself healthy
// and answers every attempt with the answer of another request. The number of
// attempts must stay within 1.1 times the requests plus the reserves of the retry
// budgets, and at least 99% of the requests must be answered.
func TestRetryAmplification(t *testing.T) {
	const requests, workers = 1600, 8
	f := newFleet(t)
	services := []string{"kernheffing-1", "kernheffing-2", "kernheffing-3"}
	for _, name := range services {
		f.startService(name, "kernheffing")
	}
	f.startEngine("taalmodellen-1", false)
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		f.startEntry(name)
	}
	f.publish(operatorsFile)
	f.setFaults("kernheffing-2", faulter.Faults{WrongAttemptIDs: true})

	var answered atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			c := f.client("tolwerk")
			for range requests / workers {
				_, err := c.Call(context.Background(), &callerv1.CallRequest{
					Service: "kernheffing", Method: "balance", Key: ulid.Make().String(),
				})
				if err == nil {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	attempts := 0
	for _, name := range services {
		for _, n := range f.runCounts(name) {
			attempts += n
		}
	}
	t.Logf("%d requests, %d answered, %d attempts: %.3f", requests, answered.Load(), attempts, float64(attempts)/requests)
	reserves := retrier.DefaultReserve * float64(len(f.entries))
	require.LessOrEqual(t, float64(attempts), (1+retrier.DefaultRatio)*requests+reserves)
	require.GreaterOrEqual(t, answered.Load(), int64(requests*99/100))
}
