package controller

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/orderer"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// replicaStatus classifies a replica by its upstream's reports and the
// platform's instance list.
type replicaStatus uint8

const (
	// statusActive means that the orders of the replica are sent as decided.
	statusActive replicaStatus = iota
	// statusOrphaned means that the replica cannot serve any more: its upstream
	// has restarted or was removed from the configuration. It is unloaded, so
	// that the upstream's current process confirms that it is gone.
	statusOrphaned
	// statusEnded means that the platform lists the upstream's process as
	// ended.
	statusEnded
)

// minMismatches is the number of reports with another incarnation, after a
// replica was first seen, that shows a restart of its upstream. The first
// report may have been requested before the load was decided, and the second
// may have been in flight.
const minMismatches = 3

// mismatch counts the reports whose incarnation differs from the replica's.
type mismatch struct {
	incarnation string // of the last report
	reportedAt  time.Time
	reports     int
}

// replicaWork holds the work for one replica of this instance's shards.
type replicaWork struct {
	replica applier.Replica
	epoch   applier.Position
	status  replicaStatus
	tasks   []orderer.Task
}

// ensureOrders makes sure that the orders for the active replicas of this
// instance's shards are being sent, unloads orphaned replicas and records ended
// ones.
func (c *Controller) ensureOrders(ctx context.Context) {
	views := c.Monitor.Views()
	c.Orderer.ExpireUnanswered(func(upstream string) time.Time { return views[upstream].ReportedAt })
	for _, w := range c.collectWork(views) {
		switch w.status {
		case statusEnded:
			c.submitEnded(ctx, w)
		case statusOrphaned:
			c.unloadOrphan(ctx, w)
		case statusActive:
			for _, t := range w.tasks {
				c.Orderer.Ensure(ctx, t)
			}
		}
	}
}

// collectWork returns the work for the replicas of this instance's shards.
func (c *Controller) collectWork(views map[string]monitor.View) []replicaWork {
	var out []replicaWork
	mismatches := make(map[string]mismatch)
	c.Keeper.View(func(s *applier.State) {
		s.EachReplica(func(r applier.Replica) bool {
			sh := s.Shard(r.Shard)
			if !c.isPlanning(sh) {
				return true
			}
			w := replicaWork{replica: r, epoch: sh.Holder.Claim}
			m := c.countMismatch(r, views[r.Upstream])
			mismatches[r.ID] = m
			w.status = c.statusOf(s, r, m)
			if w.status == statusActive {
				w.tasks = replicaTasks(s, r, w.epoch)
			}
			out = append(out, w)
			return true
		})
	})
	c.mismatches = mismatches
	return out
}

// countMismatch counts the reports since the replica was first seen whose
// incarnation of the upstream differs from the replica's.
func (c *Controller) countMismatch(r applier.Replica, v monitor.View) mismatch {
	reported := v.Report.GetIncarnation()
	if reported == "" || r.UpstreamIncarnation == "" || reported == r.UpstreamIncarnation {
		return mismatch{}
	}
	m := c.mismatches[r.ID]
	if m.incarnation != reported {
		return mismatch{reported, v.ReportedAt, 1}
	}
	if !v.ReportedAt.Equal(m.reportedAt) {
		m = mismatch{reported, v.ReportedAt, m.reports + 1}
	}
	return m
}

// statusOf returns the status of a replica by the platform's instance list and
// the reports of its upstream.
func (c *Controller) statusOf(s *applier.State, r applier.Replica, m mismatch) replicaStatus {
	in := c.ListedInstance(r.Upstream)
	hasEnded := in.GetState() == platformv1.InstanceState_INSTANCE_STATE_GONE && in.GetIncarnation() == r.UpstreamIncarnation
	isUnloading := r.Phase == applier.PhaseUnsettled || r.Phase == applier.PhaseUnloading
	switch {
	case hasEnded && m.reports == 0 && (r.Phase != applier.PhaseUnsettled || !s.MayGetLateOrders(r)):
		return statusEnded
	case isUnloading:
		return statusActive
	case m.reports >= minMismatches, s.Config.Upstreams[r.Upstream] == nil:
		return statusOrphaned
	}
	return statusActive
}

