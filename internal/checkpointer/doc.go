// Package checkpointer writes the folded state to the log in time, and finds it
// there again.
//
// The log keeps its entries for a limited time. One chosen instance therefore
// appends the whole state from time to time, as a checkpoint of several chunk
// records. A new instance, or one that fell behind, starts from the newest whole
// checkpoint and reads on from the first offset that it does not include. While
// the log is out it takes the newest state of its peers.
//
// The rules:
//
//   - A checkpoint changes no state. Two writers at once do no harm.
//   - A checkpoint is whole if all its chunks are there and the digest is right.
//   - A state replaces another only if it includes more of the log, so nothing
//     reverts, whatever checkpoint comes late.
//   - Checkpoints are due by log entries, by time, and as soon as the newest one
//     lies in the older half of what the log keeps.
package checkpointer
