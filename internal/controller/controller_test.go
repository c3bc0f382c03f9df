package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// isFirstReplicaLoaded returns a condition for rig.until.
func isFirstReplicaLoaded(r *rig) func(*applier.State) bool {
	return func(s *applier.State) bool {
		list := r.replicas(s)
		return len(list) > 0 && list[0].Phase == applier.PhaseLoaded
	}
}

// hasNoReplicas returns a condition for rig.until.
func hasNoReplicas(r *rig) func(*applier.State) bool {
	return func(s *applier.State) bool { return len(r.replicas(s)) == 0 }
}

// everyShard reports whether ok returns true for every shard.
func everyShard(s *applier.State, ok func(applier.Shard) bool) bool {
	for id := range uint32(applier.ShardCount) {
		if !ok(s.Shard(id)) {
			return false
		}
	}
	return true
}

// newRigWithReplica returns a rig with one loaded replica and no demand.
func newRigWithReplica(t *testing.T, fencing bool, names ...string) *rig {
	r := newRig(t, fencing, names...)
	r.awaitHolder()
	r.addDemand(1)
	r.until("model is loaded", isFirstReplicaLoaded(r))
	r.endDemand()
	return r
}

// runLateLoad loses the connection of a load order, unloads the replica
// meanwhile and then delivers the order. The late order must not leave a
// replica that the state does not list.
func runLateLoad(r *rig) {
	n := r.awaitHolder()
	n.transport.holdNextOrder()
	r.addDemand(1)
	r.until("order is in flight", func(*applier.State) bool { return n.transport.numHeldOrders() > 0 })
	r.endDemand()
	r.decideUnloads()
	r.until("unload is decided", func(s *applier.State) bool {
		list := r.replicas(s)
		return len(list) == 0 || list[0].Phase == applier.PhaseUnloading
	})
	if n.Orderer.SkipSecondUnload {
		r.until("replica is removed", hasNoReplicas(r))
	} else {
		r.until("engine confirmed the unload once", func(*applier.State) bool { return n.confirmedUnloads.Load() > 0 })
	}
	n.transport.deliverHeldOrders()
	r.until("replica is removed", hasNoReplicas(r))
	r.steps(5)
}

func TestLateLoadOrderLeavesNoReplica(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		r := newRig(t, fencing, "entry-1")
		runLateLoad(r)
		require.Empty(t, r.violations)
		require.Zero(t, r.numEngineReplicas())
	}
}

// If the first confirmation of an unload is taken as final, the late order
// leaves a replica that the state does not list.
func TestLateLoadOrderLeavesReplicaWithoutSecondUnload(t *testing.T) {
	r := newRig(t, false, "entry-1")
	r.nodes[0].Orderer.SkipSecondUnload = true
	runLateLoad(r)
	require.NotEmpty(t, r.violations)
}

// freezeHolderBeforeLoad freezes the holder between its last check and the
// sending of a load order, and waits until another instance has taken over the
// shard. It returns the frozen holder.
func freezeHolderBeforeLoad(r *rig) (old *node) {
	old = r.awaitHolder()
	old.blockOrders()
	r.addDemand(1)
	r.until("load is decided", func(s *applier.State) bool { return len(r.replicas(s)) > 0 })
	r.until("order is blocked", func(*applier.State) bool { return len(old.reached) > 0 })
	old.isFrozen = true
	r.markLost(old)
	r.endDemand()
	r.until("another instance holds the shard", func(*applier.State) bool { return r.holder() != old && r.holder() != nil })
	return old
}

// A load order that a frozen holder sends after another instance took over and
// unloaded the replica must not leave a replica that the state does not list.
func TestLateOrderOfFormerHolderLeavesNoReplica(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		r := newRig(t, fencing, "entry-1", "entry-2")
		old := freezeHolderBeforeLoad(r)
		r.decideUnloads()
		if fencing {
			r.until("replica is removed", hasNoReplicas(r))
		} else {
			r.until("replica is in PhaseUnsettled", func(s *applier.State) bool {
				list := r.replicas(s)
				return len(list) == 1 && list[0].Phase == applier.PhaseUnsettled
			})
			appends := r.numAppends()
			r.steps(20)
			require.Equal(t, appends, r.numAppends(), "a replica that waits for the settlement causes no appends")
		}
		old.unblockOrders()
		r.steps(10)
		old.isFrozen = false
		r.until("claim is settled and replica is removed", hasNoReplicas(r))
		r.steps(5)
		require.Empty(t, r.violations)
		require.Zero(t, r.numEngineReplicas())
	}
}