// submitEnded submits a record that the process of the replica's upstream has
// ended, once no order for the replica is in flight.
func (c *Controller) submitEnded(ctx context.Context, w replicaWork) {
	r := w.replica
	if !c.Orderer.Cancel(r.ID) {
		return
	}
	c.Orderer.RemoveUnanswered(r.ID)
	c.submit(ctx, "ended "+r.ID, &recordv1.Record{Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
		Shard: r.Shard, Epoch: uint64(w.epoch), Kind: recordv1.ObservationKind_OBSERVATION_KIND_UPSTREAM_GONE,
		Replica: r.ID, UpstreamIncarnation: r.UpstreamIncarnation, Detail: "the platform names the upstream's process as ended",
		AsOf: c.Keeper.NextOffset(),
	}}})
}

// unloadOrphan submits the decision to unload an orphaned replica. A load order
// that was repeated to the upstream's new process may have loaded it there.
func (c *Controller) unloadOrphan(ctx context.Context, w replicaWork) {
	r := w.replica
	if !c.Orderer.Cancel(r.ID) {
		return
	}
	c.submit(ctx, r.ID, &recordv1.Record{Kind: &recordv1.Record_Decision{Decision: &recordv1.Decision{
		Shard: r.Shard, Epoch: uint64(w.epoch), Action: recordv1.DecisionAction_DECISION_ACTION_UNLOAD,
		Replica: r.ID, Model: r.Model, Upstream: r.Upstream,
		Reason: "the replica's upstream runs anew or is not in force any more",
	}}})
}

// replicaTasks returns the orders for a replica whose outcome is not recorded
// yet.
func replicaTasks(s *applier.State, r applier.Replica, epoch applier.Position) []orderer.Task {
	order := func(a recordv1.DecisionAction, adapter string) orderer.Task {
		o := &upstreamv1.OrderRequest{
			Action: a, Replica: r.ID, Model: r.Model, Adapter: adapter, Checkpoint: s.Config.Models[r.Model].GetCheckpoint(),
			MemoryBytes: r.Bytes, Epoch: uint64(epoch), Shard: r.Shard, UpstreamIncarnation: r.UpstreamIncarnation,
		}
		if a == recordv1.DecisionAction_DECISION_ACTION_UNLOAD {
			o.UpstreamIncarnation = "" // any process at the address may run it
		}
		return orderer.Task{
			Address: r.Address, Upstream: r.Upstream, Order: o,
			MayHaveOtherOrders: r.Epoch != epoch && !s.Config.Upstreams[r.Upstream].GetChecksFencing(),
		}
	}
	switch r.Phase {
	case applier.PhaseLoading:
		return []orderer.Task{order(recordv1.DecisionAction_DECISION_ACTION_LOAD, "")}
	case applier.PhaseUnloading:
		return []orderer.Task{order(recordv1.DecisionAction_DECISION_ACTION_UNLOAD, "")}
	case applier.PhaseUnsettled:
		if s.MayGetLateOrders(r) {
			return nil // a late order could load the replica again after the unload
		}
		return []orderer.Task{order(recordv1.DecisionAction_DECISION_ACTION_UNLOAD, "")}
	}
	var out []orderer.Task
	for name, p := range r.Adapters {
		switch p {
		case applier.PhaseLoading:
			out = append(out, order(recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER, name))
		case applier.PhaseUnloading:
			out = append(out, order(recordv1.DecisionAction_DECISION_ACTION_UNLOAD_ADAPTER, name))
		}
	}
	return out
}

// MaySend reports whether the claim of a task is still current and the replica
// is still in the phase that the order of the task belongs to.
func MaySend(view func(func(*applier.State)), t orderer.Task) bool {
	ok := false
	view(func(s *applier.State) {
		sh := s.Shard(t.Order.GetShard())
		r, exists := s.Replica(t.Order.GetReplica())
		ok = exists && !sh.IsReleased && uint64(sh.Holder.Claim) == t.Order.GetEpoch() && matchesPhase(r, t.Order)
	})
	return ok
}

// matchesPhase reports whether the replica is in the phase that the order
// belongs to.
func matchesPhase(r applier.Replica, o *upstreamv1.OrderRequest) bool {
	switch o.GetAction() {
	case recordv1.DecisionAction_DECISION_ACTION_LOAD:
		return r.Phase == applier.PhaseLoading
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD:
		return r.Phase == applier.PhaseUnloading || r.Phase == applier.PhaseUnsettled
	case recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:
		return r.Phase == applier.PhaseLoaded && r.Adapters[o.GetAdapter()] == applier.PhaseLoading
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD_ADAPTER:
		return r.Phase == applier.PhaseLoaded && r.Adapters[o.GetAdapter()] == applier.PhaseUnloading
	}
	return false
}
