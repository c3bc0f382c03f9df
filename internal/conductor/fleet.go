package conductor

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// fleetLocked returns what a plan for the service is made from.
func (c *Conductor) fleetLocked(svc matcher.Service, now time.Time) arranger.Fleet {
	f := arranger.Fleet{Engine: *svc.Engine, StoreLanes: c.lanes.Loads(), IsIdle: !c.seen, Now: now}
	running := c.runningLocked(now)
	for _, e := range c.engines {
		if e.up.Service != svc.Name || !e.known || e.trust.Risk(now) > lostRisk {
			continue
		}
		if !e.up.IsLeaving {
			f.Upstreams = append(f.Upstreams, c.viewLocked(e, running, now))
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

func (c *Conductor) viewLocked(e *engine, running map[runKey]int, now time.Time) arranger.Upstream {
	u := arranger.Upstream{
		ID: e.up.ID, DataCentre: e.up.DataCentre, IsBusy: e.busy || now.Before(e.retry),
		BusyFor: max(e.doneAt.Sub(now), e.retry.Sub(now)), OnHost: e.onHost, OnDisk: e.onDisk,
	}
	drains := e.drains(now)
	for _, m := range e.models {
		r := arranger.Resident{Model: m.Name, Since: e.since[m.Name], Running: running[runKey{e.up.ID, m.Name, ""}]}
		if slices.Contains(drains, m.Name) {
			r.DrainsFor = e.drain.takes
		}
		for _, a := range m.Adapters {
			n := running[runKey{e.up.ID, m.Name, a}]
			r.Adapters = append(r.Adapters, arranger.Adapter{Name: a, Running: n, LastUsed: e.used[m.Name+"/"+a]})
			r.Running += n
		}
		u.Running += r.Running
		u.Models = append(u.Models, r)
	}
	if e.target != "" && !slices.ContainsFunc(e.models, func(m registrar.Model) bool { return m.Name == e.target }) {
		u.Models = append(u.Models, arranger.Resident{Model: e.target, Since: now})
	}
	return u
}

type runKey struct{ upstream, model, adapter string }

// runningLocked counts the requests that run, over all instances.
func (c *Conductor) runningLocked(now time.Time) map[runKey]int {
	out := make(map[runKey]int)
	for _, r := range c.reports {
		if now.Sub(r.at) > reportLife {
			continue
		}
		for _, u := range r.uses {
			for id, n := range u.Running {
				out[runKey{id, u.Model, u.Adapter}] += n
			}
		}
	}
	return out
}

// demandsLocked joins what all instances ask of a service.
func (c *Conductor) demandsLocked(service string, running map[runKey]int, now time.Time) []arranger.Demand {
	waiting, runs := make(map[key]int), make(map[key]int)
	for k, n := range running {
		runs[key{service, k.model, ""}] += n
	}
	for _, r := range c.reports {
		if now.Sub(r.at) > reportLife {
			continue
		}
		for _, u := range r.uses {
			waiting[key{u.Service, u.Model, u.Adapter}] += u.Waiting
			if u.Adapter != "" {
				waiting[key{u.Service, u.Model, ""}] += u.Waiting
			}
		}
	}
	c.priorsLocked(service, now)
	var out []arranger.Demand
	for k, r := range c.rates {
		if k.service != service || k.model == "" {
			continue
		}
		out = append(out, arranger.Demand{Model: k.model, Adapter: k.adapter, Rate: r.Forecast(now), Waiting: waiting[k], Running: runs[k]})
	}
	return out
}

// priorsLocked lets the copies that the upstreams began with stand for rates
// that no request has shown yet.
func (c *Conductor) priorsLocked(service string, now time.Time) {
	if c.seen {
		return
	}
	copies := make(map[key]int)
	for _, e := range c.engines {
		if e.up.Service == service {
			for _, m := range e.models {
				copies[key{service, m.Name, ""}]++
			}
		}
	}
	if c.priors == nil {
		c.priors = make(map[key]int)
	}
	for k, n := range copies {
		c.priors[k] = max(c.priors[k], n)
	}
	for k, n := range c.priors {
		if n > 1 {
			r := c.rateLocked(Use{Service: k.service, Model: k.model})
			r.Assume(priorCopyRate*float64(n-1), now)
		}
	}
}
