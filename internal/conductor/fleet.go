package conductor

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/limiter"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// fleetLocked returns the input of a plan for the service.
func (c *Conductor) fleetLocked(svc matcher.Service, now time.Time) arranger.Fleet {
	c.initStoreLimitLocked(svc.Engine)
	f := arranger.Fleet{Engine: *svc.Engine, StoreLoadLimit: c.storeLimit.Loads(), HostSlots: c.hostSlots[svc.Name], IsIdle: !c.hasRequests, Now: now}
	for _, e := range c.engines {
		if e.up.Service != svc.Name || !e.isKnown || e.failures.FailureProbability(now) > maxFailureProbability {
			continue
		}
		if !e.up.IsLeaving {
			f.Upstreams = append(f.Upstreams, c.upstreamLocked(e, now))
		}
	}
	slices.SortFunc(f.Upstreams, func(a, b arranger.Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.StoreLoads = c.storeLoadsLocked()
	f.Demands = c.demandsLocked(svc.Name, now)
	if c.Config().HasResumableStreams(svc.Name) {
		if c.streams[svc.Name] == nil {
			c.streams[svc.Name] = &arranger.Streams{}
		}
		c.streams[svc.Name].Observe(&f)
	}
	return f
}

// initStoreLimitLocked sets the first limit of concurrent loads from the weight store by
// the duration of its longest load.
func (c *Conductor) initStoreLimitLocked(e *matcher.Engine) {
	if c.hasStoreLimit {
		return
	}
	var alone time.Duration
	for _, m := range e.Models {
		alone = max(alone, m.StoreLoadDuration)
	}
	c.storeLimit, c.hasStoreLimit = limiter.New(alone), true
}

// upstreamLocked returns the planning state of an engine. A model that is still to
// be loaded by the move in flight counts as loaded.
func (c *Conductor) upstreamLocked(e *engine, now time.Time) arranger.Upstream {
	running := c.totals.running
	u := arranger.Upstream{
		ID: e.up.ID, DataCentre: e.up.DataCentre, Software: e.up.Software, IsBusy: e.isBusy || e.isUnsettled || now.Before(e.retryAt) || e.up.IsPaused(now),
		IsLimited: e.up.IsLimited && e.up.RequestRate < arranger.ReplicaRate,
		BusyFor:   max(e.doneAt.Sub(now), e.retryAt.Sub(now), e.up.PausedUntil.Sub(now)), InHostMemory: e.inHostMemory, OnDisk: e.onDisk,
	}
	draining := e.draining(now)
	for _, m := range e.models {
		r := arranger.Resident{Model: m.Name, LoadedAt: e.loadedAt[m.Name], Running: running[runKey{e.up.ID, m.Name, ""}]}
		if slices.Contains(draining, m.Name) {
			r.ReplacedBy = e.drain.replacement
		}
		for _, a := range m.Adapters {
			n := running[runKey{e.up.ID, m.Name, a}]
			lastUsed := e.lastUsed[m.Name+"/"+a]
			if t := c.lastArrival[key{e.up.Service, m.Name, a}]; t.After(lastUsed) {
				lastUsed = t
			}
			r.Adapters = append(r.Adapters, arranger.Adapter{Name: a, Running: n, LastUsed: lastUsed})
			r.Running += n
		}
		u.Running += r.Running
		u.Models = append(u.Models, r)
	}
	if e.target != "" && !slices.ContainsFunc(e.models, func(m registrar.Model) bool { return m.Name == e.target }) {
		u.Models = append(u.Models, arranger.Resident{Model: e.target, LoadedAt: now})
	}
	return u
}

// runKey identifies a model or adapter on an upstream.
type runKey struct{ upstream, model, adapter string }

// totals are the demands of all reports, summed. They are kept up to date with each
// report, since there are many more plans and views than reports that change a sum.
type totals struct {
	running        map[runKey]int
	runningByModel map[key]int
	runningAt      map[string]int // by upstream
	waiting        map[key]int    // of a model, those for its adapters included
	// boundWaiting counts the waiting requests that may run at one software version only,
	// which are not in waiting.
	boundWaiting map[boundKey]int
}

// boundKey identifies a model or adapter at a software version.
type boundKey struct {
	key
	software string
}

func newTotals() totals {
	return totals{make(map[runKey]int), make(map[key]int), make(map[string]int), make(map[key]int), make(map[boundKey]int)}
}

// add adds demands, or removes them if the sign is -1.
func (t totals) add(demands []Demand, sign int) {
	for _, d := range demands {
		for id, n := range d.Running {
			addTo(t.running, runKey{id, d.Model, d.Adapter}, sign*n)
			addTo(t.runningByModel, key{d.Service, d.Model, ""}, sign*n)
			addTo(t.runningAt, id, sign*n)
		}
		if d.Software != nil {
			addTo(t.boundWaiting, boundKey{key{d.Service, d.Model, d.Adapter}, *d.Software}, sign*d.Waiting)
			continue
		}
		addTo(t.waiting, key{d.Service, d.Model, d.Adapter}, sign*d.Waiting)
		if d.Adapter != "" {
			addTo(t.waiting, key{d.Service, d.Model, ""}, sign*d.Waiting)
		}
	}
}

// addTo adds n to an entry and removes the entry when it is 0.
func addTo[K comparable](m map[K]int, k K, n int) {
	if n == 0 {
		return
	}
	if m[k] += n; m[k] == 0 {
		delete(m, k)
	}
}

// demandsLocked returns the demand for a service, summed over the reports of all
// instances.
func (c *Conductor) demandsLocked(service string, now time.Time) []arranger.Demand {
	waiting, runningByModel := c.totals.waiting, c.totals.runningByModel
	c.setPriorRatesLocked(service, now)
	var out []arranger.Demand
	for k, r := range c.rates {
		if k.service != service || k.model == "" {
			continue
		}
		if r.At(now) < minKeptRate && waiting[k] == 0 && runningByModel[k] == 0 {
			delete(c.rates, k)
			delete(c.lastArrival, k)
			continue
		}
		out = append(out, arranger.Demand{Model: k.model, Adapter: k.adapter, Rate: r.Forecast(now), Waiting: waiting[k], Running: runningByModel[k]})
	}
	for k, n := range c.totals.boundWaiting {
		if k.service == service && k.model != "" {
			out = append(out, arranger.Demand{Model: k.model, Adapter: k.adapter, Software: &k.software, Waiting: n})
		}
	}
	return out
}

// setPriorRatesLocked derives the rates of models from the number of replicas
// that the upstreams started with, until the first request arrives.
func (c *Conductor) setPriorRatesLocked(service string, now time.Time) {
	if c.hasRequests {
		return
	}
	replicas := make(map[key]int)
	for _, e := range c.engines {
		if e.up.Service == service {
			for _, m := range e.models {
				replicas[key{service, m.Name, ""}]++
			}
		}
	}
	if c.priorReplicas == nil {
		c.priorReplicas = make(map[key]int)
	}
	for k, n := range replicas {
		c.priorReplicas[k] = max(c.priorReplicas[k], n)
	}
	for k, n := range c.priorReplicas {
		if n > 1 {
			r := c.rateLocked(Demand{Service: k.service, Model: k.model})
			r.Set(priorReplicaRate*float64(n-1), now)
		}
	}
}
