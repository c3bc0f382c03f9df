// Package leaser decides which instance may give orders.
//
// The lease is the newest record of a topic of the platform's log. It is taken
// and renewed by appends that succeed only if nobody else has appended, and the
// record's offset is the fencing token. Upstreams may not check tokens, so the
// orders of two holders are kept apart by time as well:
//
//   - A holder gives orders only until its lease ends, counted from before the
//     append was sent, on a clock that runs while the machine is suspended.
//   - A new holder gives its first order only when the former lease has ended by
//     its own clock, counted from when it first saw the record, and a gap has
//     passed in which orders on their way arrive. A former holder whose process
//     has provably ended, or which gave the lease back, needs the gap only.
//   - The fate of an append without an answer is learnt by reading back.
//
// State is the decision and does no I/O. A Lease keeps it up through a Store.
package leaser
