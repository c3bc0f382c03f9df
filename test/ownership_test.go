package test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const coldModel = "levy-status"

// holder returns the shard of the cold model and the instance that holds it.
func (f *fleet) holder() (folder.Shard, *entryProcess) {
	f.t.Helper()
	sh := f.state().Shard(folder.ShardOf(coldModel))
	for _, e := range f.entries {
		if e.name == sh.Current.Instance && !sh.Released {
			return sh, e
		}
	}
	return sh, nil
}

func (f *fleet) loads() int {
	n := 0
	for _, h := range f.held() {
		n += h.Loads
	}
	return n
}

// The holder of a shard is killed or frozen while an engine loads for it. The
// next holder goes on with the same replica, and the old one harms nothing when
// it wakes up.
func TestHolderEndsMidLoad(t *testing.T) {
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newSmallFleet(t)
			f.faults("store", faulter.Faults{LoadMs: 3000})
			var sh folder.Shard
			var old *entryProcess
			require.Eventually(t, func() bool {
				sh, old = f.holder()
				return old != nil
			}, eventually, 10*time.Millisecond)
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
			require.Eventually(t, func() bool { return f.loads() > 0 }, eventually, 10*time.Millisecond)
			old.signal(tc.signal)
			at := time.Now()
			require.Eventually(t, func() bool {
				next, e := f.holder()
				return e != nil && next.Current.Claim != sh.Current.Claim
			}, eventually, 10*time.Millisecond)
			t.Logf("takeover after %v", time.Since(at).Round(10*time.Millisecond))
			f.checkEngines()
			if tc.signal == syscall.SIGSTOP {
				old.signal(syscall.SIGCONT)
			} else {
				f.announce(old, "gone", sh.Current.Incarnation)
			}
			select {
			case <-done:
			case <-time.After(eventually):
				require.Fail(t, "cold model was not served")
			}
			require.Eventually(t, func() bool {
				return len(f.state().Shard(folder.ShardOf(coldModel)).Unsettled) == 0
			}, eventually, 50*time.Millisecond, "old holder is settled")
			f.checkEngines()
			require.Equal(t, 1, f.loads())
		})
	}
}

// The log goes out twice, flaps and is slow, and an entry instance restarts
// meanwhile. Warm models are served throughout, what needs agreement is refused
// truly with when to come back, and little is appended afterwards.
func TestLogOutages(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	warm := func() {
		t.Helper()
		require.NoError(t, c.Generate(context.Background(), &callerv1.GenerateRequest{Model: coldModel, Prompt: "p", MaxTokens: 1}, func(string) {}))
	}
	warm()
	var to told
	var open []string
	refused := func() {
		t.Helper()
		key := ulid.Make().String()
		open = append(open, key)
		_, err := f.call(&to, f.entries[0], key, 10_000)
		if err != nil && verdict.Of(err).Ran == verdict.NotRun {
			require.Positive(t, verdict.Of(err).ComeBack)
		}
		f.checkCalls(&to)
	}
	for _, faults := range []faulter.Faults{
		{Outage: true}, {}, {Outage: true}, {Hang: true}, {DelayMs: 300}, {LoseReplies: 5}, {Outage: true},
	} {
		f.faults("log", faults)
		for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			warm()
			refused()
		}
	}
	// The log is out: an instance that starts now serves nothing that needs it.
	f.entries[2].signal(syscall.SIGKILL)
	<-f.entries[2].done
	f.entry(f.entries[2].name)
	_, err := f.call(&to, f.entries[2], ulid.Make().String(), 2_000)
	require.Equal(t, verdict.NotRun, verdict.Of(err).Ran)
	require.Positive(t, verdict.Of(err).ComeBack)
	warm()

	f.faults("log", faulter.Faults{})
	before := f.nextOffset()
	for _, key := range open {
		f.callUntilKnown(&to, f.entries[0], key)
	}
	for _, e := range f.entries {
		key := ulid.Make().String()
		require.Eventually(t, func() bool {
			_, err := f.call(&to, e, key, 10_000)
			return err == nil
		}, eventually, 50*time.Millisecond, "%s has caught up", e.name)
	}
	appends := f.nextOffset() - before
	t.Logf("%d appends to catch up, with %d keys sent again", appends, len(open))
	require.Less(t, appends, uint64(4*(len(open)+folder.ShardCount)))
	f.checkCalls(&to)
	f.checkEngines()
}
