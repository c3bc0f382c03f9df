package checkpointer

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	"github.com/primrosedrift/primrosedrift/internal/standin/logstore"
)

const numInstances = 7

// publishTimes publishes n changes and returns, sorted, the times from the start
// of each publication until the change was in force on each instance.
func publishTimes(t *testing.T, instances []*testInstance, n int) []time.Duration {
	var out []time.Duration
	for i := range n {
		start := time.Now()
		want := instances[i%len(instances)].publish(t, uint32(i+1))
		for _, r := range instances {
			for {
				changed := r.keeper.Changed()
				if r.version() >= want {
					break
				}
				<-changed
			}
			out = append(out, time.Since(start))
		}
	}
	slices.Sort(out)
	return out
}

// TestPublishToInForce measures the time from the start of a publication until
// it is in force on each of seven instances, and after the end of an outage.
// It does not assert times. Its figures are in docs/measurements/agreement.md.
func TestPublishToInForce(t *testing.T) {
	log, url := startLog(t, 0)
	log.Limiter = rate.NewLimiter(logstore.DefaultAppendsPerSecond, logstore.DefaultAppendsPerSecond/10)
	var instances []*testInstance
	for range numInstances {
		r := startInstance(t, url)
		r.waitUntilCaughtUp(t)
		instances = append(instances, r)
	}
	times := publishTimes(t, instances, 200)
	t.Logf("publish to in force: median %v, largest %v of %d", times[len(times)/2], times[len(times)-1], len(times))

	var afterOutage []time.Duration
	for i := range 3 {
		log.Faults.Set(faulter.Faults{Outage: true})
		require.Eventually(t, func() bool {
			instances[0].recorder.Post(change(0, 0))
			return instances[0].recorder.IsLogUnavailable()
		}, waitTimeout, 50*time.Millisecond)
		log.Faults.Set(faulter.Faults{})
		start := time.Now()
		for instances[0].recorder.IsLogUnavailable() {
			time.Sleep(time.Millisecond)
		}
		want := instances[0].publish(t, uint32(1000+i))
		for _, r := range instances {
			require.Eventually(t, func() bool { return r.version() >= want }, waitTimeout, time.Millisecond)
			afterOutage = append(afterOutage, time.Since(start))
		}
	}
	slices.Sort(afterOutage)
	t.Logf("end of outage to in force: median %v, largest %v of %d", afterOutage[len(afterOutage)/2], afterOutage[len(afterOutage)-1], len(afterOutage))
}
