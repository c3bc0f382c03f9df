// Package archiver keeps the origins of streams in the platform's log, so that streams can go on
// after all instances ended at once.
//
// An origin is archived only while its service has several software versions, and only once it is
// bound: the version that brought the first event, which no later attempt changes. A record
// that is old, or comes from a copy of the log, is therefore never wrong; a record that is
// missing leaves the stream unknown.
//
// The rules:
//
//   - A Sender at each instance sends origins to the holder of the lease and repeats that until
//     they are saved. No event waits for it.
//   - A Writer at the holder saves what the senders bring, a batch of records in one append.
//     The number of calls to the log depends neither on the streams nor on the instances.
//   - While no holder responds, or it cannot save, an instance appends its origins itself, to slots that only
//     its process has used. They are deleted when their streams have expired: by the process, or by a holder
//     that finds them in the log.
//   - Batches go to slots, which are written again when all streams in them have expired. So
//     the log holds what can still be taken up, and nothing has to be deleted.
//   - A stream whose origin is not saved yet stays unknown if all instances end. No record
//     is taken for proof that there was none.
//   - A Reader loads the slots when a stream is taken up that no instance knows.
package archiver