// If the frozen holder is settled although its order can still arrive, the late
// order leaves a replica that the state does not list.
func TestLateOrderOfFormerHolderLeavesReplicaIfSettledEarly(t *testing.T) {
	r := newRig(t, false, "entry-1", "entry-2")
	old := freezeHolderBeforeLoad(r)
	// Settles the former holder although its process has not ended.
	s := r.currentState()
	shard := applier.ShardOf(modelName)
	r.append(t.Context(), &recordv1.Record{Id: "s", Kind: &recordv1.Record_Settle{Settle: &recordv1.Settle{
		Shard: shard, Claim: uint64(s.Shard(shard).UnsettledHolders[0].Claim), Ground: recordv1.SettleGround_SETTLE_GROUND_PROCESS_GONE,
	}}})
	r.decideUnloads()
	r.until("replica is removed", hasNoReplicas(r))
	old.unblockOrders()
	r.until("late order arrives", func(*applier.State) bool { return r.numEngineReplicas() > 0 })
	r.steps(3)
	require.NotEmpty(t, r.violations)
}

// If the holder dies during a load, the next holder repeats the order with the
// same replica id, so that the engine does not load the model twice.
func TestTakeoverDuringLoadLoadsOnce(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		r := newRig(t, fencing, "entry-1", "entry-2")
		for _, u := range r.upstreams {
			f := u.current().Faults.Get()
			f.LoadMs, f.NumRepliesToLose = 300, 1
			u.current().Faults.Set(f)
		}
		old := r.awaitHolder()
		r.addDemand(1)
		r.until("engine loads", func(*applier.State) bool { return r.numLoads() > 0 })
		old.isFrozen = true
		old.blockOrders()
		r.markLost(old)
		r.until("loaded by the next holder", isFirstReplicaLoaded(r))
		old.unblockOrders()
		require.Equal(t, 1, r.numLoads())
		require.Empty(t, r.violations)
	}
}

// Orders whose replies are lost are repeated. They must not load the model
// twice or leave the replica loaded after an unload.
func TestLostOrderRepliesLoadOnce(t *testing.T) {
	r := newRig(t, false, "entry-1")
	for _, u := range r.upstreams {
		f := u.current().Faults.Get()
		f.NumRepliesToLose = 3
		u.current().Faults.Set(f)
	}
	r.awaitHolder()
	r.addDemand(1)
	r.until("loaded", isFirstReplicaLoaded(r))
	require.Equal(t, 1, r.numLoads())
	r.endDemand()
	r.decideUnloads()
	r.until("replica is removed", hasNoReplicas(r))
	require.Zero(t, r.numEngineReplicas())
	require.Empty(t, r.violations)
}

// runRefusedLoad delivers the first load order late and lets the engine refuse
// the next one.
func runRefusedLoad(r *rig) {
	n := r.awaitHolder()
	n.transport.holdNextOrder()
	r.addDemand(1)
	r.until("order is in flight", func(*applier.State) bool { return n.transport.numHeldOrders() > 0 })
	n.blockOrders()
	r.endDemand()
	n.transport.deliverHeldOrders()
	for _, u := range r.upstreams {
		u.current().Faults.Change(func(f *faulter.Faults) { f.FailLoads = true })
	}
	n.unblockOrders()
	r.until("load failed", hasNoReplicas(r))
	r.steps(5)
}

// An engine refuses a load that an earlier order already began. The replica
// must be unloaded before the load counts as failed.
func TestRefusedLoadAfterLateOrderLeavesNoReplica(t *testing.T) {
	r := newRig(t, false, "entry-1")
	runRefusedLoad(r)
	require.Empty(t, r.violations)
	require.Zero(t, r.numEngineReplicas())
}

// If the refusal counts as failed without an unload, the replica stays on the
// engine.
func TestRefusedLoadAfterLateOrderLeavesReplicaWithoutUnload(t *testing.T) {
	r := newRig(t, false, "entry-1")
	r.nodes[0].Orderer.SkipSecondUnload = true
	runRefusedLoad(r)
	require.NotEmpty(t, r.violations)
}

