package test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// TestSameKeyOnAllEntriesRunsOnce sends the same keys to all entry instances at
// the same time while the log loses replies to appends. Each key must run once.
func TestSameKeyOnAllEntriesRunsOnce(t *testing.T) {
	f := newSmallFleet(t)
	f.setFaults("log", faulter.Faults{NumRepliesToLose: 3})
	var calls callLog
	var wg sync.WaitGroup
	for range 20 {
		key := ulid.Make().String()
		for _, e := range f.entries {
			wg.Go(func() { f.retryWhileNotRun(&calls, e, key) })
		}
	}
	wg.Wait()
	f.checkCalls(&calls)
	require.Len(t, f.runCounts("kernheffing-1"), 20)
}

// interruptCase is a point in the handling of a request at which its entry
// instance is killed or frozen.
type interruptCase struct {
	name   string
	signal syscall.Signal
	// prepare injects a delay that holds the request at the point, and await
	// waits until the request has reached it.
	prepare func(f *fleet)
	await   func(f *fleet, key string, offset uint64)
	// wantsIntent says that the intent of the request is in the log at the point. Records of other
	// instances may have ended the wait.
	wantsIntent bool
}

func interruptCases() []interruptCase {
	delayTail := func(f *fleet) { f.setFaults("log", faulter.Faults{TailLagMs: 700}) }
	awaitIntent := func(f *fleet, _ string, offset uint64) {
		require.Eventually(f.t, func() bool { return f.nextOffset() > offset }, conditionTimeout, time.Millisecond)
	}
	slowService := func(f *fleet) { f.setFaults("kernheffing-1", faulter.Faults{TokenMs: 700}) }
	awaitRun := func(f *fleet, key string, _ uint64) {
		require.Eventually(f.t, func() bool { return f.runCounts("kernheffing-1")[key] > 0 }, conditionTimeout, time.Millisecond)
	}
	return []interruptCase{
		{"killed between intent and send", syscall.SIGKILL, delayTail, awaitIntent, true},
		{"frozen between intent and send", syscall.SIGSTOP, delayTail, awaitIntent, true},
		{"killed during the call", syscall.SIGKILL, slowService, awaitRun, false},
		{"frozen during the call", syscall.SIGSTOP, slowService, awaitRun, false},
	}
}

// TestKeyRunsOnceWhenEntryIsKilledOrFrozen kills or freezes an entry instance
// while it handles a non-idempotent request, and repeats the request at another
// instance. The key must run at most once.
func TestKeyRunsOnceWhenEntryIsKilledOrFrozen(t *testing.T) {
	f := newSmallFleet(t)
	var calls callLog
	for _, tc := range interruptCases() {
		t.Run(tc.name, func(t *testing.T) {
			for isReached := false; !isReached; {
				tc.prepare(f)
				key := ulid.Make().String()
				offset := f.nextOffset()
				first := make(chan struct{})
				go func() {
					defer close(first)
					_, _ = f.call(&calls, f.entries[0], key, 20_000)
				}()
				tc.await(f, key, offset)
				f.entries[0].signal(tc.signal)
				interruptedAt := f.nextOffset()
				_, err := f.call(&calls, f.entries[1], key, 2_000)
				if isReached = !tc.wantsIntent || f.hasIntentBefore(key, interruptedAt); isReached {
					require.Error(t, err)
					require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Ran)
				}
				f.setFaults("log", faulter.Faults{})
				f.setFaults("kernheffing-1", faulter.Faults{})
				if tc.signal == syscall.SIGSTOP {
					f.entries[0].signal(syscall.SIGCONT)
				} else {
					f.startEntry(f.entries[0].name)
				}
				<-first
				_, _ = f.call(&calls, f.entries[2], key, 2_000)
				f.checkCalls(&calls)
			}
		})
	}
	t.Run("killed after the answer", func(t *testing.T) {
		key := ulid.Make().String()
		_, err := f.call(&calls, f.entries[0], key, 20_000)
		require.NoError(t, err)
		// The outcome is appended after the response is sent.
		require.Eventually(t, func() bool { return f.hasOutcome(key) }, conditionTimeout, 10*time.Millisecond)
		f.entries[0].signal(syscall.SIGKILL)
		resp, err := f.call(&calls, f.entries[1], key, 20_000)
		require.NoError(t, err)
		require.True(t, resp.GetEarlier())
		f.checkCalls(&calls)
	})
}
