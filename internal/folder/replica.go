package folder

import "maps"

// Phase is where a replica or an adapter is in its life.
type Phase uint8

// Phases of a replica. Memory is reserved in all of them.
const (
	// PhaseLoading means decided, and of unknown fate until observed.
	PhaseLoading Phase = iota + 1
	PhaseLoaded
	// PhaseUnloading means decided to go, and not yet seen gone.
	PhaseUnloading
	// PhaseGhost means seen gone while an earlier holder of the shard may
	// still send an order for it.
	PhaseGhost
)

var phaseNames = [...]string{"none", "loading", "loaded", "unloading", "ghost"}

func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Replica is one copy of a model on an engine, from its decision until its
// memory is free. Values are immutable; the With methods return changed copies.
type Replica struct {
	ID                  string
	Model               string
	Customer            string
	Upstream            string
	UpstreamIncarnation string
	// Address is that of the upstream when the load was decided. The memory
	// is reserved there, whatever becomes of the upstream's name.
	Address string
	Shard   uint32
	// Epoch is the claim under which the load was decided.
	Epoch Position
	// Decided is the position of the load decision, Changed that of the
	// last record that changed the replica.
	Decided Position
	Changed Position
	Bytes   uint64
	Phase   Phase
	// Adapters holds the phase of each adapter on this replica.
	Adapters map[string]Phase
	// FromStore says that the load draws on the weight store.
	FromStore bool
	Reason    string
}

// WithPhase returns the replica in phase p.
func (r Replica) WithPhase(p Phase, at Position) Replica {
	r.Phase = p
	r.Changed = at
	return r
}

// WithAdapter returns the replica with the adapter in phase p.
func (r Replica) WithAdapter(name string, p Phase, at Position) Replica {
	m := make(map[string]Phase, len(r.Adapters)+1)
	maps.Copy(m, r.Adapters)
	m[name] = p
	r.Adapters = m
	r.Changed = at
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
	r.Changed = at
	return r
}

// IsUsable reports whether the replica can serve requests, as far as the log says.
func (r Replica) IsUsable() bool {
	return r.Phase == PhaseLoaded
}
