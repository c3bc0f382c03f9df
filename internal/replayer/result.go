package replayer

import (
	"math"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Result is what a run measured.
type Result struct {
	Requests int `json:"requests"`
	// ColdRequests met no loaded replica. Their waits, refused ones with the
	// whole waiting time, give the quantiles.
	ColdRequests int           `json:"cold-requests"`
	ColdP50      time.Duration `json:"cold-p50-ns"`
	ColdP99      time.Duration `json:"cold-p99-ns"`
	ColdP999     time.Duration `json:"cold-p999-ns"`
	// AllP99 and AllP999 are over all requests; a warm one waits for nothing.
	AllP99  time.Duration `json:"all-p99-ns"`
	AllP999 time.Duration `json:"all-p999-ns"`
	// ColdSeconds is the sum of all cold waits.
	ColdSeconds float64 `json:"cold-seconds"`
	// AdapterP99 is the wait for adapters on a loaded base.
	AdapterP99 time.Duration `json:"adapter-p99-ns"`
	// IdleHours are accelerator hours, loaded without a running request, by
	// the part of the accelerator's memory that the replica takes.
	IdleHours  float64        `json:"idle-accelerator-hours"`
	Refusals   map[string]int `json:"refusals"`
	Counts     Counts         `json:"counts"`
	Violations int            `json:"violations"`
}

// Counts counts orders.
type Counts struct {
	Loads        int `json:"loads"`
	StoreLoads   int `json:"store-loads"`
	AheadLoads   int `json:"ahead-loads"`
	AdapterLoads int `json:"adapter-loads"`
}

// measurement is what a run has measured so far.
type measurement struct {
	requests   int
	cold, warm []time.Duration
	idleHours  float64
	refused    map[string]int
	counts     Counts
	violations int
}

// measured returns 1 while the run is measured, and 0 before.
func (r *replay) measured() int {
	if r.now.Before(r.trace.Measured) {
		return 0
	}
	return 1
}

func (r *replay) measureStart(w *waiting) { r.measureWait(w, r.now.Sub(w.req.At)) }

func (r *replay) measureWait(w *waiting, wait time.Duration) {
	if w.req.At.Before(r.trace.Measured) {
		return
	}
	r.requests++
	switch {
	case w.cold:
		r.cold = append(r.cold, wait)
	case wait > 0:
		r.warm = append(r.warm, wait)
	}
}

func (r *replay) measureRefusal(m *model, w *waiting) {
	r.measureWait(w, r.now.Sub(w.req.At))
	if w.req.At.Before(r.trace.Measured) {
		return
	}
	r.refused[r.refusalReason(m)]++
}

func (r *replay) refusalReason(m *model) string {
	c, used := r.trace.Contracts[m.Customer], r.usage[m.Customer]
	isLoading := func(p *replica) bool { return p.phase == folder.PhaseLoading }
	switch {
	case slices.ContainsFunc(m.replicas, isLoading):
		return "load-took-too-long"
	case used.Replicas >= c.Replicas || used.Bytes+m.Bytes > c.Bytes:
		return "contract-full"
	case r.storeLoads >= placer.DefaultStoreConcurrent-placer.DefaultUrgentReserve:
		return "store-busy"
	}
	return "no-memory"
}

func (r *replay) measureLoad(o placer.Order) {
	n := r.measured()
	r.counts.Loads += n
	if o.Source == recordv1.LoadSource_LOAD_SOURCE_STORE {
		r.counts.StoreLoads += n
	}
	if o.Ahead {
		r.counts.AheadLoads += n
	}
}

// measureIdle adds the idle time of a replica that stops being idle.
func (r *replay) measureIdle(p *replica) {
	if p.phase != folder.PhaseLoaded || p.running > 0 {
		return
	}
	from := p.idleSince
	if from.Before(r.trace.Measured) {
		from = r.trace.Measured
	}
	if r.now.After(from) {
		share := float64(r.models[p.model].Bytes) / float64(r.engines[p.engine].MemoryBytes)
		r.idleHours += share * r.now.Sub(from).Hours()
	}
}

// checkInvariants counts what a load broke.
func (r *replay) checkInvariants(i, e int) {
	m := &r.models[i]
	c, used := r.trace.Contracts[m.Customer], r.usage[m.Customer]
	u := r.engines[e].Upstream
	if u.FreeBytes > u.MemoryBytes || used.Replicas > c.Replicas || used.Bytes > c.Bytes || r.storeLoads > placer.DefaultStoreConcurrent {
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
	slices.Sort(r.cold)
	slices.Sort(r.warm)
	out := Result{
		Requests: r.requests, ColdRequests: len(r.cold), IdleHours: r.idleHours,
		ColdP50: quantile(r.cold, len(r.cold), 0.5), ColdP99: quantile(r.cold, len(r.cold), 0.99), ColdP999: quantile(r.cold, len(r.cold), 0.999),
		AllP99: quantile(r.cold, r.requests, 0.99), AllP999: quantile(r.cold, r.requests, 0.999),
		AdapterP99: quantile(r.warm, len(r.warm), 0.99), Refusals: r.refused, Counts: r.counts, Violations: r.violations,
	}
	for _, w := range r.cold {
		out.ColdSeconds += w.Seconds()
	}
	return out
}

// quantile returns the quantile of n values, of which those that are not in
// the sorted list are zero.
func quantile(sorted []time.Duration, n int, q float64) time.Duration {
	rank := int(math.Ceil(q*float64(n))) - 1 - (n - len(sorted))
	if rank < 0 || rank >= len(sorted) {
		return 0
	}
	return sorted[rank]
}
