package applier

import (
	"slices"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// decide applies a decision and returns the reason if it does not count.
func (s *State) decide(d *recordv1.Decision, at Position) string {
	if d.GetShard() != ShardOf(d.GetModel()) {
		return "no such shard for the model"
	}
	if !s.shards[d.GetShard()].isCurrent(Position(d.GetEpoch())) {
		return "epoch is not the current claim"
	}
	switch d.GetAction() {
	case recordv1.DecisionAction_DECISION_ACTION_LOAD:
		return s.decideLoad(d, at)
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD:
		return s.decideUnload(d, at)
	case recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:
		return s.decideLoadAdapter(d, at)
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD_ADAPTER:
		return s.decideUnloadAdapter(d, at)
	}
	return "unknown action"
}

func (s *State) decideLoad(d *recordv1.Decision, at Position) string {
	m := s.Config.Models[d.GetModel()]
	u := s.Config.Upstreams[d.GetUpstream()]
	if m == nil || u == nil {
		return "model or upstream is not in force"
	}
	if _, ok := s.replicas[d.GetReplica()]; ok || d.GetReplica() == "" {
		return "replica id is taken"
	}
	if why := s.checkCapacity(m, u, d.GetMemoryBytes()); why != "" {
		return why
	}
	r := Replica{
		ID: d.GetReplica(), Model: m.GetName(), Customer: m.GetCustomer(),
		Upstream: u.GetName(), UpstreamIncarnation: d.GetUpstreamIncarnation(), Address: u.GetAddress(),
		Shard: d.GetShard(), Epoch: Position(d.GetEpoch()), DecidedAt: at, ChangedAt: at,
		Bytes: d.GetMemoryBytes(), Phase: PhaseLoading, Reason: d.GetReason(),
		FromStore: d.GetSource() == recordv1.LoadSource_LOAD_SOURCE_STORE,
	}
	s.addReplica(r)
	return ""
}

// checkCapacity returns the reason if one more replica would exceed a limit.
func (s *State) checkCapacity(m *recordv1.Model, u *recordv1.Upstream, bytes uint64) string {
	c := s.Config.Contracts[m.GetCustomer()]
	used := s.usage[m.GetCustomer()]
	switch {
	case c == nil:
		return "customer has no contract"
	case bytes < m.GetMemoryBytes():
		return "memory is less than the model needs"
	case !fits(s.reservedBytes[u.GetAddress()], bytes, u.GetMemoryBytes()) && !s.disabled.has(checkMemory):
		return "upstream has no memory left"
	case used.Replicas >= c.GetReplicas() && !s.disabled.has(checkContract):
		return "contract has no replica left"
	case !fits(used.Bytes, bytes, c.GetMemoryBytes()) && !s.disabled.has(checkContract):
		return "contract has no memory left"
	case m.GetMaxReplicas() > 0 && len(s.byModel[m.GetName()]) >= int(m.GetMaxReplicas()):
		return "model has no replica left"
	}
	return ""
}

// fits reports whether used+more is within limit, without overflow.
func fits(used, more, limit uint64) bool {
	return more <= limit && used <= limit-more
}

func (s *State) decideUnload(d *recordv1.Decision, at Position) string {
	r, ok := s.replicas[d.GetReplica()]
	if !ok || r.Model != d.GetModel() {
		return "no such replica"
	}
	if r.Phase != PhaseLoading && r.Phase != PhaseLoaded {
		return "replica is going"
	}
	s.setReplica(r.WithPhase(PhaseUnloading, at))
	return ""
}

func (s *State) decideLoadAdapter(d *recordv1.Decision, at Position) string {
	r, ok := s.replicas[d.GetReplica()]
	a := s.Config.Adapters[d.GetAdapter()]
	switch {
	case !ok || r.Model != d.GetModel() || r.Phase != PhaseLoaded:
		return "no such loaded replica"
	case a == nil || a.GetModel() != r.Model || d.GetAdapter() == "":
		return "adapter is not in force for the model"
	case r.Adapters[d.GetAdapter()] != 0:
		return "replica has the adapter"
	case s.numAdapterLoads >= s.adapterLimit() && !s.disabled.has(checkAdapterLoads):
		return "too many adapter loads in flight"
	}
	s.setReplica(r.WithAdapter(d.GetAdapter(), PhaseLoading, at))
	return ""
}

func (s *State) adapterLimit() int {
	if n := s.Config.Policy.GetAdapterLoadsInFlight(); n > 0 {
		return int(n)
	}
	return DefaultAdapterLoadLimit
}

func (s *State) decideUnloadAdapter(d *recordv1.Decision, at Position) string {
	r, ok := s.replicas[d.GetReplica()]
	if !ok || r.Adapters[d.GetAdapter()] != PhaseLoaded {
		return "no such loaded adapter"
	}
	s.setReplica(r.WithAdapter(d.GetAdapter(), PhaseUnloading, at))
	return ""
}

// observe applies an observation and returns the reason if it does not count.
func (s *State) observe(o *recordv1.Observation, at Position) string {
	if !s.shards[o.GetShard()].isCurrent(Position(o.GetEpoch())) {
		return "epoch is not the current claim"
	}
	r, ok := s.replicas[o.GetReplica()]
	if !ok || r.Shard != o.GetShard() {
		return "no such replica"
	}
	if o.GetAdapter() != "" {
		return s.observeAdapter(r, o, at)
	}
	switch o.GetKind() {
	case recordv1.ObservationKind_OBSERVATION_KIND_LOADED:
		if r.Phase != PhaseLoading || r.UpstreamIncarnation != o.GetUpstreamIncarnation() {
			return "replica is not loading on this incarnation"
		}
		s.setReplica(r.WithPhase(PhaseLoaded, at))
	case recordv1.ObservationKind_OBSERVATION_KIND_UNLOADED:
		if r.Phase != PhaseUnloading && r.Phase != PhaseUnsettled {
			return "replica is not decided to go"
		}
		return s.freeReplica(r, o.GetAsOf(), at)
	case recordv1.ObservationKind_OBSERVATION_KIND_FAILED:
		if r.Phase != PhaseLoading || r.UpstreamIncarnation != o.GetUpstreamIncarnation() {
			return "replica is not loading on this incarnation"
		}
		return s.freeReplica(r, o.GetAsOf(), at)
	case recordv1.ObservationKind_OBSERVATION_KIND_UPSTREAM_GONE:
		if r.UpstreamIncarnation != o.GetUpstreamIncarnation() {
			return "replica is on another incarnation"
		}
		return s.freeUnlessLateOrder(r, o.GetAsOf(), at)
	default:
		return "unknown observation"
	}
	return ""
}

func (s *State) observeAdapter(r Replica, o *recordv1.Observation, at Position) string {
	p := r.Adapters[o.GetAdapter()]
	switch {
	case p == PhaseLoading && o.GetKind() == recordv1.ObservationKind_OBSERVATION_KIND_LOADED:
		s.setReplica(r.WithAdapter(o.GetAdapter(), PhaseLoaded, at))
	case p != 0 && o.GetKind() != recordv1.ObservationKind_OBSERVATION_KIND_LOADED:
		s.setReplica(r.WithoutAdapter(o.GetAdapter(), at))
	default:
		return "adapter is not in that phase"
	}
	return ""
}

// freeReplica frees the replica's memory if its upstream checks fencing tokens.
// Otherwise it frees the memory only if no late order can load the replica
// again. It returns the reason if nothing changed.
func (s *State) freeReplica(r Replica, asOf uint64, at Position) string {
	if s.Config.Upstreams[r.Upstream].GetChecksFencing() {
		s.removeReplica(r)
		return ""
	}
	return s.freeUnlessLateOrder(r, asOf, at)
}

// freeUnlessLateOrder frees the replica's memory unless a late order may have
// loaded it again after the observation, or still may. Then the replica enters
// PhaseUnsettled and its memory stays reserved until a later observation. It
// returns the reason if nothing changed.
//
// After the end of an upstream's process it is called also for an upstream that
// checks fencing tokens: the next process has not seen a fencing token yet, so
// it would accept a late order.
func (s *State) freeUnlessLateOrder(r Replica, asOf uint64, at Position) string {
	why := s.lateOrderReason(r, asOf)
	switch {
	case why == "" || s.disabled.has(checkLateOrders):
		s.removeReplica(r)
	case r.Phase == PhaseUnsettled:
		return why
	default:
		r.Adapters = nil
		s.setReplica(r.WithPhase(PhaseUnsettled, at))
	}
	return ""
}

// lateOrderReason returns the reason if an order of an earlier holder may have
// loaded the replica again, or still may. The observer's state includes the log
// up to the offset asOf, exclusive.
func (s *State) lateOrderReason(r Replica, asOf uint64) string {
	sh := &s.shards[r.Shard]
	switch {
	case sh.mayGetLateOrders(r.Epoch):
		return "an earlier holder is not settled"
	case sh.SettledAt > r.DecidedAt && asOf <= sh.SettledAt.Offset():
		return "observed before an earlier holder was settled"
	}
	return ""
}

func (s *State) addReplica(r Replica) {
	put(&s.replicas, r.ID, r)
	put(&s.byModel, r.Model, append(slices.Clone(s.byModel[r.Model]), r.ID))
	put(&s.reservedBytes, r.Address, s.reservedBytes[r.Address]+r.Bytes)
	used := s.usage[r.Customer]
	put(&s.usage, r.Customer, Usage{used.Replicas + 1, used.Bytes + r.Bytes})
	s.countLoads(r, 1)
}

func (s *State) setReplica(r Replica) {
	s.countLoads(s.replicas[r.ID], -1)
	s.replicas[r.ID] = r
	s.countLoads(r, 1)
}

func (s *State) removeReplica(r Replica) {
	s.countLoads(s.replicas[r.ID], -1)
	delete(s.replicas, r.ID)
	ids := slices.DeleteFunc(slices.Clone(s.byModel[r.Model]), func(id string) bool { return id == r.ID })
	if len(ids) == 0 {
		delete(s.byModel, r.Model)
	} else {
		s.byModel[r.Model] = ids
	}
	if s.reservedBytes[r.Address] -= r.Bytes; s.reservedBytes[r.Address] == 0 {
		delete(s.reservedBytes, r.Address)
	}
	used := s.usage[r.Customer]
	s.usage[r.Customer] = Usage{used.Replicas - 1, used.Bytes - r.Bytes}
	if used.Replicas == 1 {
		delete(s.usage, r.Customer)
	}
}

// countLoads adds the replica's loads in flight to the totals, or subtracts
// them if sign is -1.
func (s *State) countLoads(r Replica, sign int) {
	if r.Phase == PhaseLoading && r.FromStore {
		s.numStoreLoads += sign
	}
	for _, p := range r.Adapters {
		if p == PhaseLoading {
			s.numAdapterLoads += sign
		}
	}
}
