package controller

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// planInput is what the state says about the own shards.
type planInput struct {
	in     placer.Input
	epochs map[string]folder.Position // by model
	// adapters holds the adapter loads that waiting requests need.
	adapters []*recordv1.Decision
}

// gather builds the input of a plan.
func (c *Controller) gather(now time.Time) planInput {
	views := c.Monitor.Views()
	pi := planInput{epochs: make(map[string]folder.Position)}
	pi.in = placer.Input{Now: now, Allowances: make(map[string]placer.Allowance), Policy: placer.Policy{KeepWarm: c.KeepWarm}}
	c.Keeper.View(func(s *folder.State) {
		own := make(map[string]bool)
		for name := range s.Config.Models {
			if sh := s.Shard(folder.ShardOf(name)); c.holds(sh) {
				own[name] = true
				pi.epochs[name] = sh.Current.Claim
			}
		}
		demands := c.Tallier.Take(now, func(m string) bool { return own[m] })
		waits := sumByModel(demands)
		pi.adapters = adapterLoads(s, demands)
		for name := range own {
			if c.submitted[name] {
				continue
			}
			pi.in.Models = append(pi.in.Models, c.model(s, name, waits[name], views, now))
		}
		for name, u := range s.Config.Upstreams {
			if u.GetKind() == recordv1.UpstreamKind_UPSTREAM_KIND_ENGINE {
				pi.in.Upstreams = append(pi.in.Upstreams, placeable(u, views[name], s.ReservedBytes(name), now))
			}
		}
		for name, ct := range s.Config.Contracts {
			used := s.UsageOf(name)
			pi.in.Allowances[name] = placer.Allowance{
				Replicas: int(ct.GetReplicas()) - int(used.Replicas),
				Bytes:    ct.GetMemoryBytes() - min(used.Bytes, ct.GetMemoryBytes()),
			}
		}
		pi.in.StoreLoads = s.StoreLoads()
		pi.in.Policy.StoreConcurrent = int(s.Config.Policy.GetStoreConcurrentLoads())
	})
	return pi
}

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

func (c *Controller) model(s *folder.State, name string, d tallier.Demand, views map[string]monitor.View, now time.Time) placer.Model {
	cm := s.Config.Models[name]
	if c.lastUsed[name].IsZero() || d.Waiting+d.Running > 0 {
		c.lastUsed[name] = now
	}
	if d.LastUsed.After(c.lastUsed[name]) {
		c.lastUsed[name] = d.LastUsed
	}
	m := placer.Model{
		Name: name, Customer: cm.GetCustomer(), Checkpoint: cm.GetCheckpoint(), Bytes: cm.GetMemoryBytes(),
		MaxReplicas: int(cm.GetMaxReplicas()), Waiting: d.Waiting, Running: d.Running, Deadline: d.Deadline,
		Class: d.Class, LastUsed: c.lastUsed[name],
	}
	for _, id := range s.ReplicaIDs(name) {
		r, _ := s.Replica(id)
		if c.submitted[id] || views[r.Upstream].IsStranded(now) {
			continue // what cannot serve does not count as a replica
		}
		m.Replicas = append(m.Replicas, placer.Replica{
			ID: id, Upstream: r.Upstream, Phase: r.Phase, Busy: isBusy(views[r.Upstream], id),
		})
	}
	return m
}

func isBusy(v monitor.View, replica string) bool {
	for _, r := range v.Report.GetReplicas() {
		if r.GetReplica() == replica {
			return r.GetRunning()+r.GetQueued() > 0
		}
	}
	return false
}

func placeable(u *recordv1.Upstream, v monitor.View, reserved uint64, now time.Time) placer.Upstream {
	return placer.Upstream{
		Name: u.GetName(), Incarnation: v.Report.GetIncarnation(), Usable: v.IsUsable(now),
		FreeBytes: u.GetMemoryBytes() - min(reserved, u.GetMemoryBytes()),
		Load:      v.Load(), Slots: int(u.GetSlots()), OnDisk: v.Report.GetDiskCheckpoints(),
	}
}

// adapterLoads returns a load for every wanted adapter that no replica of its
// model has or gets.
func adapterLoads(s *folder.State, demands map[tallier.Target]tallier.Demand) []*recordv1.Decision {
	var out []*recordv1.Decision
	for t, d := range demands {
		if t.Adapter == "" || d.Waiting == 0 {
			continue
		}
		if r, ok := adapterHost(s, t); ok {
			out = append(out, &recordv1.Decision{
				Shard: r.Shard, Epoch: uint64(s.Shard(r.Shard).Current.Claim),
				Action: recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER, Replica: r.ID, Model: t.Model,
				Adapter: t.Adapter, Upstream: r.Upstream, UpstreamIncarnation: r.UpstreamIncarnation,
				Reason: "requests wait for the adapter and its base is loaded",
			})
		}
	}
	return out
}

// adapterHost returns a loaded replica for the adapter, unless one has it.
func adapterHost(s *folder.State, t tallier.Target) (folder.Replica, bool) {
	var host folder.Replica
	for _, id := range s.ReplicaIDs(t.Model) {
		r, _ := s.Replica(id)
		if !r.IsUsable() {
			continue
		}
		if r.Adapters[t.Adapter] != 0 {
			return folder.Replica{}, false
		}
		if host.ID == "" || len(r.Adapters) < len(host.Adapters) {
			host = r
		}
	}
	return host, host.ID != ""
}
