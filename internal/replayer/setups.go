package replayer

import (
	"fmt"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/generator"
	"github.com/primrosedrift/primrosedrift/internal/placer"
)

// NamedSetup is a setup with its name in the report.
type NamedSetup struct {
	Name string
	Setup
}

// unlimitedKeepWarm is a keep-warm time longer than any trace.
const unlimitedKeepWarm = 10_000 * time.Hour

// keepWarmTimes holds the keep-warm times of the baselines.
var keepWarmTimes = []time.Duration{
	time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour, 4 * time.Hour, 12 * time.Hour,
}

// idleWeightFactors holds the factors by which IdleWeightSweep multiplies the
// deployment's idle weight. The factor 1 is Policy itself.
var idleWeightFactors = []float64{0.03, 0.1, 0.3, 3, 10, 30}

// Policy returns the placement policy with the deployment's weights.
func Policy(d generator.Deployment) NamedSetup {
	return policy(d, "policy", 1)
}

func policy(d generator.Deployment, name string, factor float64) NamedSetup {
	return NamedSetup{name, Setup{Policy: placer.Policy{
		ColdStartWeight: d.ColdStartWeight, IdleWeight: factor * d.IdleWeight, CanLoadFromPeers: true,
	}}}
}

// IdleWeightSweep returns the placement policy with a range of idle weights, in
// ascending order, which trades cold starts against idle accelerators.
func IdleWeightSweep(d generator.Deployment) []NamedSetup {
	out := make([]NamedSetup, 0, len(idleWeightFactors))
	for _, f := range idleWeightFactors {
		out = append(out, policy(d, fmt.Sprintf("policy, idle weight x %g", f), f))
	}
	return out
}

// Baselines returns the simple policies to compare with: a fixed keep-warm time
// with least-recently-used eviction, never unload, and unload at once. They serve
// requests in order of deadline regardless of class, place a replica by the
// fastest load source and then by the most free memory, and use no forecasts.
func Baselines() []NamedSetup {
	out := []NamedSetup{baseline("unload at once", time.Nanosecond)}
	for _, k := range keepWarmTimes {
		out = append(out, baseline("fixed "+shortDuration(k), k))
	}
	return append(out, baseline("never unload", unlimitedKeepWarm))
}

func baseline(name string, keep time.Duration) NamedSetup {
	return NamedSetup{name, Setup{Policy: placer.Policy{
		KeepWarm: keep, NoClasses: true, CanLoadFromPeers: true, PlaceByFreeMemory: true,
	}}}
}

func shortDuration(d time.Duration) string {
	if d < time.Hour {
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return fmt.Sprintf("%dh", d/time.Hour)
}

// OfflineBounds returns the offline bounds: the same decisions with exact
// forecasts taken from the trace, with and without preloading.
func OfflineBounds(d generator.Deployment) []NamedSetup {
	ahead := Policy(d)
	ahead.Name, ahead.HasExactForecasts = "offline, loads ahead", true
	onDemand := ahead
	onDemand.Name, onDemand.Policy.NoPreload = "offline, on demand", true
	return []NamedSetup{onDemand, ahead}
}

// Ablations returns setups that each disable one mechanism of the policy, and a
// baseline that uses the policy's placement.
func Ablations(d generator.Deployment) []NamedSetup {
	preload, classes := Policy(d), Policy(d)
	preload.Name, preload.Policy.NoPreload = "policy, no loading ahead", true
	classes.Name, classes.Policy.NoClasses = "policy, no classes", true
	byFreeMemory := Policy(d)
	byFreeMemory.Name, byFreeMemory.Policy.PlaceByFreeMemory = "policy, plain placement", true
	policyPlacement := baseline("fixed 1h, the policy's placement", time.Hour)
	policyPlacement.Policy.PlaceByFreeMemory = false
	return []NamedSetup{preload, classes, byFreeMemory, policyPlacement}
}

// Delays of the faults after the start of the measurement, and their extent.
const (
	faultDelay     = 9 * time.Hour
	faultDuration  = 6 * time.Hour
	burstDelay     = 3 * time.Hour
	numBurstModels = 50
)

// WithFault adds the fault of the given name and reports whether the name is
// known. "burst" and "habits" are no faults of the system but change the trace.
func (b *Bench) WithFault(name string) bool {
	kinds := map[string]FaultKind{
		"slow-store": FaultSlowStore, "data-centre": FaultDataCentreOutage, "reclaim": FaultReclaimedEngines, "forget": FaultHistoryLoss,
	}
	switch name {
	case "none":
		return true
	case "burst":
		b.Options.NumBurstModels, b.Options.BurstDelay = numBurstModels, burstDelay
		return true
	case "habits":
		b.Options.ShiftSessions = true
		return true
	}
	kind, ok := kinds[name]
	for i := range b.Setups {
		f := Fault{Kind: kind, After: faultDelay, Duration: faultDuration}
		if kind == FaultHistoryLoss {
			f.After = 0
		}
		b.Setups[i].Faults = []Fault{f}
	}
	return ok
}
