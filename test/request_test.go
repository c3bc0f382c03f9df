package test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/standin/engine"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/caller"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// restartOnExit restarts a stand-in whenever its process ends, as a platform
// does, and returns the number of restarts.
func (f *fleet) restartOnExit(name string, args ...string) *atomic.Int32 {
	var n atomic.Int32
	stop := make(chan struct{})
	ended := make(chan struct{})
	p := f.procs[name]
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			case <-p.done:
			}
			n.Add(1)
			p = startProcess(f.t, name, "standin", append(args, "--listen", f.addresses[name])...)
		}
	}()
	f.t.Cleanup(func() {
		close(stop)
		<-ended
	})
	return &n
}

func generate(ctx context.Context, c *caller.Client, prompt string, tokens uint32) (string, error) {
	var out []string
	err := c.Generate(ctx, &callerv1.GenerateRequest{Model: "levy-status", Prompt: prompt, MaxTokens: tokens, DeadlineMs: 5000},
		func(tok string) { out = append(out, tok) })
	return strings.Join(out, " "), err
}

func expectedAnswer(prompt string, tokens uint32) string {
	var out []string
	for i := range tokens {
		out = append(out, engine.Token(prompt, i))
	}
	return strings.Join(out, " ")
}

// TestPoisonRequestIsRefusedAfterTwoCrashes sends a request that crashes its
// upstream. It must crash at most two upstreams, also when the client repeats it at
// other entry instances, and must then be refused at once. Other requests must be
// answered throughout.
func TestPoisonRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	f := newFleet(t)
	var crashes []*atomic.Int32
	for _, name := range []string{"taalmodellen-1", "taalmodellen-2", "taalmodellen-3"} {
		f.startEngine(name, false, "--crash-on", "poison")
		crashes = append(crashes, f.restartOnExit(name, "engine", "--store", "http://"+f.store, "--crash-on", "poison"))
	}
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		f.startEntry(name)
	}
	f.publish(operatorsFile)
	ctx := context.Background()
	for i, e := range f.entries {
		// Each attempt has its own client, which knows one entry instance only.
		var last verdict.Refusal
		require.Eventually(t, func() bool {
			_, err := generate(ctx, &caller.Client{Customer: "tolwerk", Entries: []string{e.caller}}, "poison", 2)
			last = verdict.FromError(err)
			return err != nil && last.Reason == verdict.ReasonPoison
		}, conditionTimeout, 50*time.Millisecond)
		require.Positive(t, last.RetryAfter, "try %d", i)
		got, err := generate(ctx, f.client("tolwerk"), "innocent", 2)
		require.NoError(t, err)
		require.Equal(t, expectedAnswer("innocent", 2), got)
	}
	total := int32(0)
	for _, n := range crashes {
		total += n.Load()
	}
	require.LessOrEqual(t, total, int32(2))
}

// TestBrokenStreamResumes checks that a stream that breaks off resumes at its next
// token on another upstream, and that the client receives the complete answer.
func TestBrokenStreamResumes(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	ctx := context.Background()
	_, err := generate(ctx, c, "warm", 1)
	require.NoError(t, err)
	for _, name := range []string{"taalmodellen-1", "taalmodellen-2"} {
		f.setFaults(name, faulter.Faults{CutAfterTokens: 4})
	}
	got, err := generate(ctx, c, "long", 10)
	require.NoError(t, err)
	require.Equal(t, expectedAnswer("long", 10), got)
}

// TestLeavingUpstreamIsAvoided makes an upstream refuse new requests because it is
// leaving, while the instance list and its reports do not show it yet. The
// requests must be answered by another upstream.
func TestLeavingUpstreamIsAvoided(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	ctx := context.Background()
	_, err := generate(ctx, c, "warm", 1)
	require.NoError(t, err)
	got, err := f.entries[0].replicas()
	require.NoError(t, err)
	require.Len(t, got, 1)
	f.setFaults(got[0].GetUpstream(), faulter.Faults{Leaving: true, LagMs: 60_000})
	require.Eventually(t, func() bool {
		_, err := generate(ctx, c, "after", 2)
		return err == nil
	}, conditionTimeout, 50*time.Millisecond)
}
