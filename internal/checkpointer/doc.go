// Package checkpointer writes checkpoints of the state to the platform's log,
// before retention drops the entries that led to it, and finds them there again.
//
// The log keeps its entries for a limited time. One chosen instance therefore
// appends the whole state from time to time, as a checkpoint of several chunk
// records. A new instance, or one that fell behind retention, starts from the
// newest complete checkpoint and reads on from the first offset that it does not
// include. While the log is unavailable, it starts from the newest state of its
// peers.
//
// The rules:
//
//   - A checkpoint changes no state, so concurrent writers do no harm.
//   - A checkpoint is complete if all its chunks are there and the digest
//     matches.
//   - A state replaces another only if it includes more of the log, so an old
//     checkpoint that arrives late reverts nothing.
//   - A checkpoint is due after a number of log entries, after a time, and as soon
//     as the newest one lies in the older half of the entries that the log keeps.
package checkpointer
