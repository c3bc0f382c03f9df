package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/primrosedrift/primrosedrift/internal/generator"
	"github.com/primrosedrift/primrosedrift/internal/replayer"
)

// benchGCPercent reduces the number of garbage collections, as replays allocate
// many plans.
const benchGCPercent = 800

func benchPolicyCommand() *cli.Command {
	return &cli.Command{
		Name: "policy", Usage: "replay seeded traces through the placement decisions in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "tolwerk or thottam", Value: "tolwerk"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 10},
			&cli.IntFlag{Name: "first-seed", Usage: "first seed; seeds below 1000 were used for tuning", Value: 1000},
			&cli.StringFlag{Name: "fault", Usage: "none, slow-store, data-centre, reclaim, burst, habits or forget", Value: "none"},
			&cli.StringFlag{Name: "setups", Usage: "all, or short for the policy, its bounds and two baselines", Value: "all"},
			&cli.IntFlag{Name: "workers", Usage: "number of concurrent replays", Value: 4},
			outputFlag(),
		},
		Action: benchPolicy,
	}
}

func benchPolicy(ctx context.Context, c *cli.Command) error {
	d, ok := map[string]generator.Deployment{"tolwerk": generator.Tolwerk(), "thottam": generator.Thottam()}[c.String("deployment")]
	if !ok {
		return exitError{exitUsage, errors.Newf("unknown deployment %q; use tolwerk or thottam", c.String("deployment"))}
	}
	b := replayer.Bench{Deployment: d, Workers: c.Int("workers")}
	for i := range c.Int("seeds") {
		b.Seeds = append(b.Seeds, uint64(c.Int("first-seed")+i))
	}
	b.Setups = benchSetups(d, c.String("setups") == "short")
	if !b.WithFault(c.String("fault")) {
		return exitError{exitUsage, errors.Newf("unknown fault %q", c.String("fault"))}
	}
	debug.SetGCPercent(benchGCPercent)
	rows, err := b.Run(ctx)
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return printJSON(rows)
	}
	fmt.Printf("%s, %d seeds from %d, fault %s\n", d.Name, len(b.Seeds), b.Seeds[0], c.String("fault"))
	return printRows(rows)
}

func benchSetups(d generator.Deployment, short bool) []replayer.NamedSetup {
	out := []replayer.NamedSetup{replayer.Policy(d)}
	if short {
		out = append(out, replayer.OfflineBounds(d)...)
		for _, s := range replayer.Baselines() {
			if s.Name == "fixed 15m" || s.Name == "fixed 4h" {
				out = append(out, s)
			}
		}
		return out
	}
	out = append(out, replayer.IdleWeightSweep(d)...)
	out = append(out, replayer.Ablations(d)...)
	out = append(out, replayer.OfflineBounds(d)...)
	return append(out, replayer.Baselines()...)
}

func printRows(rows []replayer.Row) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "setup\tcold p50 s\tp99 s\tp99.9 s\tall p99 s\tp99.9 s\tcold requests\tcold s\tidle h\tloads\tahead\trefused\tviolations\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t", r.Setup)
		for _, f := range []func(replayer.Result) time.Duration{
			func(r replayer.Result) time.Duration { return r.ColdP50 },
			func(r replayer.Result) time.Duration { return r.ColdP99 },
			func(r replayer.Result) time.Duration { return r.ColdP999 },
			func(r replayer.Result) time.Duration { return r.AllP99 },
			func(r replayer.Result) time.Duration { return r.AllP999 },
		} {
			printSpread(w, r.Spread(replayer.Seconds(f)), "%.2f (%.2f-%.2f)\t")
		}
		for _, f := range []func(replayer.Result) float64{
			func(r replayer.Result) float64 { return float64(r.ColdRequests) },
			func(r replayer.Result) float64 { return r.ColdSeconds },
			func(r replayer.Result) float64 { return r.IdleHours },
			func(r replayer.Result) float64 { return float64(r.Counts.Loads) },
			func(r replayer.Result) float64 { return float64(r.Counts.Preloads) },
		} {
			printSpread(w, r.Spread(f), "%.0f (%.0f-%.0f)\t")
		}
		refused, violations := totals(r)
		_, _ = fmt.Fprintf(w, "%v\t%d\t\n", refused, violations)
	}
	return errors.Wrap(w.Flush(), "print")
}

func printSpread(w *tabwriter.Writer, s replayer.Spread, format string) {
	_, _ = fmt.Fprintf(w, format, s.Median, s.Min, s.Max)
}

// totals returns the refusals by reason and the violations, summed over all
// seeds.
func totals(r replayer.Row) (map[string]int, int) {
	refused, violations := make(map[string]int), 0
	for _, v := range r.Results {
		for reason, n := range v.Refusals {
			refused[reason] += n
		}
		violations += v.Violations
	}
	return refused, violations
}
