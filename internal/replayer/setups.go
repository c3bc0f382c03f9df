package replayer

import (
	"fmt"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/placer"
	"github.com/primrosedrift/primrosedrift/internal/tracer"
)

// NamedSetup is a setup to compare.
type NamedSetup struct {
	Name string
	Setup
}

// never is a keep-warm time beyond every trace.
const never = 10_000 * time.Hour

// keepWarms are the fixed times of the baselines.
var keepWarms = []time.Duration{
	time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 4 * time.Hour, 12 * time.Hour,
}

// weightFactors multiply the deployment's idle weight to draw the policy's curve.
var weightFactors = []float64{0.03, 0.1, 0.3, 3, 10, 30}

// Policy returns the policy with the deployment's weights.
func Policy(d tracer.Deployment) NamedSetup {
	return policy(d, "policy", 1)
}

func policy(d tracer.Deployment, name string, factor float64) NamedSetup {
	return NamedSetup{name, Setup{Policy: placer.Policy{
		ColdStartWeight: d.ColdStartWeight, IdleWeight: factor * d.IdleWeight, PeerLoads: true,
	}}}
}

// Curve returns the policy with idle weights from low to high.
func Curve(d tracer.Deployment) []NamedSetup {
	out := make([]NamedSetup, 0, len(weightFactors))
	for _, f := range weightFactors {
		out = append(out, policy(d, fmt.Sprintf("policy, idle weight x %g", f), f))
	}
	return out
}

// Baselines returns the plain policies: a fixed time with least-recently-used
// eviction, never unload, and unload at once. They serve in order of deadlines
// without regard to classes, take the soonest source and then the engine with
// most room, and learn nothing.
func Baselines() []NamedSetup {
	out := []NamedSetup{baseline("unload at once", time.Nanosecond)}
	for _, k := range keepWarms {
		out = append(out, baseline("fixed "+shortDuration(k), k))
	}
	return append(out, baseline("never unload", never))
}

func baseline(name string, keep time.Duration) NamedSetup {
	return NamedSetup{name, Setup{Policy: placer.Policy{
		KeepWarm: keep, NoClasses: true, PeerLoads: true, PlainPlacement: true,
	}}}
}

func shortDuration(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return fmt.Sprintf("%dh", d/time.Hour)
}

// Bounds returns the offline bounds: the same decisions with forecasts made
// from the trace, with and without loading ahead.
func Bounds(d tracer.Deployment) []NamedSetup {
	ahead := Policy(d)
	ahead.Name, ahead.Foresight = "offline, loads ahead", true
	demand := ahead
	demand.Name, demand.Policy.NoPreload = "offline, on demand", true
	return []NamedSetup{demand, ahead}
}

// Ablations returns the policy with one mechanism off each.
func Ablations(d tracer.Deployment) []NamedSetup {
	preload, classes := Policy(d), Policy(d)
	preload.Name, preload.Policy.NoPreload = "policy, no loading ahead", true
	classes.Name, classes.Policy.NoClasses = "policy, no classes", true
	plain := Policy(d)
	plain.Name, plain.Policy.PlainPlacement = "policy, plain placement", true
	placed := baseline("fixed 1h, the policy's placement", time.Hour)
	placed.Policy.PlainPlacement = false
	return []NamedSetup{preload, classes, plain, placed}
}

// Times of the faults after the start of the measurement.
const (
	faultAfter = 9 * time.Hour
	faultFor   = 6 * time.Hour
	burstAfter = 3 * time.Hour
	burstSize  = 50
)

// WithFault adds a fault by its name and reports whether there is such a one.
func (b *Bench) WithFault(name string) bool {
	kinds := map[string]FaultKind{
		"slow-store": FaultSlowStore, "data-centre": FaultDataCentre, "reclaim": FaultReclaim, "forget": FaultForget,
	}
	switch name {
	case "none":
		return true
	case "burst":
		b.Options.BurstModels, b.Options.BurstAt = burstSize, burstAfter
		return true
	case "habits":
		b.Options.ShiftHabits = true
		return true
	}
	kind, ok := kinds[name]
	for i := range b.Setups {
		f := Fault{Kind: kind, After: faultAfter, For: faultFor}
		if kind == FaultForget {
			f.After = 0
		}
		b.Setups[i].Faults = []Fault{f}
	}
	return ok
}
