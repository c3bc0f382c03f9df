package controller

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// planInput is the input of a plan with the claims under which it is made.
type planInput struct {
	in     placer.Input
	epochs map[string]applier.Position // claims of this instance by model
}

// gatherInput builds the input of a plan from the state, the demand and the
// reports of the upstreams.
func (c *Controller) gatherInput(now time.Time) planInput {
	views := c.Monitor.Views()
	pi := planInput{epochs: make(map[string]applier.Position)}
	pi.in = placer.Input{Now: now, FreeCapacity: make(map[string]placer.ContractCapacity)}
	c.Keeper.View(func(s *applier.State) {
		own := make(map[string]bool)
		for name := range s.Config.Models {
			if sh := s.Shard(applier.ShardOf(name)); c.isPlanning(sh) {
				own[name] = true
				pi.epochs[name] = sh.Holder.Claim
			}
		}
		demands := c.Tallier.TakeDemand(now, func(m string) bool { return own[m] })
		byModel := sumByModel(demands)
		adapters := adaptersByModel(demands)
		c.forgetRemovedModels(s.Config.Models)
		for name := range s.Config.Models {
			switch {
			case !own[name]:
				pi.in.Models = append(pi.in.Models, c.peerModel(s, name, views, now))
			case !c.pendingSubjects[name]:
				m := c.plannedModel(s, name, byModel[name], views, now)
				m.Adapters = adapters[name]
				pi.in.Models = append(pi.in.Models, m)
			}
		}
		pi.in.Models = append(pi.in.Models, c.removedModels(s, pi.epochs, views, now)...)
		slices.SortFunc(pi.in.Models, func(a, b placer.Model) int { return strings.Compare(a.Name, b.Name) })
		for name, u := range s.Config.Upstreams {
			if u.GetKind() == recordv1.UpstreamKind_UPSTREAM_KIND_ENGINE {
				pi.in.Upstreams = append(pi.in.Upstreams, plannedUpstream(u, views[name], s.ReservedBytes(name), now))
			}
		}
		for name, ct := range s.Config.Contracts {
			used := s.UsageOf(name)
			pi.in.FreeCapacity[name] = placer.ContractCapacity{
				Replicas: int(ct.GetReplicas()) - int(used.Replicas),
				Bytes:    ct.GetMemoryBytes() - min(used.Bytes, ct.GetMemoryBytes()),
			}
		}
		slices.SortFunc(pi.in.Upstreams, func(a, b placer.Upstream) int { return strings.Compare(a.Name, b.Name) })
		pi.in.StoreLoads = s.StoreLoads()
		pi.in.AdapterLoads = s.AdapterLoads()
		pi.in.Policy = placer.Policy{
			KeepWarm: c.KeepWarm, ColdStartWeight: s.Config.Policy.GetColdStartWeight(), IdleWeight: s.Config.Policy.GetIdleWeight(),
			StoreLoadLimit: int(s.Config.Policy.GetStoreConcurrentLoads()), StoreLoadsPerSec: s.Config.Policy.GetStoreLoadsPerSecond(),
			AdapterLoadLimit: int(s.Config.Policy.GetAdapterLoadsInFlight()),
		}
	})
	return pi
}

// adaptersByModel returns the demand for adapters by model, sorted by adapter
// name.
func adaptersByModel(demands map[tallier.Target]tallier.Demand) map[string][]placer.AdapterDemand {
	out := make(map[string][]placer.AdapterDemand)
	for t, d := range demands {
		if t.Adapter != "" && d.Waiting > 0 {
			out[t.Model] = append(out[t.Model], placer.AdapterDemand{
				Name: t.Adapter, Waiting: d.Waiting, Class: d.Class, Deadline: d.Deadline,
			})
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b placer.AdapterDemand) int { return strings.Compare(a.Name, b.Name) })
	}
	return out
}

