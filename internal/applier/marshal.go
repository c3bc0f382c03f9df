package applier

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Marshal returns the encoded state. Equal states have the same encoding on
// every instance.
func (s *State) Marshal() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.toProto())
	return data, errors.Wrap(err, "marshal state")
}

// Unmarshal returns the state that Marshal encoded. The error of data that is
// not a valid state is ErrInvalidState or that of the decoder.
func Unmarshal(data []byte) (*State, error) {
	var m recordv1.FoldedState
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "unmarshal state")
	}
	return fromProto(&m)
}

func (s *State) toProto() *recordv1.FoldedState {
	m := &recordv1.FoldedState{
		NextOffset: s.NextOffset, Rules: s.RulesVersion(), ConfigVersion: s.Config.Version, Objects: s.Config.Objects(),
		IntentHorizon: s.Intents.Horizon, SuspicionIds: s.Poison.recent.ids, SuspicionHorizon: s.Poison.recent.horizon,
		Stats: &recordv1.FoldStats{
			Batches: s.Stats.Batches, Records: s.Stats.Records, Counted: s.Stats.Counted,
			Undecodable: s.Stats.Undecodable, Inactive: s.Stats.Inactive, Unknown: s.Stats.Unknown,
		},
	}
	for id := range s.shards {
		if s.shards[id].Holder.Claim != 0 {
			m.Shards = append(m.Shards, s.shards[id].toProto(uint32(id)))
		}
	}
	replicas := slices.SortedFunc(maps.Values(s.replicas), func(a, b Replica) int { return cmp.Compare(a.DecidedAt, b.DecidedAt) })
	for _, r := range replicas {
		m.Replicas = append(m.Replicas, r.toProto())
	}
	for _, k := range slices.SortedFunc(maps.Keys(s.Intents.byKey), IntentKey.compare) {
		m.Intents = append(m.Intents, s.Intents.byKey[k].toProto(k))
	}
	for _, f := range s.Poison.order {
		m.Suspects = append(m.Suspects, &recordv1.SuspectState{
			Fingerprint: f, Incarnations: s.Poison.suspects[f].incarnations, LatestUnixMs: s.Poison.suspects[f].latestUnixMs,
		})
	}
	return m
}

func (s *Shard) toProto(id uint32) *recordv1.ShardState {
	m := &recordv1.ShardState{
		Shard: id, Current: s.Holder.toProto(), Released: s.IsReleased, SettledAt: uint64(s.SettledAt),
		RecentIds: s.recent.ids, RecentHorizon: s.recent.horizon,
	}
	for _, h := range s.UnsettledHolders {
		m.Unsettled = append(m.Unsettled, h.toProto())
	}
	return m
}

func (h Holder) toProto() *recordv1.HolderState {
	return &recordv1.HolderState{Claim: uint64(h.Claim), Instance: h.Instance, Incarnation: h.Incarnation}
}

func (r Replica) toProto() *recordv1.ReplicaState {
	m := &recordv1.ReplicaState{
		Id: r.ID, Model: r.Model, Customer: r.Customer, Upstream: r.Upstream,
		UpstreamIncarnation: r.UpstreamIncarnation, Address: r.Address,
		Epoch: uint64(r.Epoch), Decided: uint64(r.DecidedAt), Changed: uint64(r.ChangedAt),
		MemoryBytes: r.Bytes, Phase: uint32(r.Phase), FromStore: r.FromStore, Reason: r.Reason,
	}
	for _, name := range slices.Sorted(maps.Keys(r.Adapters)) {
		m.Adapters = append(m.Adapters, &recordv1.AdapterState{Adapter: name, Phase: uint32(r.Adapters[name])})
	}
	return m
}

func (in Intent) toProto(k IntentKey) *recordv1.IntentState {
	return &recordv1.IntentState{
		Customer: k.Customer, Key: k.Key, RecordId: in.RecordID, Position: uint64(in.Position),
		Instance: in.Instance, Incarnation: in.Incarnation, Outcome: in.Outcome, Ended: uint64(in.EndedAt),
		Answer: in.Answer, Voided: in.VoidedIDs,
	}
}

// ErrInvalidState is the error for a message that is not a valid state.
var ErrInvalidState = errors.New("invalid state")

