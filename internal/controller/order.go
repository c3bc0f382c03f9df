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

// fate is what the upstreams' own words say of a replica that the log has.
type fate uint8

const (
	fateOpen fate = iota
	// fateStranded means that the replica cannot serve where it is: its
	// upstream runs anew, or is not in force any more. It is unloaded, so that
	// the process that runs there now confirms that it is gone.
	fateStranded
	// fateEnded means that the platform names the upstream's process as ended.
	fateEnded
)

// staleReports is how many reports with another incarnation are needed after a
// replica was first seen. The first may have been asked for before the replica
// was decided, and the second may have been under way.
const staleReports = 3

// mismatch counts the reports that name another incarnation than a replica's.
type mismatch struct {
	incarnation string
	heard       time.Time
	reports     int
}

// replicaWork is what the state asks for one replica of the own shards.
type replicaWork struct {
	replica folder.Replica
	epoch   folder.Position
	fate    fate
	tasks   []orderer.Task
}

// order keeps an order going for every replica of the own shards whose fate is
// open, and logs what the upstreams' own words say about replicas.
func (c *Controller) order(ctx context.Context) {
	views := c.Monitor.Views()
	c.Orderer.Expire(func(upstream string) time.Time { return views[upstream].Heard })
	for _, w := range c.work(views) {
		switch w.fate {
		case fateEnded:
			c.endReplica(ctx, w)
		case fateStranded:
			c.strandReplica(ctx, w)
		case fateOpen:
			for _, t := range w.tasks {
				c.Orderer.Ensure(ctx, t)
			}
		}
	}
}

// work collects the replicas of the own shards.
func (c *Controller) work(views map[string]monitor.View) []replicaWork {
	var out []replicaWork
	known := make(map[string]mismatch)
	c.Keeper.View(func(s *folder.State) {
		for name, u := range s.Config.Upstreams {
			c.addresses[name] = u.GetAddress()
		}
		s.EachReplica(func(r folder.Replica) bool {
			sh := s.Shard(r.Shard)
			if !c.holds(sh) {
				return true
			}
			w := replicaWork{replica: r, epoch: sh.Current.Claim}
			m := c.noteMismatch(r, views[r.Upstream])
			known[r.ID] = m
			w.fate = c.fateOf(s, r, m)
			if w.fate == fateOpen {
				w.tasks = c.replicaTasks(s, r, w.epoch)
			}
			out = append(out, w)
			return true
		})
	})
	c.mismatches = known
	return out
}

// noteMismatch counts the reports since the replica was first seen that name
// another incarnation of its upstream.
func (c *Controller) noteMismatch(r folder.Replica, v monitor.View) mismatch {
	now := v.Report.GetIncarnation()
	if now == "" || r.UpstreamIncarnation == "" || now == r.UpstreamIncarnation {
		return mismatch{}
	}
	m := c.mismatches[r.ID]
	if m.incarnation != now {
		return mismatch{now, v.Heard, 1}
	}
	if !v.Heard.Equal(m.heard) {
		m = mismatch{now, v.Heard, m.reports + 1}
	}
	return m
}

// fateOf judges a replica by the platform's word and by the reports.
func (c *Controller) fateOf(s *folder.State, r folder.Replica, m mismatch) fate {
	in := c.Upstream(r.Upstream)
	ended := in.GetState() == platformv1.InstanceState_INSTANCE_STATE_GONE && in.GetIncarnation() == r.UpstreamIncarnation
	isGoing := r.Phase == folder.PhaseGhost || r.Phase == folder.PhaseUnloading
	switch {
	case ended && m.reports == 0 && (r.Phase != folder.PhaseGhost || !s.MayGetLateOrders(r)):
		return fateEnded
	case isGoing:
		return fateOpen
	case m.reports >= staleReports, s.Config.Upstreams[r.Upstream] == nil:
		return fateStranded
	}
	return fateOpen
}

