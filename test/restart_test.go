package test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
)

// loadGenerator sends requests to models and services until it is stopped, and
// records the failures.
type loadGenerator struct {
	maxResumptions int // of each client
	sent, failed   atomic.Int64
	mu             sync.Mutex
	failures       []string
}

func (l *loadGenerator) recordFailure(format string, args ...any) {
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

func (l *loadGenerator) run(f *fleet, worker int, stop <-chan struct{}) {
	c := f.client("tolwerk")
	c.MaxResumptions = l.maxResumptions
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		l.sent.Add(2)
		prompt := fmt.Sprintf("w%d-%d", worker, i)
		got, err := generate(context.Background(), c, prompt, 20)
		if err != nil || got != expectedAnswer(prompt, 20) {
			l.recordFailure("generate %s: %q %v", prompt, got, err)
		}
		key := ulid.Make().String()
		if _, err := c.Call(context.Background(), &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: key}); err != nil {
			l.recordFailure("debit %s: %v", key, err)
		}
	}
}

// restartEntries stops and restarts the entry instances one after the other
// under load.
func restartEntries(t *testing.T, maxResumptions int, stopProcess func(*process)) *loadGenerator {
	t.Helper()
	f := newFleet(t)
	f.startEngine("taalmodellen-1", false, "--token-ms", "5")
	f.startEngine("taalmodellen-2", true, "--token-ms", "5")
	f.startService("kernheffing-1", "kernheffing")
	names := []string{"entry-1", "entry-2", "entry-3"}
	for _, name := range names {
		f.startEntry(name)
	}
	f.publish(operatorsFile)
	_, err := generate(context.Background(), f.client("tolwerk"), "warm", 1)
	require.NoError(t, err)

	l := &loadGenerator{maxResumptions: maxResumptions}
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for w := range 8 {
		workers.Go(func() { l.run(f, w, stop) })
	}
	for i, name := range names {
		old := f.entries[i].process
		stopProcess(old)
		<-old.done
		f.startEntry(name)
		require.Eventually(t, func() bool { return f.entries[i].configVersion() > 0 }, conditionTimeout, 20*time.Millisecond)
	}
	close(stop)
	workers.Wait()
	t.Logf("%d sent, %d not answered", l.sent.Load(), l.failed.Load())
	for key, n := range f.runCounts("kernheffing-1") {
		require.Equal(t, 1, n, key)
	}
	return l
}

// TestRollingRestart shuts down the entry instances gracefully and restarts them
// one after the other under load. No request must be interrupted, refused or run
// twice.
func TestRollingRestart(t *testing.T) {
	l := restartEntries(t, -1, func(p *process) { p.signal(syscall.SIGTERM) })
	require.Empty(t, l.failures)
}

// TestKillingEntriesInterruptsRequests is the negative control of
// TestRollingRestart: with killed instances the same check finds interrupted
// requests.
func TestKillingEntriesInterruptsRequests(t *testing.T) {
	l := restartEntries(t, -1, func(p *process) { p.kill() })
	require.NotEmpty(t, l.failures)
}

// TestStreamResumesAfterEntryIsKilled kills the entry instance of a stream. The
// stream must resume at its next token through another instance, and the client
// must receive the complete answer.
func TestStreamResumesAfterEntryIsKilled(t *testing.T) {
	f := newFleet(t)
	f.startEngine("taalmodellen-1", false, "--token-ms", "20")
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		f.startEntry(name)
	}
	f.publish(operatorsFile)
	ctx := context.Background()
	c := f.client("tolwerk")
	_, err := generate(ctx, c, "warm", 1)
	require.NoError(t, err)
	addresses, err := c.Locate(ctx, "levy-status")
	require.NoError(t, err)

	var tokens []string
	err = c.Generate(ctx, &callerv1.GenerateRequest{Model: "levy-status", Prompt: "long", MaxTokens: 30}, func(tok string) {
		tokens = append(tokens, tok)
		if len(tokens) == 5 {
			f.killEntryAt(addresses[0])
		}
	})
	require.NoError(t, err)
	require.Equal(t, expectedAnswer("long", 30), strings.Join(tokens, " "))
}

func (f *fleet) killEntryAt(caller string) {
	for _, e := range f.entries {
		if e.caller == caller {
			e.kill()
		}
	}
}
