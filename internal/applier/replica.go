package applier

import "maps"

// Phase is a stage in the life cycle of a replica or an adapter.
type Phase uint8

// Phases of a replica. Memory is reserved in all of them.
const (
	// PhaseLoading means that the load was decided and not yet observed as
	// completed or failed.
	PhaseLoading Phase = iota + 1
	PhaseLoaded
	// PhaseUnloading means that the unload was decided and not yet observed.
	PhaseUnloading
	// PhaseUnsettled means that the replica was observed to be gone, but a late
	// order of an earlier holder of the shard may have loaded it again or
	// still may.
	PhaseUnsettled
)

// phaseNames are the texts of the phases for operators. PhaseUnsettled is shown
// as ghost.
var phaseNames = [...]string{"none", "loading", "loaded", "unloading", "ghost"}

func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Replica is one replica of a model on an engine, from the load decision until
// its memory is freed. Values are immutable; the With methods return changed copies.
type Replica struct {
	ID                  string
	Model               string
	Customer            string
	Upstream            string
	UpstreamIncarnation string
	// Address is the upstream's address when the load was decided. The memory
	// stays reserved there if the upstream is renamed or removed.
	Address string
	Shard   uint32
	// Epoch is the claim under which the load was decided.
	Epoch Position
	// DecidedAt is the position of the load decision, ChangedAt that of the
	// last record that changed the replica.
	DecidedAt Position
	ChangedAt Position
	Bytes     uint64
	Phase     Phase
	// Adapters holds the phase of each adapter on this replica.
	Adapters map[string]Phase
	// FromStore reports whether the replica is loaded from the weight store.
	FromStore bool
	Reason    string
}

// WithPhase returns the replica in phase p.
func (r Replica) WithPhase(p Phase, at Position) Replica {
	r.Phase = p
	r.ChangedAt = at
	return r
}

// WithAdapter returns the replica with the adapter in phase p.
func (r Replica) WithAdapter(name string, p Phase, at Position) Replica {
	m := make(map[string]Phase, len(r.Adapters)+1)
	maps.Copy(m, r.Adapters)
	m[name] = p
	r.Adapters = m
	r.ChangedAt = at
	return r
}

// WithoutAdapter returns the replica without the adapter.
func (r Replica) WithoutAdapter(name string, at Position) Replica {
	m := maps.Clone(r.Adapters)
	delete(m, name)
	if len(m) == 0 {
		m = nil
	}
	r.Adapters = m
	r.ChangedAt = at
	return r
}

// IsUsable reports whether the replica can serve requests according to the log.
func (r Replica) IsUsable() bool {
	return r.Phase == PhaseLoaded
}
