// Package folder folds the platform's log into the state that all instances
// agree on.
//
// The log only appends, so agreement is by order. Every instance reads the
// same records in the same order and applies the same rule to decide whether
// a record counts. A writer learns the fate of its record by reading it back,
// never from the reply to its append. A lost reply, a doubled append, a race
// of operators and a paused holder are therefore one case: the record counts
// once or not at all.
//
// The rules:
//
//   - A configuration change counts if its base version is in force.
//   - A claim counts if it names the claim it supersedes as the current one.
//   - A decision counts if its epoch is the current claim of its shard and
//     the invariants of contracts and memory hold after it.
//   - A decision or an observation counts at most once under a claim, however
//     late a duplicate of it arrives.
//   - Memory belongs to an upstream's address and stays reserved there, whatever
//     becomes of the upstream's name, until an observation frees it.
//   - An observation frees memory only if every earlier holder that could still
//     order the replica was settled before the observer looked, or the engine
//     checks fencing numbers. Until then the replica is a ghost.
//   - A superseded holder is settled by its own word, or if its process is gone.
//   - An intent counts if it is the first for its customer and key, or if the
//     earlier ones were freed by an outcome not-run.
//   - A batch counts if its version of the rules is active. Activate makes the
//     next version active, at its place in the log and so for all readers. A
//     program that does not know the active rules halts there.
//   - Any other bytes leave the state as it is and are counted in Stats.
//
// The fold has no clock, no randomness and no I/O. A State is not safe for
// concurrent use; package keeper shares one between goroutines.
package folder
