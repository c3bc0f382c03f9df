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

// The same keys go to all entry instances at the same instant, while appends
// lose their replies.
func TestSameKeyOverEntries(t *testing.T) {
	f := newSmallFleet(t)
	f.faults("log", faulter.Faults{LoseReplies: 3})
	var to told
	var wg sync.WaitGroup
	for range 20 {
		key := ulid.Make().String()
		for _, e := range f.entries {
			wg.Go(func() { f.callUntilKnown(&to, e, key) })
		}
	}
	wg.Wait()
	f.checkCalls(&to)
	require.Len(t, f.ran("kernheffing-1"), 20)
}

// onceCase is a moment at which the entry instance that has a request ends or stops.
type onceCase struct {
	name   string
	signal syscall.Signal
	// before makes the moment last, and at waits for it.
	before func(f *fleet)
	at     func(f *fleet, key string, offset uint64)
}

func onceCases() []onceCase {
	lagging := func(f *fleet) { f.faults("log", faulter.Faults{TailLagMs: 700}) }
	intended := func(f *fleet, _ string, offset uint64) {
		require.Eventually(f.t, func() bool { return f.nextOffset() > offset }, eventually, time.Millisecond)
	}
	slow := func(f *fleet) { f.faults("kernheffing-1", faulter.Faults{TokenMs: 700}) }
	running := func(f *fleet, key string, _ uint64) {
		require.Eventually(f.t, func() bool { return f.ran("kernheffing-1")[key] > 0 }, eventually, time.Millisecond)
	}
	return []onceCase{
		{"killed between intent and send", syscall.SIGKILL, lagging, intended},
		{"frozen between intent and send", syscall.SIGSTOP, lagging, intended},
		{"killed during the call", syscall.SIGKILL, slow, running},
		{"frozen during the call", syscall.SIGSTOP, slow, running},
	}
}

// An entry instance is killed or frozen at the worst moment of a request that
// may not be repeated, and its caller sends the request again to another one.
func TestOnceOverKilledAndFrozenEntries(t *testing.T) {
	f := newSmallFleet(t)
	var to told
	for _, tc := range onceCases() {
		t.Run(tc.name, func(t *testing.T) {
			tc.before(f)
			key := ulid.Make().String()
			offset := f.nextOffset()
			first := make(chan struct{})
			go func() {
				defer close(first)
				_, _ = f.call(&to, f.entries[0], key, 20_000)
			}()
			tc.at(f, key, offset)
			f.entries[0].signal(tc.signal)
			_, err := f.call(&to, f.entries[1], key, 2_000)
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err).Ran)
			f.faults("log", faulter.Faults{})
			f.faults("kernheffing-1", faulter.Faults{})
			if tc.signal == syscall.SIGSTOP {
				f.entries[0].signal(syscall.SIGCONT)
			} else {
				f.entry(f.entries[0].name)
			}
			<-first
			_, _ = f.call(&to, f.entries[2], key, 2_000)
			f.checkCalls(&to)
		})
	}
	t.Run("killed after the answer", func(t *testing.T) {
		key := ulid.Make().String()
		_, err := f.call(&to, f.entries[0], key, 20_000)
		require.NoError(t, err)
		// The outcome is written after the answer; wait for it.
		require.Eventually(t, func() bool { return f.isEnded(key) }, eventually, 10*time.Millisecond)
		f.entries[0].signal(syscall.SIGKILL)
		resp, err := f.call(&to, f.entries[1], key, 20_000)
		require.NoError(t, err)
		require.True(t, resp.GetEarlier())
		f.checkCalls(&to)
	})
}
