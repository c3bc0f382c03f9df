package test

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const coldModel = "levy-status"

// coldModelShard returns the shard of the cold model and its holder, nil if it
// has none.
func (f *fleet) coldModelShard() (applier.Shard, *entryProcess) {
	f.t.Helper()
	sh := f.state().Shard(applier.ShardOf(coldModel))
	for _, e := range f.entries {
		if e.name == sh.Holder.Instance && !sh.IsReleased {
			return sh, e
		}
	}
	return sh, nil
}

func (f *fleet) numLoads() int {
	n := 0
	for _, e := range f.engineStates() {
		n += e.NumLoads
	}
	return n
}

// TestHolderIsLostDuringLoad kills or freezes the holder of a shard while an
// engine loads a model of the shard. The next holder must continue with the same
// replica, and a frozen holder that resumes must cause no second load.
func TestHolderIsLostDuringLoad(t *testing.T) {
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newSmallFleet(t)
			f.setFaults("store", faulter.Faults{LoadMs: 3000})
			var sh applier.Shard
			var old *entryProcess
			require.Eventually(t, func() bool {
				sh, old = f.coldModelShard()
				return old != nil
			}, conditionTimeout, 10*time.Millisecond)
			done := make(chan struct{})
			go func() {
				defer close(done)
				for ctx := context.Background(); ; time.Sleep(50 * time.Millisecond) {
					c := f.client("tolwerk")
					tctx, cancel := context.WithTimeout(ctx, 15*time.Second)
					err := c.Generate(tctx, &callerv1.GenerateRequest{Model: coldModel, Prompt: "p", MaxTokens: 1}, func(string) {})
					cancel()
					if err == nil {
						return
					}
				}
			}()
			require.Eventually(t, func() bool { return f.numLoads() > 0 }, conditionTimeout, 10*time.Millisecond)
			old.signal(tc.signal)
			lostAt := time.Now()
			require.Eventually(t, func() bool {
				next, e := f.coldModelShard()
				return e != nil && next.Holder.Claim != sh.Holder.Claim
			}, conditionTimeout, 10*time.Millisecond)
			t.Logf("takeover after %v", time.Since(lostAt).Round(10*time.Millisecond))
			f.checkEngines()
			if tc.signal == syscall.SIGSTOP {
				old.signal(syscall.SIGCONT)
			} else {
				f.announce(old, "gone", sh.Holder.Incarnation)
			}
			select {
			case <-done:
			case <-time.After(conditionTimeout):
				require.Fail(t, "cold model was not served")
			}
			require.Eventually(t, func() bool {
				return len(f.state().Shard(applier.ShardOf(coldModel)).UnsettledHolders) == 0
			}, conditionTimeout, 50*time.Millisecond, "old holder is settled")
			f.checkEngines()
			require.Equal(t, 1, f.numLoads())
		})
	}
}

// TestHolderShutsDownGracefully checks that a graceful shutdown of a shard's
// holder interrupts no stream, and hands over the shard without an unsettled
// holder.
func TestHolderShutsDownGracefully(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	generate := func(tokens uint32) error {
		return c.Generate(context.Background(), &callerv1.GenerateRequest{Model: coldModel, Prompt: "p", MaxTokens: tokens}, func(string) {})
	}
	require.NoError(t, generate(1))
	for name := range f.procs {
		if strings.HasPrefix(name, "taalmodellen") {
			f.setFaults(name, faulter.Faults{TokenMs: 20})
		}
	}
	sh, old := f.coldModelShard()
	require.NotNil(t, old)
	streams := make(chan error, 8)
	for range cap(streams) {
		go func() { streams <- generate(100) }()
	}
	old.signal(syscall.SIGTERM)
	for range cap(streams) {
		require.NoError(t, <-streams)
	}
	require.Eventually(t, func() bool {
		next, e := f.coldModelShard()
		return e != nil && next.Holder.Incarnation != sh.Holder.Incarnation
	}, conditionTimeout, 20*time.Millisecond)
	require.Empty(t, f.state().Shard(applier.ShardOf(coldModel)).UnsettledHolders)
	<-old.done
	require.NoError(t, generate(1))
	require.Equal(t, 1, f.numLoads())
	f.checkEngines()
}

// TestRecoveryFromRepeatedLogOutages injects several outages, a hang, delays and
// lost replies of the log, and restarts an entry instance during an outage. A
// loaded model must be served throughout, requests that need an append must be
// refused with the correct verdict and a retry delay, and the number of appends
// after the outage must be bounded.
func TestRecoveryFromRepeatedLogOutages(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	generateLoaded := func() {
		t.Helper()
		require.NoError(t, c.Generate(context.Background(), &callerv1.GenerateRequest{Model: coldModel, Prompt: "p", MaxTokens: 1}, func(string) {}))
	}
	generateLoaded()
	var calls callLog
	var keys []string
	callWithNewKey := func() {
		t.Helper()
		key := ulid.Make().String()
		keys = append(keys, key)
		_, err := f.call(&calls, f.entries[0], key, 10_000)
		if err != nil && verdict.FromError(err).Ran == verdict.NotRun {
			require.Positive(t, verdict.FromError(err).RetryAfter)
		}
		f.checkCalls(&calls)
	}
	for _, faults := range []faulter.Faults{
		{Outage: true}, {}, {Outage: true}, {Hang: true}, {DelayMs: 300}, {NumRepliesToLose: 5}, {Outage: true},
	} {
		f.setFaults("log", faults)
		for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			generateLoaded()
			callWithNewKey()
		}
	}
	// An instance that starts during the outage refuses requests that need an append.
	f.entries[2].signal(syscall.SIGKILL)
	<-f.entries[2].done
	f.startEntry(f.entries[2].name)
	_, err := f.call(&calls, f.entries[2], ulid.Make().String(), 2_000)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Ran)
	require.Positive(t, verdict.FromError(err).RetryAfter)
	generateLoaded()

	f.setFaults("log", faulter.Faults{})
	before := f.nextOffset()
	for _, key := range keys {
		f.retryWhileNotRun(&calls, f.entries[0], key)
	}
	for _, e := range f.entries {
		key := ulid.Make().String()
		require.Eventually(t, func() bool {
			_, err := f.call(&calls, e, key, 10_000)
			return err == nil
		}, conditionTimeout, 50*time.Millisecond, "%s has caught up", e.name)
	}
	appends := f.nextOffset() - before
	t.Logf("%d appends to catch up, with %d keys sent again", appends, len(keys))
	require.Less(t, appends, uint64(4*(len(keys)+applier.ShardCount)))
	f.checkCalls(&calls)
	f.checkEngines()
}