// An upstream restarts during a load. An order that is sent regardless of the
// incarnation may have loaded the replica on the new process, so the replica is
// unloaded before it is removed from the state.
func TestUpstreamRestartDuringLoadUnloadsReplica(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		r := newRig(t, fencing, "entry-1")
		for _, u := range r.upstreams {
			f := u.current().Faults.Get()
			f.LoadMs = 100
			u.current().Faults.Set(f)
		}
		r.awaitHolder()
		r.addDemand(1)
		r.until("engine loads", func(*applier.State) bool { return r.numLoads() > 0 })
		first := r.replicas(r.currentState())[0]
		r.endDemand()
		r.upstreams[first.Upstream].server.CloseClientConnections()
		r.upstreams[first.Upstream].restart()
		r.until("first replica is removed", func(s *applier.State) bool {
			_, ok := s.Replica(first.ID)
			return !ok
		})
		r.steps(5)
		require.Empty(t, r.violations)
		require.NotContains(t, r.upstreams[first.Upstream].current().Replicas(), first.ID)
	}
}

// If the report of the new process alone removes the replica, a load order
// repeated to that process leaves a replica that the state does not list.
func TestUpstreamRestartDuringLoadLeavesReplicaWithoutUnload(t *testing.T) {
	r := newRig(t, false, "entry-1")
	for _, u := range r.upstreams {
		u.current().Faults.Change(func(f *faulter.Faults) { f.LoadMs = 1000 })
	}
	r.awaitHolder()
	r.addDemand(1)
	r.until("engine loads", func(*applier.State) bool { return r.numLoads() > 0 })
	v := r.replicas(r.currentState())[0]
	r.endDemand()
	u := r.upstreams[v.Upstream]
	u.restart()
	u.server.CloseClientConnections()
	require.Eventually(t, func() bool { return u.current().Replicas()[v.ID] != "" }, testTimeout, time.Millisecond)
	r.append(t.Context(), &recordv1.Record{Id: "gone", Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
		Shard: v.Shard, Epoch: uint64(v.Epoch), Kind: recordv1.ObservationKind_OBSERVATION_KIND_UPSTREAM_GONE, Replica: v.ID,
		UpstreamIncarnation: v.UpstreamIncarnation,
	}}})
	r.steps(3)
	require.NotEmpty(t, r.violations)
}

// If the platform lists the upstream's process as ended, the replica is removed
// without orders.
func TestEndedUpstreamFreesReplica(t *testing.T) {
	r := newRigWithReplica(t, false, "entry-1")
	v := r.replicas(r.currentState())[0]
	r.listedInstances[v.Upstream] = &platformv1.Instance{Name: v.Upstream, State: platformv1.InstanceState_INSTANCE_STATE_GONE, Incarnation: v.UpstreamIncarnation}
	r.upstreams[v.Upstream].mu.Lock()
	r.upstreams[v.Upstream].engine = nil
	r.upstreams[v.Upstream].mu.Unlock()
	delete(r.upstreams, v.Upstream)
	r.until("replica is removed", hasNoReplicas(r))
	require.Empty(t, r.violations)
}

// An upstream's process ends while a superseded holder is not settled. The
// replica is removed only after the settlement.
func TestEndedUpstreamFreesReplicaAfterSettlement(t *testing.T) {
	r := newRigWithReplica(t, false, "entry-1", "entry-2")
	old := r.holder()
	old.isFrozen = true
	r.markLost(old)
	r.until("another instance holds the shard", func(*applier.State) bool { return r.holder() != old && r.holder() != nil })
	v := r.replicas(r.currentState())[0]
	r.upstreams[v.Upstream].mu.Lock()
	r.upstreams[v.Upstream].engine = nil
	r.upstreams[v.Upstream].mu.Unlock()
	delete(r.upstreams, v.Upstream)
	r.mu.Lock()
	r.listedInstances[v.Upstream] = &platformv1.Instance{Name: v.Upstream, State: platformv1.InstanceState_INSTANCE_STATE_GONE, Incarnation: v.UpstreamIncarnation}
	r.mu.Unlock()
	r.until("replica is in PhaseUnsettled", func(s *applier.State) bool { return r.replicas(s)[0].Phase == applier.PhaseUnsettled })
	r.mu.Lock()
	r.endedIncarnations[old.Incarnation] = true
	r.mu.Unlock()
	r.until("replica is removed", hasNoReplicas(r))
	require.Empty(t, r.violations)
}

