package streamtracker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestStopSendsOriginsTogether guards against origins of a service with one version that end with their
// instance, against those of streams that begin during the stop, and against a call for each stream.
func TestStopSendsOriginsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const numStreams = 1000
		done := make(chan struct{})
		close(done)
		var mu sync.Mutex
		numSends, proven := 0, make(map[string]bool)
		k := &Keeper{
			Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(), IsFresh: func() bool { return true },
			Send: func(list []Origin) Delivery {
				mu.Lock()
				defer mu.Unlock()
				numSends++
				for _, o := range list {
					proven[o.Stream] = !o.IsUnproven
				}
				return Delivery{First: done, All: done}
			},
		}
		k.History.Observe(map[string][]string{service: {"v1"}}, true, time.Now())
		release := make(chan struct{})
		verify := func(context.Context) bool { <-release; return true }
		bind := func(stream string) {
			k.Bind(Origin{Stream: stream, Service: service, Software: "v1", Attempt: 1, TTL: time.Minute, IsUnproven: true}, false, verify)
		}
		bind("received")
		k.Tracker.RecordEnd("received")
		time.Sleep(receiptTime)
		for n := range numStreams {
			bind(fmt.Sprint(n))
		}
		k.Tracker.RecordEnd("0") // its client may not have received the end
		require.Empty(t, proven, "the service has had one version")
		k.BeginStop()
		require.Len(t, proven, numStreams)
		bind("begins late")
		time.AfterFunc(time.Second, func() { close(release) })
		k.EndStop(t.Context())
		mu.Lock()
		defer mu.Unlock()
		for n := range numStreams {
			require.True(t, proven[fmt.Sprint(n)])
		}
		require.True(t, proven["begins late"])
		require.LessOrEqual(t, numSends, 5)
	})
}

// TestEndOfAStopDoesNotWaitForAProofThatDoesNotCome guards against a stop that outlasts its plan.
func TestEndOfAStopDoesNotWaitForAProofThatDoesNotCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &Keeper{
			Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(), IsFresh: func() bool { return true },
			Send: func([]Origin) Delivery { return Delivery{First: make(chan struct{}), All: make(chan struct{})} },
		}
		k.History.Observe(map[string][]string{service: {"v1"}}, true, time.Now())
		verify := func(ctx context.Context) bool { <-ctx.Done(); return false }
		k.Bind(Origin{Stream: "r", Service: service, Software: "v1", Attempt: 1, TTL: time.Minute, IsUnproven: true}, false, verify)
		began := time.Now()
		k.BeginStop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		k.EndStop(ctx)
		require.Equal(t, time.Second, time.Since(began))
		time.Sleep(unawaitedProofTimeout) // until the proof has ended
	})
}

// TestProofsOfManyStreamsAreSentTogether guards against a call to each home for each stream when a second
// version appears.
func TestProofsOfManyStreamsAreSentTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const numStreams = 1000
		var mu sync.Mutex
		numSends, proven := 0, make(map[string]bool)
		k := &Keeper{
			Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(), IsFresh: func() bool { return true },
			Send: func(list []Origin) Delivery {
				mu.Lock()
				defer mu.Unlock()
				numSends++
				for _, o := range list {
					proven[o.Stream] = !o.IsUnproven
				}
				return Delivery{}
			},
		}
		k.History.OnChange = func(service string, versions []string) {
			if len(versions) > 1 {
				k.Spread(service)
			}
		}
		k.History.Observe(map[string][]string{service: {"v1"}}, true, time.Now())
		verify := func(context.Context) bool { time.Sleep(time.Second); return true }
		for n := range numStreams {
			k.Bind(Origin{Stream: fmt.Sprint(n), Service: service, Software: "v1", Attempt: 1, TTL: time.Minute, IsUnproven: true}, false, verify)
		}
		k.History.Observe(map[string][]string{service: {"v1", "v2"}}, true, time.Now())
		time.Sleep(time.Second + 2*sendDelay)
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, proven, numStreams)
		for _, isProven := range proven {
			require.True(t, isProven)
		}
		require.LessOrEqual(t, numSends, 3)
	})
}
