package replayer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/forecaster"
)

// FaultKind is a kind of fault.
type FaultKind int

// Kinds of faults.
const (
	// FaultSlowStore leaves the weight store a third of its speed.
	FaultSlowStore FaultKind = iota + 1
	// FaultDataCentre takes the first data centre's engines away.
	FaultDataCentre
	// FaultReclaim takes an engine away whenever one is loading, at most every ten minutes.
	FaultReclaim
	// FaultForget loses all histories, as when every holder is replaced.
	FaultForget
)

// Fault is a fault that begins some time after the start of the measurement.
type Fault struct {
	Kind  FaultKind
	After time.Duration
	For   time.Duration
}

const (
	slowStoreSpeed  = 1.0 / 3
	reclaimInterval = 10 * time.Minute
	reclaimRetry    = 500 * time.Millisecond
)

func (r *replay) begin(f Fault) {
	end := r.now.Add(f.For)
	switch f.Kind {
	case FaultSlowStore:
		r.store = slowStoreSpeed
		r.at(end, func() { r.store = 1 })
	case FaultDataCentre:
		for i := range r.engines {
			if r.engines[i].DataCentre == r.trace.Deployment.DataCentres[0] {
				r.stop(i)
				r.at(end, func() { r.engines[i].Usable = true })
			}
		}
		r.plan()
	case FaultReclaim:
		r.reclaim(end)
	case FaultForget:
		for i := range r.models {
			r.models[i].history = forecaster.History{}
		}
	}
}

// reclaim takes away an engine that is loading, again and again until end.
func (r *replay) reclaim(end time.Time) {
	if r.now.After(end) {
		return
	}
	i := slices.IndexFunc(r.engines, func(e engine) bool {
		return slices.ContainsFunc(e.replicas, func(p *replica) bool { return p.phase == folder.PhaseLoading })
	})
	if i < 0 {
		r.after(reclaimRetry, func() { r.reclaim(end) })
		return
	}
	r.stop(i)
	r.after(time.Minute, func() { r.engines[i].Usable = true })
	r.plan()
	r.after(reclaimInterval, func() { r.reclaim(end) })
}

// stop takes an engine away with all its replicas. What ran on it is lost and
// not measured further.
func (r *replay) stop(i int) {
	e := &r.engines[i]
	e.Usable = false
	e.OnDisk, e.InMemory = nil, nil
	for _, p := range slices.Clone(e.replicas) {
		r.endLoad(p)
		r.measureIdle(p)
		p.phase = folder.PhaseGhost
		r.remove(p)
	}
}
