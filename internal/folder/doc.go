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
//   - An intent counts if it is the first for its customer and key.
//   - Any other bytes leave the state as it is and are counted in Stats.
//
// The fold has no clock, no randomness and no I/O. A State is not safe for
// concurrent use; package keeper shares one between goroutines.
package folder