// An upstream is removed from the configuration while it holds a replica. The
// replica is unloaded before its memory counts as free.
func TestRemovedUpstreamUnloadsReplica(t *testing.T) {
	r := newRigWithReplica(t, false, "entry-1")
	v := r.replicas(r.currentState())[0]
	r.publish(nil, []*recordv1.ConfigKey{{Kind: recordv1.ConfigKind_CONFIG_KIND_UPSTREAM, Name: v.Upstream}})
	r.until("replica is removed", hasNoReplicas(r))
	require.Zero(t, r.numEngineReplicas())
	require.Empty(t, r.violations)
}

// A leaving instance releases its shards, so that the next holder has no claim
// to settle.
func TestLeavingInstanceReleasesShards(t *testing.T) {
	r := newRigWithReplica(t, false, "entry-1", "entry-2")
	old := r.holder()
	old.isLeaving = true
	m := r.members[old.Instance]
	m.IsLeaving = true
	r.members[old.Instance] = m
	r.until("the other instance holds the shard", func(*applier.State) bool { return r.holder() != old && r.holder() != nil })
	require.Empty(t, r.currentState().Shard(applier.ShardOf(modelName)).UnsettledHolders)
	require.Equal(t, 1, r.numLoads())
	require.Empty(t, r.violations)
}

// A new member that ranks first for a shard gets it by a release, not by a
// takeover.
func TestNewMemberGetsShardsByRelease(t *testing.T) {
	r := newRig(t, false, "entry-2")
	r.awaitHolder()
	r.addNode("entry-1", "entry-1-run-1")
	r.addNode("entry-3", "entry-3-run-1")
	r.until("the member that ranks first holds every shard", func(s *applier.State) bool {
		id := -1
		return everyShard(s, func(sh applier.Shard) bool {
			id++
			return !sh.IsReleased && r.nodes[0].bestMembers != nil && sh.Holder.Instance == r.nodes[0].bestMembers[id]
		})
	})
	s := r.currentState()
	for id := range uint32(applier.ShardCount) {
		require.Empty(t, s.Shard(id).UnsettledHolders)
	}
}

// A new member that does not know the other members yet must not claim shards
// from live holders.
func TestNewMemberWithoutMembersClaimsNothing(t *testing.T) {
	r := newRig(t, false, "entry-1")
	r.awaitHolder()
	n := r.addNode("entry-2", "entry-2-run-1")
	n.AreMembersKnown = func() bool { return false }
	n.Members = func() []watcher.Member {
		return []watcher.Member{{Name: "entry-2", Incarnation: "entry-2-run-1", IsAlive: true}}
	}
	claims := func() int {
		numClaims := 0
		everyShard(r.currentState(), func(sh applier.Shard) bool {
			if sh.Holder.Incarnation == n.Incarnation {
				numClaims++
			}
			return true
		})
		return numClaims
	}
	r.steps(5)
	require.Zero(t, claims())
	// Negative: it does if it assumes that the members are known and there is
	// no takeover time.
	n.AreMembersKnown = func() bool { return true }
	n.TakeoverAfter = 1
	r.until("new member claims shards", func(*applier.State) bool { return claims() > 0 })
}

// If two instances claim a shard concurrently, only the first claim in the log
// counts.
func TestOnlyFirstOfConcurrentClaimsCounts(t *testing.T) {
	r := newRig(t, false, "entry-1", "entry-2")
	r.unreachable[[2]string{"entry-1", "entry-2"}] = true
	r.unreachable[[2]string{"entry-2", "entry-1"}] = true
	r.until("every shard is held", func(s *applier.State) bool {
		return everyShard(s, func(sh applier.Shard) bool { return sh.Holder.Claim != 0 })
	})
	s := r.currentState()
	for id := range uint32(applier.ShardCount) {
		require.NotZero(t, s.Shard(id).Holder.Claim)
		require.Empty(t, s.Shard(id).UnsettledHolders, "the later claim does not count")
	}
}

// Two instances that cannot reach each other take shards from each other at a
// decreasing rate, since each takeover doubles the takeover time.
func TestMutualCutSlowsDown(t *testing.T) {
	r := newRig(t, false, "entry-1", "entry-2")
	r.awaitHolder()
	r.unreachable[[2]string{"entry-1", "entry-2"}] = true
	r.unreachable[[2]string{"entry-2", "entry-1"}] = true
	claims := func(steps int) int {
		before := r.numClaims()
		r.steps(steps)
		return r.numClaims() - before
	}
	early := claims(80)
	late := claims(80)
	t.Logf("%d claims in the first 80 steps, %d in the next", early, late)
	require.Less(t, late, early)
}
