package replayer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/forecaster"
)

// FaultKind is a kind of fault.
type FaultKind int

// Kinds of faults.
const (
	// FaultSlowStore reduces the weight store to a third of its speed.
	FaultSlowStore FaultKind = iota + 1
	// FaultDataCentreOutage removes all engines of the first data centre until the
	// fault ends.
	FaultDataCentreOutage
	// FaultReclaimedEngines removes an engine while it loads a model, at most one
	// every ten minutes. The engine is usable again a minute later, without any
	// replicas and checkpoints.
	FaultReclaimedEngines
	// FaultHistoryLoss discards all arrival histories, as when every shard holder is replaced.
	FaultHistoryLoss
)

// Fault is a fault to inject. After counts from the start of the measurement,
// Duration is how long the fault lasts.
type Fault struct {
	Kind     FaultKind
	After    time.Duration
	Duration time.Duration
}

const (
	slowStoreSpeed       = 1.0 / 3
	reclaimInterval      = 10 * time.Minute
	reclaimRetryInterval = 500 * time.Millisecond
)

func (r *replay) injectFault(f Fault) {
	end := r.now.Add(f.Duration)
	switch f.Kind {
	case FaultSlowStore:
		r.storeSpeed = slowStoreSpeed
		r.schedule(end, func() { r.storeSpeed = 1 })
	case FaultDataCentreOutage:
		for i := range r.engines {
			if r.engines[i].DataCentre == r.trace.Deployment.DataCentres[0] {
				r.removeEngine(i)
				r.schedule(end, func() { r.engines[i].IsUsable = true })
			}
		}
		r.plan()
	case FaultReclaimedEngines:
		r.reclaim(end)
	case FaultHistoryLoss:
		for i := range r.models {
			r.models[i].history = forecaster.History{}
		}
	}
}

// reclaim repeatedly removes an engine that is loading a model, until end.
func (r *replay) reclaim(end time.Time) {
	if r.now.After(end) {
		return
	}
	i := slices.IndexFunc(r.engines, func(e engine) bool {
		return slices.ContainsFunc(e.replicas, func(p *replica) bool { return p.phase == applier.PhaseLoading })
	})
	if i < 0 {
		r.scheduleAfter(reclaimRetryInterval, func() { r.reclaim(end) })
		return
	}
	r.removeEngine(i)
	r.scheduleAfter(time.Minute, func() { r.engines[i].IsUsable = true })
	r.plan()
	r.scheduleAfter(reclaimInterval, func() { r.reclaim(end) })
}

// removeEngine removes an engine with all its replicas. Requests that run on it
// are lost. They were measured at their start and are not measured again.
func (r *replay) removeEngine(i int) {
	e := &r.engines[i]
	e.IsUsable = false
	e.OnDisk, e.InMemory = nil, nil
	for _, p := range slices.Clone(e.replicas) {
		r.releaseStoreLoad(p)
		r.measureIdle(p)
		p.phase = applier.PhaseUnsettled
		r.removeReplica(p)
	}
}
