// Package applier applies the records of the platform's log, in order, to the
// state that all instances agree on.
//
// It is a replicated state machine, and to fold the log means to apply its
// records in order. The log is append-only, so every instance reads the same
// records in the same order. It applies the same rules to decide whether a
// record counts, that is, whether it changes the state. A writer learns the
// result of its record by reading it back from the log, never from the reply to
// its append. Lost replies, duplicate appends, concurrent operators and paused
// holders therefore need no handling of their own: a record counts once or not
// at all.
//
// The rules:
//
//   - A configuration change counts if its base version is in force.
//   - A claim counts if it names the current claim as the one it supersedes.
//   - A decision counts if its epoch is the current claim of its shard and
//     the limits of contracts and memory hold after it.
//   - A decision or an observation counts at most once under a claim, however
//     late a duplicate of it arrives.
//   - Memory is reserved per address of an upstream. It stays reserved until an
//     observation frees it, also if the upstream is renamed or removed.
//   - An observation frees memory only if every earlier holder that could still
//     send orders for the replica was settled before the observation was made,
//     or if the engine checks fencing tokens. Until then the replica is in
//     PhaseUnsettled.
//   - A superseded holder is settled once none of its orders can still arrive:
//     it has recorded that it saw the newer claim, or its process is gone.
//   - An intent counts if it is the first for its customer and key, or if all
//     earlier ones ended with the outcome not-run.
//   - A batch counts if its version of the rules is active. An Activate record
//     makes the next version active from its position in the log on, and so at
//     the same position for all readers. A program that does not know the active
//     version halts there.
//   - Any other payload leaves the state unchanged and is counted in Stats.
//
// Applying records uses no clock, no randomness and no I/O. A State is not safe
// for concurrent use; package keeper shares one between goroutines.
package applier
