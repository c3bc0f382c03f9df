// Package follower reads a keyed topic of the platform's log and keeps the
// newest record of each key.
//
// Reads are paced, since the calls of all instances together are limited and some
// topics get a record every few milliseconds. The rules:
//
//   - A follower starts by listing the newest record of each key. The pages of the
//     listing are not a snapshot, and the end that they state may be later than the
//     records. So the follower reads on after the newest record of the first page.
//   - If the log has dropped the next records, the follower lists again, and reads
//     on from the first offset that the log still had before the listing. A known
//     key that is missing from the listing has been dropped.
//   - Every call has a timeout. The platform counts as lost from the first failed
//     call until the next call that succeeds.
//   - A follower reads through a peer instead of the log while the records of the
//     peer are recent enough. While the platform is lost, a peer may have newer
//     records. Records from peers are applied by offset, like those from the log.
//   - A listing does not contain the keys that were dropped before it. A peer that reads
//     from an earlier position therefore gets the records of all keys.
//   - The log may come back from an older copy, in a new era (package sequencer). The
//     follower then lists again. A record of the copy that is older than the known one
//     does not replace it, and a key that was dropped does not return with its old
//     record: the writers write again what the copy has lost. Later records of an
//     older state are skipped in the same way.
package follower
