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

// load sends requests of all kinds until stopped, and counts how they end.
type load struct {
	resumptions  int // of the callers
	sent, failed atomic.Int64
	mu           sync.Mutex
	faults       []string
}

func (l *load) fault(format string, args ...any) {
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *load) run(f *fleet, worker int, stop <-chan struct{}) {
	c := f.client("tolwerk")
	c.Resumptions = l.resumptions
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		l.sent.Add(2)
		prompt := fmt.Sprintf("w%d-%d", worker, i)
		got, err := generate(context.Background(), c, prompt, 20)
		if err != nil || got != answer(prompt, 20) {
			l.fault("generate %s: %q %v", prompt, got, err)
		}
		key := ulid.Make().String()
		if _, err := c.Call(context.Background(), &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: key}); err != nil {
			l.fault("debit %s: %v", key, err)
		}
	}
}

// restart ends every entry instance in turn under load and starts it again.
func restart(t *testing.T, resumptions int, end func(*process)) *load {
	t.Helper()
	f := newFleet(t)
	f.engine("taalmodellen-1", false, "--token-ms", "5")
	f.engine("taalmodellen-2", true, "--token-ms", "5")
	f.service("kernheffing-1", "kernheffing")
	names := []string{"entry-1", "entry-2", "entry-3"}
	for _, name := range names {
		f.entry(name)
	}
	f.publish(operatorsFile)
	_, err := generate(context.Background(), f.client("tolwerk"), "warm", 1)
	require.NoError(t, err)

	l := &load{resumptions: resumptions}
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for w := range 8 {
		workers.Go(func() { l.run(f, w, stop) })
	}
	for i, name := range names {
		old := f.entries[i].process
		end(old)
		<-old.done
		f.entry(name)
		require.Eventually(t, func() bool { return f.entries[i].version() > 0 }, eventually, 20*time.Millisecond)
	}
	close(stop)
	workers.Wait()
	t.Logf("%d sent, %d not answered", l.sent.Load(), l.failed.Load())
	for key, n := range f.ran("kernheffing-1") {
		require.Equal(t, 1, n, key)
	}
	return l
}

// All entry instances are stopped as planned and started again, one after the
// other, under load: no request is cut, refused or run twice.
func TestRollingRestart(t *testing.T) {
	l := restart(t, -1, func(p *process) { p.signal(syscall.SIGTERM) })
	require.Empty(t, l.faults)
}

// Without the planned stop the same check finds requests that were cut.
func TestRollingRestartNegative(t *testing.T) {
	l := restart(t, -1, func(p *process) { p.kill() })
	require.NotEmpty(t, l.faults)
}

// An answer whose entry instance is killed goes on at its token through
// another one; the caller sees no seam.
func TestAnswerOutlivesItsEntry(t *testing.T) {
	f := newFleet(t)
	f.engine("taalmodellen-1", false, "--token-ms", "20")
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		f.entry(name)
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
	require.Equal(t, answer("long", 30), strings.Join(tokens, " "))
}

func (f *fleet) killEntryAt(caller string) {
	for _, e := range f.entries {
		if e.caller == caller {
			e.kill()
		}
	}
}
