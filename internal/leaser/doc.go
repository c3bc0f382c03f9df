// Package leaser elects the conductor: the instance that may send orders to load
// and unload models to the upstreams.
//
// The lease is the newest record of a topic of the platform's log. An instance
// acquires and renews it by appends that succeed only if no other append came
// first, and the record's offset is the fencing token. Upstreams may not check
// tokens, so time also separates the orders of two holders:
//
//   - A holder sends orders only until its lease expires, counted from before the
//     append was sent, on a clock that runs while the machine is suspended.
//   - A new holder sends its first order only after the former lease has expired
//     by its own clock, counted from when it first read the record, and after a
//     gap in which orders in flight arrive. If the former holder's process has
//     provably ended, or the former holder released the lease, only the gap is
//     needed.
//   - An instance finds out whether an unanswered append succeeded by reading the
//     log back.
//
// The log may come back from an older copy and lose claims (package sequencer). A
// claim's position therefore includes the era in which it was appended, and:
//
//   - The holder keeps its lease until it expires, and claims it anew in the new era.
//     Its claim from before needs no gap, since every other instance waits.
//   - Every other instance waits as if the lease had been claimed at the moment at
//     which it found the new era, until it reads a claim of that era.
//   - A claim counts for its writer only if the log was in the claim's era when it
//     responded to the append, or when the claim was read back.
//
// State makes the decisions and does no I/O. A Lease updates it through a Store.
package leaser
