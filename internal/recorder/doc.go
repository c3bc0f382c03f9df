// Package recorder writes records to the platform's log by group commit.
//
// One append is under way at a time; the records that arrive meanwhile form
// the next batch. A record's fate is learnt by reading it back: Submit returns
// when the tailer has applied the record, whatever the append replied. After a
// failed append the recorder writes the records that it has not read back yet
// once more. That is safe because every kind of record counts at most once.
//
// The rules:
//
//   - The queue is bounded. A full queue refuses at once.
//   - The log is out after two failed appends in a row, or one that timed out.
//     Then Submit refuses at once, Post queues, and the recorder tries the log
//     with empty batches until one succeeds. Its pauses grow and are spread at
//     random, and it has one append under way, so that instances catch up
//     without a stampede.
//   - A caller that stops waiting for a record that was never part of an
//     append gets ErrNotWritten: the record is in no log, now or later.
//   - In every other case it gets ErrUnknown, and Abandoned is called if the
//     record is read back after all. An abandoned record is not written again.
package recorder
