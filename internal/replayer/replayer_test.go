package replayer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/generator"
	"github.com/primrosedrift/primrosedrift/internal/replayer"
)

// shortTrace returns a trace of four days, short enough to replay repeatedly.
func shortTrace(d generator.Deployment, seed uint64) generator.Trace {
	return generator.Generate(d, seed, generator.Options{LearnDays: 3, MeasureDays: 1})
}

func TestReplayIsDeterministic(t *testing.T) {
	tr := shortTrace(generator.Thottam(), 1)
	s := replayer.Policy(tr.Deployment).Setup
	require.Equal(t, replayer.Replay(tr, s), replayer.Replay(shortTrace(generator.Thottam(), 1), s))
}

func TestReplayHasNoViolations(t *testing.T) {
	for _, fault := range []string{"none", "slow-store", "data-centre", "reclaim", "burst", "habits", "forget"} {
		for _, d := range []generator.Deployment{generator.Tolwerk(), generator.Thottam()} {
			t.Run(fault+" "+d.Name, func(t *testing.T) {
				b := replayer.Bench{Deployment: d, Seeds: []uint64{1}, Setups: []replayer.NamedSetup{replayer.Policy(d)}}
				b.Options = generator.Options{LearnDays: 2, MeasureDays: 1}
				require.True(t, b.WithFault(fault))
				rows, err := b.Run(t.Context())
				require.NoError(t, err)
				require.Zero(t, rows[0].Results[0].Violations)
				require.Positive(t, rows[0].Results[0].ColdRequests)
			})
		}
	}
}

// TestPreloadingDoesNotThrash guards against a plan that preloads models into
// memory for which requests are already waiting. On this trace such a plan evicted
// and reloaded the same models thousands of times.
func TestPreloadingDoesNotThrash(t *testing.T) {
	tr := generator.Generate(generator.Tolwerk(), 2, generator.Options{})
	s := replayer.IdleWeightSweep(tr.Deployment)[0]
	r := replayer.Replay(tr, s.Setup)
	require.Less(t, r.Counts.Loads, 500, "loads")
	require.Empty(t, r.Refusals)
}

// TestPolicyBeatsFixedKeepWarmTime compares medians over seeds that were not used
// for tuning.
func TestPolicyBeatsFixedKeepWarmTime(t *testing.T) {
	d := generator.Thottam()
	b := replayer.Bench{Deployment: d, Seeds: []uint64{2001, 2002, 2003, 2004, 2005}, Workers: 2}
	b.Setups = []replayer.NamedSetup{replayer.Policy(d), named(replayer.Baselines(), "fixed 4h")}
	rows, err := b.Run(t.Context())
	require.NoError(t, err)
	cold := func(r replayer.Result) float64 { return r.ColdSeconds }
	idle := func(r replayer.Result) float64 { return r.IdleHours }
	require.Less(t, rows[0].Spread(cold).Median, rows[1].Spread(cold).Median/2)
	require.Less(t, rows[0].Spread(idle).Median, rows[1].Spread(idle).Median)
}

func named(list []replayer.NamedSetup, name string) replayer.NamedSetup {
	for _, s := range list {
		if s.Name == name {
			return s
		}
	}
	return replayer.NamedSetup{}
}

func BenchmarkReplay(b *testing.B) {
	t := generator.Generate(generator.Tolwerk(), 1, generator.Options{})
	for b.Loop() {
		replayer.Replay(t, replayer.Policy(t.Deployment).Setup)
	}
}
