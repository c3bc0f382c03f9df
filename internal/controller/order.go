package controller

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/orderer"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// order keeps an order going for every replica of the own shards whose fate is
// open, and logs what the upstreams' own words say about replicas.
func (c *Controller) order(ctx context.Context) {
	var tasks []orderer.Task
	var lost []folder.Replica
	epochs := make(map[uint32]folder.Position)
	views := c.Monitor.Views()
	c.Keeper.View(func(s *folder.State) {
		for id := range uint32(folder.ShardCount) {
			if sh := s.Shard(id); c.holds(sh) {
				epochs[id] = sh.Current.Claim
			}
		}
		s.EachReplica(func(r folder.Replica) bool {
			epoch, own := epochs[r.Shard]
			if !own {
				return true
			}
			if c.isLost(r, views[r.Upstream]) {
				lost = append(lost, r)
				return true
			}
			tasks = append(tasks, replicaTasks(s, r, epoch)...)
			return true
		})
	})
	for _, r := range lost {
		c.submit(ctx, "lost "+r.ID, &recordv1.Record{Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
			Shard: r.Shard, Epoch: uint64(epochs[r.Shard]), Kind: recordv1.ObservationKind_OBSERVATION_KIND_UPSTREAM_GONE,
			Replica: r.ID, UpstreamIncarnation: r.UpstreamIncarnation, Detail: "incarnation of the upstream ended",
		}}})
	}
	for _, t := range tasks {
		c.Orderer.Ensure(ctx, t)
	}
}

// isLost reports whether the upstream's incarnation that had the replica has
// ended, by the upstream's own word or the platform's.
func (c *Controller) isLost(r folder.Replica, v monitor.View) bool {
	if r.Phase == folder.PhaseGhost || r.UpstreamIncarnation == "" {
		return false
	}
	if now := v.Report.GetIncarnation(); now != "" && now != r.UpstreamIncarnation && v.IsUsable(time.Now()) {
		return true
	}
	in := c.Watcher.Upstream(r.Upstream)
	return in.GetState() == platformv1.InstanceState_INSTANCE_STATE_GONE && in.GetIncarnation() == r.UpstreamIncarnation
}

// replicaTasks returns the orders whose outcome is open.
func replicaTasks(s *folder.State, r folder.Replica, epoch folder.Position) []orderer.Task {
	u := s.Config.Upstreams[r.Upstream]
	if u == nil {
		return nil
	}
	base := func(a recordv1.DecisionAction) *upstreamv1.OrderRequest {
		return &upstreamv1.OrderRequest{
			Action: a, Replica: r.ID, Model: r.Model, Checkpoint: s.Config.Models[r.Model].GetCheckpoint(),
			MemoryBytes: r.Bytes, Epoch: uint64(epoch), Shard: r.Shard, UpstreamIncarnation: r.UpstreamIncarnation,
		}
	}
	task := func(o *upstreamv1.OrderRequest) orderer.Task { return orderer.Task{Address: u.GetAddress(), Order: o} }
	switch r.Phase {
	case folder.PhaseLoading:
		return []orderer.Task{task(base(recordv1.DecisionAction_DECISION_ACTION_LOAD))}
	case folder.PhaseGhost:
		o := base(recordv1.DecisionAction_DECISION_ACTION_UNLOAD)
		o.UpstreamIncarnation = "" // whatever runs there now
		return []orderer.Task{task(o)}
	case folder.PhaseUnloading:
		return []orderer.Task{task(base(recordv1.DecisionAction_DECISION_ACTION_UNLOAD))}
	}
	var out []orderer.Task
	for name, p := range r.Adapters {
		switch p {
		case folder.PhaseLoading:
			o := base(recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER)
			o.Adapter = name
			out = append(out, task(o))
		case folder.PhaseUnloading:
			o := base(recordv1.DecisionAction_DECISION_ACTION_UNLOAD_ADAPTER)
			o.Adapter = name
			out = append(out, task(o))
		}
	}
	return out
}

// MaySend reports whether the claim under which a task was made is current.
func MaySend(view func(func(*folder.State)), t orderer.Task) bool {
	ok := false
	view(func(s *folder.State) {
		sh := s.Shard(t.Order.GetShard())
		_, exists := s.Replica(t.Order.GetReplica())
		ok = exists && !sh.Released && uint64(sh.Current.Claim) == t.Order.GetEpoch()
	})
	return ok
}