// endReplica logs that the replica's process has ended, once no order for it
// is under way.
func (c *Controller) endReplica(ctx context.Context, w replicaWork) {
	r := w.replica
	if !c.Orderer.Cancel(r.ID) {
		return
	}
	c.Orderer.Forget(r.ID)
	c.submit(ctx, "ended "+r.ID, &recordv1.Record{Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
		Shard: r.Shard, Epoch: uint64(w.epoch), Kind: recordv1.ObservationKind_OBSERVATION_KIND_UPSTREAM_GONE,
		Replica: r.ID, UpstreamIncarnation: r.UpstreamIncarnation, Detail: "the platform names the upstream's process as ended",
	}}})
}

// strandReplica decides to unload a replica where it cannot serve any more. An
// order that was repeated to the upstream's new process may have loaded it there.
func (c *Controller) strandReplica(ctx context.Context, w replicaWork) {
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

// replicaTasks returns the orders whose outcome is open.
func (c *Controller) replicaTasks(s *folder.State, r folder.Replica, epoch folder.Position) []orderer.Task {
	address := c.addresses[r.Upstream]
	if address == "" {
		return nil
	}
	order := func(a recordv1.DecisionAction, adapter string) orderer.Task {
		o := &upstreamv1.OrderRequest{
			Action: a, Replica: r.ID, Model: r.Model, Adapter: adapter, Checkpoint: s.Config.Models[r.Model].GetCheckpoint(),
			MemoryBytes: r.Bytes, Epoch: uint64(epoch), Shard: r.Shard, UpstreamIncarnation: r.UpstreamIncarnation,
		}
		if a == recordv1.DecisionAction_DECISION_ACTION_UNLOAD {
			o.UpstreamIncarnation = "" // whatever runs there now
		}
		return orderer.Task{
			Address: address, Upstream: r.Upstream, Order: o,
			Doubted: r.Epoch != epoch && !s.Config.Upstreams[r.Upstream].GetChecksFencing(),
		}
	}
	switch r.Phase {
	case folder.PhaseLoading:
		return []orderer.Task{order(recordv1.DecisionAction_DECISION_ACTION_LOAD, "")}
	case folder.PhaseUnloading:
		return []orderer.Task{order(recordv1.DecisionAction_DECISION_ACTION_UNLOAD, "")}
	case folder.PhaseGhost:
		if s.MayGetLateOrders(r) {
			return nil // unloading it now proves nothing yet
		}
		return []orderer.Task{order(recordv1.DecisionAction_DECISION_ACTION_UNLOAD, "")}
	}
	var out []orderer.Task
	for name, p := range r.Adapters {
		switch p {
		case folder.PhaseLoading:
			out = append(out, order(recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER, name))
		case folder.PhaseUnloading:
			out = append(out, order(recordv1.DecisionAction_DECISION_ACTION_UNLOAD_ADAPTER, name))
		}
	}
	return out
}

// MaySend reports whether the claim under which a task was made is current and
// the log still asks for the task.
func MaySend(view func(func(*folder.State)), t orderer.Task) bool {
	ok := false
	view(func(s *folder.State) {
		sh := s.Shard(t.Order.GetShard())
		r, exists := s.Replica(t.Order.GetReplica())
		ok = exists && !sh.Released && uint64(sh.Current.Claim) == t.Order.GetEpoch() && asks(r, t.Order)
	})
	return ok
}

// asks reports whether the replica is in the phase that the order belongs to.
func asks(r folder.Replica, o *upstreamv1.OrderRequest) bool {
	switch o.GetAction() {
	case recordv1.DecisionAction_DECISION_ACTION_LOAD:
		return r.Phase == folder.PhaseLoading
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD:
		return r.Phase == folder.PhaseUnloading || r.Phase == folder.PhaseGhost
	case recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:
		return r.Phase == folder.PhaseLoaded && r.Adapters[o.GetAdapter()] == folder.PhaseLoading
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD_ADAPTER:
		return r.Phase == folder.PhaseLoaded && r.Adapters[o.GetAdapter()] == folder.PhaseUnloading
	}
	return false
}
