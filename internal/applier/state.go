package applier

import (
	"math"

	"google.golang.org/protobuf/proto"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Version is the newest version of the rules that this program knows.
const Version = 1

// firstRulesVersion is active until an Activate record counts.
const firstRulesVersion = 1

// DefaultAdapterLoadLimit limits the adapter loads in flight if no policy sets a
// limit.
const DefaultAdapterLoadLimit = 32

// Stats counts the batches and records that the state has read.
type Stats struct {
	Batches     uint64
	Records     uint64
	Counted     uint64
	Undecodable uint64
	// Inactive counts batches that need a version of the rules that was not
	// active, and batches in which the state halted before the last record.
	Inactive uint64
	// Unknown counts records of an unknown kind.
	Unknown uint64
}

// Event is the result of one record.
type Event struct {
	Position Position
	Writer   string
	Record   *recordv1.Record
	Counted  bool
	// Reason is the reason if the record does not count.
	Reason string
}

// State is the state that all instances agree on. Its zero value is the state
// before the first record.
type State struct {
	// NextOffset is the first offset that the state does not include.
	NextOffset uint64
	Config     Config
	Intents    Intents
	Poison     Poison
	Stats      Stats

	rulesVersion    uint32 // active version, 0 for the first
	shards          [ShardCount]Shard
	replicas        map[string]Replica
	byModel         map[string][]string // replica ids
	reservedBytes   map[string]uint64   // by upstream address
	usage           map[string]Usage    // by customer
	numAdapterLoads int                 // in flight
	numStoreLoads   int                 // in flight from the weight store

	disabled check // rules disabled by tests
}

// Usage is the number of a customer's replicas and the memory they reserve.
type Usage struct {
	Replicas uint32
	Bytes    uint64
}

// RulesVersion returns the active version of the rules.
func (s *State) RulesVersion() uint32 {
	return max(s.rulesVersion, firstRulesVersion)
}

// IsHalted reports whether the log has activated a version of the rules that
// this program does not know. The state then stays as it was before the first
// record under that version.
func (s *State) IsHalted() bool {
	return s.RulesVersion() > Version
}

// Apply applies the batch at offset and returns the results of its records. It
// changes nothing if offset is not the next one or the state is halted.
func (s *State) Apply(offset uint64, payload []byte) []Event {
	if offset != s.NextOffset || s.IsHalted() {
		return nil
	}
	s.NextOffset = offset + 1
	s.Stats.Batches++
	var b recordv1.Batch
	if err := proto.Unmarshal(payload, &b); err != nil || len(b.GetRecords()) > MaxBatchRecords {
		s.Stats.Undecodable++
		return nil
	}
	if b.GetVersion() > s.RulesVersion() {
		s.Stats.Inactive++
		return nil
	}
	events := make([]Event, 0, len(b.GetRecords()))
	for i, r := range b.GetRecords() {
		at := PositionOf(offset, i)
		if s.IsHalted() {
			s.Stats.Inactive++
			break
		}
		why := s.applyRecord(r, b.GetWriter(), at)
		s.Stats.Records++
		if why == "" {
			s.Stats.Counted++
		}
		events = append(events, Event{Position: at, Writer: b.GetWriter(), Record: r, Counted: why == "", Reason: why})
	}
	return events
}

// applyRecord applies one record and returns the reason if it does not count.
func (s *State) applyRecord(r *recordv1.Record, writer string, at Position) string {
	if r.GetId() == "" {
		return "record has no id"
	}
	switch k := r.GetKind().(type) {
	case *recordv1.Record_ConfigChange:
		return s.Config.apply(k.ConfigChange, at)
	case *recordv1.Record_Claim:
		return s.withShard(k.Claim.GetShard(), func(sh *Shard) string {
			sh.dropUnsettled(s.oldestEpoch(k.Claim.GetShard()))
			return sh.claim(k.Claim, at, s.disabled)
		})
	case *recordv1.Record_Release:
		return s.withShard(k.Release.GetShard(), func(sh *Shard) string { return sh.release(Position(k.Release.GetClaim())) })
	case *recordv1.Record_Settle:
		return s.withShard(k.Settle.GetShard(), func(sh *Shard) string { return sh.settle(k.Settle, writer, at) })
	case *recordv1.Record_Decision:
		return s.withShard(k.Decision.GetShard(), func(sh *Shard) string {
			return s.applyOnce(&sh.recent, r.GetId(), func() string { return s.decide(k.Decision, at) })
		})
	case *recordv1.Record_Observation:
		return s.withShard(k.Observation.GetShard(), func(sh *Shard) string {
			return s.applyOnce(&sh.recent, r.GetId(), func() string { return s.observe(k.Observation, at) })
		})
	case *recordv1.Record_Intent:
		return s.Intents.begin(r.GetId(), k.Intent, at)
	case *recordv1.Record_Outcome:
		return s.Intents.end(k.Outcome, at)
	case *recordv1.Record_Suspicion:
		return s.applyOnce(&s.Poison.recent, r.GetId(), func() string { return s.Poison.apply(k.Suspicion) })
	case *recordv1.Record_CheckpointChunk:
		return "a checkpoint changes no state"
	case *recordv1.Record_Activate:
		return s.activate(k.Activate.GetVersion())
	}
	s.Stats.Unknown++
	return "unknown kind"
}

// activate makes the next version of the rules active.
func (s *State) activate(version uint32) string {
	if version != s.RulesVersion()+1 {
		return "version is not the next one"
	}
	s.rulesVersion = version
	return ""
}

// applyOnce calls apply for a record unless the record has counted before.
func (s *State) applyOnce(recent *recentIDs, id string, apply func() string) string {
	if why := recent.check(id); why != "" && !s.disabled.has(checkDuplicates) {
		return why
	}
	why := apply()
	if why == "" {
		recent.add(id)
	}
	return why
}

// oldestEpoch returns the smallest epoch of the shard's replicas.
func (s *State) oldestEpoch(shard uint32) Position {
	oldest := Position(math.MaxUint64)
	for _, r := range s.replicas {
		if r.Shard == shard {
			oldest = min(oldest, r.Epoch)
		}
	}
	return oldest
}

func (s *State) withShard(id uint32, f func(*Shard) string) string {
	if id >= ShardCount {
		return "no such shard"
	}
	return f(&s.shards[id])
}

// Shard returns the shard with the given number.
func (s *State) Shard(id uint32) Shard {
	return s.shards[id%ShardCount]
}

// Replica returns the replica with the given id.
func (s *State) Replica(id string) (Replica, bool) {
	r, ok := s.replicas[id]
	return r, ok
}

// ReplicaIDs returns the ids of a model's replicas in the order of their decisions.
func (s *State) ReplicaIDs(model string) []string {
	return s.byModel[model]
}

// EachReplica calls f for every replica until f returns false.
func (s *State) EachReplica(f func(Replica) bool) {
	for _, r := range s.replicas {
		if !f(r) {
			return
		}
	}
}

// ReservedBytes returns the memory reserved on an upstream that is in force.
// Memory is reserved per address, so an upstream with a new name includes the
// replicas that are already loaded at its address.
func (s *State) ReservedBytes(upstream string) uint64 {
	return s.reservedBytes[s.Config.Upstreams[upstream].GetAddress()]
}

// UsageOf returns the usage of a customer's replicas.
func (s *State) UsageOf(customer string) Usage {
	return s.usage[customer]
}

// AdapterLoads returns the number of adapter loads in flight.
func (s *State) AdapterLoads() int {
	return s.numAdapterLoads
}

// StoreLoads returns the number of loads in flight from the weight store.
func (s *State) StoreLoads() int {
	return s.numStoreLoads
}
