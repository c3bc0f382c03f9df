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
//   - While no holder responds, or it cannot save, an instance appends its origins itself.
//   - Batches go to slots of the writer's own, each of which it uses once. So no append, however late it is carried
//     out, replaces a batch that is reported as saved: a late one only adds origins that are true.
//   - A slot is deleted when all its streams have expired, by its writer or by a holder that finds it in the log.
//   - A stream whose origin is not saved yet stays unknown if all instances end. No record
//     is taken for proof that there was none.
//   - A Reader loads the slots when a stream is taken up that no instance knows. While a slot cannot be read,
//     a stream without a record is unknown.
package archiver