func fromProto(m *recordv1.FoldedState) (*State, error) {
	st := m.GetStats()
	s := &State{
		NextOffset: m.GetNextOffset(), rulesVersion: m.GetRules(),
		Stats: Stats{
			Batches: st.GetBatches(), Records: st.GetRecords(), Counted: st.GetCounted(),
			Undecodable: st.GetUndecodable(), Inactive: st.GetInactive(), Unknown: st.GetUnknown(),
		},
	}
	if s.IsHalted() {
		return nil, errors.Wrapf(ErrInvalidState, "unknown rules version %d", s.rulesVersion)
	}
	for _, o := range m.GetObjects() {
		s.Config.upsert(o)
	}
	s.Config.Version = m.GetConfigVersion()
	for _, sh := range m.GetShards() {
		if sh.GetShard() >= ShardCount {
			return nil, errors.Wrapf(ErrInvalidState, "shard %d is out of range", sh.GetShard())
		}
		s.shards[sh.GetShard()] = shardFromProto(sh)
	}
	for _, r := range m.GetReplicas() {
		if _, ok := s.replicas[r.GetId()]; ok || r.GetPhase() == 0 || r.GetPhase() > uint32(PhaseUnsettled) {
			return nil, errors.Wrapf(ErrInvalidState, "replica %q is a duplicate or has an unknown phase", r.GetId())
		}
		s.addReplica(replicaFromProto(r))
	}
	if err := s.Intents.restore(m); err != nil {
		return nil, err
	}
	for _, p := range m.GetSuspects() {
		s.Poison.order = append(s.Poison.order, p.GetFingerprint())
		put(&s.Poison.suspects, p.GetFingerprint(), suspect{p.GetIncarnations(), p.GetLatestUnixMs()})
	}
	s.Poison.recent = recentIDs{ids: m.GetSuspicionIds(), horizon: m.GetSuspicionHorizon()}
	return s, nil
}

func shardFromProto(m *recordv1.ShardState) Shard {
	s := Shard{
		Holder: holderFromProto(m.GetCurrent()), IsReleased: m.GetReleased(), SettledAt: Position(m.GetSettledAt()),
		recent: recentIDs{ids: m.GetRecentIds(), horizon: m.GetRecentHorizon()},
	}
	for _, h := range m.GetUnsettled() {
		s.UnsettledHolders = append(s.UnsettledHolders, holderFromProto(h))
	}
	return s
}

func holderFromProto(m *recordv1.HolderState) Holder {
	return Holder{Claim: Position(m.GetClaim()), Instance: m.GetInstance(), Incarnation: m.GetIncarnation()}
}

func replicaFromProto(m *recordv1.ReplicaState) Replica {
	r := Replica{
		ID: m.GetId(), Model: m.GetModel(), Customer: m.GetCustomer(), Upstream: m.GetUpstream(),
		UpstreamIncarnation: m.GetUpstreamIncarnation(), Address: m.GetAddress(), Shard: ShardOf(m.GetModel()),
		Epoch: Position(m.GetEpoch()), DecidedAt: Position(m.GetDecided()), ChangedAt: Position(m.GetChanged()),
		Bytes: m.GetMemoryBytes(), Phase: Phase(m.GetPhase()), FromStore: m.GetFromStore(), Reason: m.GetReason(),
	}
	for _, a := range m.GetAdapters() {
		put(&r.Adapters, a.GetAdapter(), Phase(a.GetPhase()))
	}
	return r
}

// restore fills an empty Intents from an encoded state.
func (t *Intents) restore(m *recordv1.FoldedState) error {
	t.Horizon = m.GetIntentHorizon()
	for _, v := range m.GetIntents() {
		k := IntentKey{t.intern(v.GetCustomer()), v.GetKey()}
		if !isKey(k.Key) {
			return errors.Wrapf(ErrInvalidState, "intent key %q is not a canonical ULID", k.Key)
		}
		put(&t.byKey, k, Intent{
			RecordID: v.GetRecordId(), Position: Position(v.GetPosition()),
			Instance: t.intern(v.GetInstance()), Incarnation: t.intern(v.GetIncarnation()),
			Outcome: v.GetOutcome(), EndedAt: Position(v.GetEnded()), Answer: v.GetAnswer(), VoidedIDs: v.GetVoided(),
		})
		t.byAge = append(t.byAge, k)
		if len(v.GetAnswer()) > 0 {
			t.answerKeys = append(t.answerKeys, k)
			t.answerBytes += len(v.GetAnswer())
		}
	}
	heap.Init(&t.byAge)
	slices.SortFunc(t.answerKeys, func(a, b IntentKey) int { return cmp.Compare(t.byKey[a].EndedAt, t.byKey[b].EndedAt) })
	return nil
}
