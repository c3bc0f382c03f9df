package conductor

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// fleetLocked returns the input of a plan for the service.
func (c *Conductor) fleetLocked(svc matcher.Service, now time.Time) arranger.Fleet {
	f := arranger.Fleet{Engine: *svc.Engine, StoreLoadLimit: c.storeLimit.Loads(), IsIdle: !c.hasRequests, Now: now}
	running := c.runningLocked(now)
	for _, e := range c.engines {
		if e.up.Service != svc.Name || !e.isKnown || e.failures.FailureProbability(now) > maxFailureProbability {
			continue
		}
		if !e.up.IsLeaving {
			f.Upstreams = append(f.Upstreams, c.upstreamLocked(e, running, now))
		}
	}
	slices.SortFunc(f.Upstreams, func(a, b arranger.Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.StoreLoads = c.storeLoadsLocked()
	f.Demands = c.demandsLocked(svc.Name, running, now)
	return f
}

// upstreamLocked returns the planning state of an engine. A model that is still to
// be loaded by the move in flight counts as loaded.
func (c *Conductor) upstreamLocked(e *engine, running map[runKey]int, now time.Time) arranger.Upstream {
	u := arranger.Upstream{
		ID: e.up.ID, DataCentre: e.up.DataCentre, IsBusy: e.isBusy || now.Before(e.retryAt) || e.up.IsPaused(now),
		BusyFor: max(e.doneAt.Sub(now), e.retryAt.Sub(now), e.up.PausedUntil.Sub(now)), InHostMemory: e.inHostMemory, OnDisk: e.onDisk,
	}
	draining := e.draining(now)
	for _, m := range e.models {
		r := arranger.Resident{Model: m.Name, LoadedAt: e.loadedAt[m.Name], Running: running[runKey{e.up.ID, m.Name, ""}]}
		if slices.Contains(draining, m.Name) {
			r.ReplacedBy = e.drain.replacement
		}
		for _, a := range m.Adapters {
			n := running[runKey{e.up.ID, m.Name, a}]
			r.Adapters = append(r.Adapters, arranger.Adapter{Name: a, Running: n, LastUsed: e.lastUsed[m.Name+"/"+a]})
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

// runningLocked returns the numbers of running requests, summed over the valid
// reports of all instances.
func (c *Conductor) runningLocked(now time.Time) map[runKey]int {
	out := make(map[runKey]int)
	for _, r := range c.reports {
		if now.Sub(r.at) > reportTTL {
			continue
		}
		for _, d := range r.demands {
			for id, n := range d.Running {
				out[runKey{id, d.Model, d.Adapter}] += n
			}
		}
	}
	return out
}

// demandsLocked returns the demand for a service, summed over the valid reports
// of all instances.
func (c *Conductor) demandsLocked(service string, running map[runKey]int, now time.Time) []arranger.Demand {
	waiting, runningByModel := make(map[key]int), make(map[key]int)
	for k, n := range running {
		runningByModel[key{service, k.model, ""}] += n
	}
	for _, r := range c.reports {
		if now.Sub(r.at) > reportTTL {
			continue
		}
		for _, d := range r.demands {
			waiting[key{d.Service, d.Model, d.Adapter}] += d.Waiting
			if d.Adapter != "" {
				waiting[key{d.Service, d.Model, ""}] += d.Waiting
			}
		}
	}
	c.setPriorRatesLocked(service, now)
	var out []arranger.Demand
	for k, r := range c.rates {
		if k.service != service || k.model == "" {
			continue
		}
		if r.At(now) < minKeptRate && waiting[k] == 0 && runningByModel[k] == 0 {
			delete(c.rates, k)
			continue
		}
		out = append(out, arranger.Demand{Model: k.model, Adapter: k.adapter, Rate: r.Forecast(now), Waiting: waiting[k], Running: runningByModel[k]})
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
