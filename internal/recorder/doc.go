// Package recorder writes records to the platform's log by group commit.
//
// At most one append is in flight; the records that arrive meanwhile form the
// next batch. The result of a record is known once the record is read back:
// Submit returns when the tailer has applied the record, whatever the reply to
// the append was. After a failed append the recorder appends again the records
// that are not read back yet. That is safe because every kind of record counts at
// most once.
//
// The rules:
//
//   - The queue is bounded. If it is full, records are refused at once.
//   - The log is considered unavailable after a second in which all appends
//     failed, or after one append that timed out. Then Submit refuses at once,
//     Post queues, and the recorder probes the log with empty batches until one
//     succeeds. The delays between the probes grow and have random jitter, and
//     each instance has one append in flight, so that the return of the log does
//     not cause a thundering herd.
//   - If a caller stops waiting for a record that was never part of an append,
//     it gets ErrNotWritten: the record is not in the log and never will be.
//   - In every other case it gets ErrUnknown, and OnAbandonedRead is called if the
//     record is read back later. An abandoned record is not appended again.
package recorder
