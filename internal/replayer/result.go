package replayer

import (
	"math"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Result holds the measurements of a run.
type Result struct {
	Requests int `json:"requests"`
	// ColdRequests counts requests that found no loaded replica on arrival. The
	// cold quantiles are over their waits; a refused request counts with its
	// whole waiting time.
	ColdRequests int           `json:"cold-requests"`
	ColdP50      time.Duration `json:"cold-p50-ns"`
	ColdP99      time.Duration `json:"cold-p99-ns"`
	ColdP999     time.Duration `json:"cold-p999-ns"`
	// AllP99 and AllP999 are over all requests; a request that found a loaded
	// replica counts as a wait of zero.
	AllP99  time.Duration `json:"all-p99-ns"`
	AllP999 time.Duration `json:"all-p999-ns"`
	// ColdSeconds is the sum of all cold waits.
	ColdSeconds float64 `json:"cold-seconds"`
	// AdapterP99 is over the requests that found the base model loaded but had to
	// wait, usually for an adapter.
	AdapterP99 time.Duration `json:"adapter-p99-ns"`
	// IdleHours is the accelerator time, in hours, for which replicas were loaded
	// without a running request. Each replica counts in proportion to its share
	// of the accelerator's memory.
	IdleHours  float64        `json:"idle-accelerator-hours"`
	Refusals   map[string]int `json:"refusals"`
	Counts     Counts         `json:"counts"`
	Violations int            `json:"violations"`
}

// Counts holds numbers of load orders. Loads covers those of all sources.
type Counts struct {
	Loads        int `json:"loads"`
	StoreLoads   int `json:"store-loads"`
	Preloads     int `json:"ahead-loads"`
	AdapterLoads int `json:"adapter-loads"`
}

// measurement accumulates the measurements of a run.
type measurement struct {
	requests             int
	coldWaits, warmWaits []time.Duration
	idleHours            float64
	refusals             map[string]int
	counts               Counts
	violations           int
}

// countIfMeasured returns 1 within the measured period and 0 before it, to be
// added to a counter.
func (r *replay) countIfMeasured() int {
	if r.now.Before(r.trace.MeasureStart) {
		return 0
	}
	return 1
}

func (r *replay) measureStart(w *waitingRequest) { r.measureWait(w, r.now.Sub(w.req.At)) }

func (r *replay) measureWait(w *waitingRequest, wait time.Duration) {
	if w.req.At.Before(r.trace.MeasureStart) {
		return
	}
	r.requests++
	switch {
	case w.isCold:
		r.coldWaits = append(r.coldWaits, wait)
	case wait > 0:
		r.warmWaits = append(r.warmWaits, wait)
	}
}

func (r *replay) measureRefusal(m *model, w *waitingRequest) {
	r.measureWait(w, r.now.Sub(w.req.At))
	if w.req.At.Before(r.trace.MeasureStart) {
		return
	}
	r.refusals[r.refusalReason(m)]++
}

// refusalReason returns why no replica was loaded within the waiting time, as a
// key of Result.Refusals.
func (r *replay) refusalReason(m *model) string {
	c, used := r.trace.Contracts[m.Customer], r.usage[m.Customer]
	isLoading := func(p *replica) bool { return p.phase == applier.PhaseLoading }
	switch {
	case slices.ContainsFunc(m.replicas, isLoading):
		return "load-took-too-long"
	case used.Replicas >= c.MaxReplicas || used.Bytes+m.Bytes > c.MaxBytes:
		return "contract-full"
	case r.storeLoads >= placer.DefaultStoreLoadLimit-placer.DefaultUrgentReserve:
		return "store-busy"
	}
	return "no-memory"
}

func (r *replay) measureLoad(o placer.Order) {
	n := r.countIfMeasured()
	r.counts.Loads += n
	if o.Source == recordv1.LoadSource_LOAD_SOURCE_STORE {
		r.counts.StoreLoads += n
	}
	if o.IsPreload {
		r.counts.Preloads += n
	}
}

// measureIdle adds the idle time of a replica whose idle period ends.
func (r *replay) measureIdle(p *replica) {
	if p.phase != applier.PhaseLoaded || p.running > 0 {
		return
	}
	from := p.idleSince
	if from.Before(r.trace.MeasureStart) {
		from = r.trace.MeasureStart
	}
	if r.now.After(from) {
		share := float64(r.models[p.model].Bytes) / float64(r.engines[p.engine].MemoryBytes)
		r.idleHours += share * r.now.Sub(from).Hours()
	}
}

// checkInvariants counts a violation if a load exceeded the memory of the
// engine, the customer's contract or the limit of concurrent store loads.
func (r *replay) checkInvariants(i, e int) {
	m := &r.models[i]
	c, used := r.trace.Contracts[m.Customer], r.usage[m.Customer]
	u := r.engines[e].Upstream
	if u.FreeBytes > u.MemoryBytes || used.Replicas > c.MaxReplicas || used.Bytes > c.MaxBytes || r.storeLoads > placer.DefaultStoreLoadLimit {
		r.violations++
	}
}

func (r *replay) result() Result {
	r.now = r.trace.End
	for i := range r.engines {
		for _, p := range r.engines[i].replicas {
			r.measureIdle(p)
		}
	}
	slices.Sort(r.coldWaits)
	slices.Sort(r.warmWaits)
	out := Result{
		Requests: r.requests, ColdRequests: len(r.coldWaits), IdleHours: r.idleHours,
		ColdP50: quantile(r.coldWaits, len(r.coldWaits), 0.5), ColdP99: quantile(r.coldWaits, len(r.coldWaits), 0.99), ColdP999: quantile(r.coldWaits, len(r.coldWaits), 0.999),
		AllP99: quantile(r.coldWaits, r.requests, 0.99), AllP999: quantile(r.coldWaits, r.requests, 0.999),
		AdapterP99: quantile(r.warmWaits, len(r.warmWaits), 0.99), Refusals: r.refusals, Counts: r.counts, Violations: r.violations,
	}
	for _, w := range r.coldWaits {
		out.ColdSeconds += w.Seconds()
	}
	return out
}

// quantile returns the q-quantile of n values. The list holds the largest of
// them in ascending order; the others are zero.
func quantile(sorted []time.Duration, n int, q float64) time.Duration {
	rank := int(math.Ceil(q*float64(n))) - 1 - (n - len(sorted))
	if rank < 0 || rank >= len(sorted) {
		return 0
	}
	return sorted[rank]
}
