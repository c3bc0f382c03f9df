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

// restarts starts a stand-in again whenever its process ends, as a platform
// would, and counts how often.
func (f *fleet) restarts(name string, args ...string) *atomic.Int32 {
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

func answer(prompt string, tokens uint32) string {
	var out []string
	for i := range tokens {
		out = append(out, engine.Token(prompt, i))
	}
	return strings.Join(out, " ")
}

// A request that crashes its upstream costs two upstreams at most, whichever
// entry instance its caller sends it to again, and is then refused at once.
// Another request is answered all the while.
func TestPoisonRequest(t *testing.T) {
	f := newFleet(t)
	var crashes []*atomic.Int32
	for _, name := range []string{"taalmodellen-1", "taalmodellen-2", "taalmodellen-3"} {
		f.engine(name, false, "--crash-on", "poison")
		crashes = append(crashes, f.restarts(name, "engine", "--store", "http://"+f.store, "--crash-on", "poison"))
	}
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		f.entry(name)
	}
	f.publish(operatorsFile)
	ctx := context.Background()
	for i, e := range f.entries {
		// A client of its own for each try, pinned to one entry instance.
		var last verdict.Refusal
		require.Eventually(t, func() bool {
			_, err := generate(ctx, &caller.Client{Customer: "tolwerk", Entries: []string{e.caller}}, "poison", 2)
			last = verdict.Of(err)
			return err != nil && last.Reason == verdict.ReasonPoison
		}, eventually, 50*time.Millisecond)
		require.Positive(t, last.ComeBack, "try %d", i)
		got, err := generate(ctx, f.client("tolwerk"), "innocent", 2)
		require.NoError(t, err)
		require.Equal(t, answer("innocent", 2), got)
	}
	total := int32(0)
	for _, n := range crashes {
		total += n.Load()
	}
	require.LessOrEqual(t, total, int32(2))
}

// An answer that breaks off goes on at its token elsewhere; the caller sees no seam.
func TestBrokenStreamResumes(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	ctx := context.Background()
	_, err := generate(ctx, c, "warm", 1)
	require.NoError(t, err)
	for _, name := range []string{"taalmodellen-1", "taalmodellen-2"} {
		f.faults(name, faulter.Faults{CutAfter: 4})
	}
	got, err := generate(ctx, c, "long", 10)
	require.NoError(t, err)
	require.Equal(t, answer("long", 10), got)
}

// An upstream that leaves refuses new work though list and reports lag; the
// requests are answered elsewhere.
func TestLeavingUpstream(t *testing.T) {
	f := newSmallFleet(t)
	c := f.client("tolwerk")
	ctx := context.Background()
	_, err := generate(ctx, c, "warm", 1)
	require.NoError(t, err)
	got, err := f.entries[0].replicas()
	require.NoError(t, err)
	require.Len(t, got, 1)
	f.faults(got[0].GetUpstream(), faulter.Faults{Leaving: true, LagMs: 60_000})
	require.Eventually(t, func() bool {
		_, err := generate(ctx, c, "after", 2)
		return err == nil
	}, eventually, 50*time.Millisecond)
}