// sumByModel sums the demand of each model and its adapters, and takes the
// earliest deadline and the most urgent class.
func sumByModel(demands map[tallier.Target]tallier.Demand) map[string]tallier.Demand {
	out := make(map[string]tallier.Demand)
	for t, d := range demands {
		m := out[t.Model]
		m.Waiting += d.Waiting
		m.Running += d.Running
		if !d.Deadline.IsZero() && (m.Deadline.IsZero() || d.Deadline.Before(m.Deadline)) {
			m.Deadline = d.Deadline
		}
		if m.Class == 0 || d.Class != 0 && d.Class < m.Class {
			m.Class = d.Class
		}
		if d.LastUsed.After(m.LastUsed) {
			m.LastUsed = d.LastUsed
		}
		out[t.Model] = m
	}
	return out
}

func (c *Controller) plannedModel(s *applier.State, name string, d tallier.Demand, views map[string]monitor.View, now time.Time) placer.Model {
	cm := s.Config.Models[name]
	u := c.observeDemand(name, d, now)
	m := placer.Model{
		Name: name, Customer: cm.GetCustomer(), Checkpoint: cm.GetCheckpoint(), Bytes: cm.GetMemoryBytes(),
		MaxReplicas: int(cm.GetMaxReplicas()), Waiting: d.Waiting, Running: d.Running, Deadline: d.Deadline,
		Class: cmp.Or(d.Class, cm.GetClass()), LastUsed: u.lastUsed, Forecast: u.Forecast,
	}
	m.Replicas = c.plannedReplicas(s, name, views, now)
	return m
}

// peerModel returns a model that another holder plans. That holder can be
// requested to unload its idle replicas. The model's last use is not known here,
// so it counts as just used.
func (c *Controller) peerModel(s *applier.State, name string, views map[string]monitor.View, now time.Time) placer.Model {
	cm := s.Config.Models[name]
	return placer.Model{
		Name: name, Customer: cm.GetCustomer(), Bytes: cm.GetMemoryBytes(), Class: cm.GetClass(),
		LastUsed: now, IsHeldByPeer: true, Replicas: c.plannedReplicas(s, name, views, now),
	}
}

// removedModels returns the models of this instance's shards that have replicas
// but are no longer in the configuration, and adds their claims to epochs.
func (c *Controller) removedModels(s *applier.State, epochs map[string]applier.Position, views map[string]monitor.View, now time.Time) []placer.Model {
	var out []placer.Model
	s.EachReplica(func(r applier.Replica) bool {
		sh := s.Shard(r.Shard)
		if s.Config.Models[r.Model] != nil || epochs[r.Model] != 0 || !c.isPlanning(sh) {
			return true
		}
		epochs[r.Model] = sh.Holder.Claim
		out = append(out, placer.Model{
			Name: r.Model, Customer: r.Customer, LastUsed: now, IsRemoved: true, Replicas: c.plannedReplicas(s, r.Model, views, now),
		})
		return true
	})
	return out
}

func (c *Controller) plannedReplicas(s *applier.State, name string, views map[string]monitor.View, now time.Time) []placer.Replica {
	var out []placer.Replica
	for _, id := range s.ReplicaIDs(name) {
		r, _ := s.Replica(id)
		if c.pendingSubjects[id] || views[r.Upstream].NeedsReplacement(now) {
			continue // a replica with an unload record in flight or on a failed upstream does not count
		}
		out = append(out, placer.Replica{
			ID: id, Upstream: r.Upstream, Phase: r.Phase, IsBusy: isBusy(views[r.Upstream], id),
			Adapters: slices.Sorted(maps.Keys(r.Adapters)), EvictReason: c.evictions.reason(id, now),
		})
	}
	return out
}

// isBusy reports whether requests run or are queued on the replica.
func isBusy(v monitor.View, replica string) bool {
	for _, r := range v.Report.GetReplicas() {
		if r.GetReplica() == replica {
			return r.GetRunning()+r.GetQueued() > 0
		}
	}
	return false
}

func plannedUpstream(u *recordv1.Upstream, v monitor.View, reserved uint64, now time.Time) placer.Upstream {
	return placer.Upstream{
		Name: u.GetName(), Incarnation: v.Report.GetIncarnation(), IsUsable: v.IsUsable(now),
		DataCentre: u.GetDataCentre(), MemoryBytes: u.GetMemoryBytes(),
		FreeBytes:   u.GetMemoryBytes() - min(reserved, u.GetMemoryBytes()),
		NumRequests: v.Load(), Slots: int(u.GetSlots()), OnDisk: v.Report.GetDiskCheckpoints(),
	}
}
