// Package streamtracker keeps at which version of an upstream's software streams began.
//
// Upstreams of several software versions may serve one service side by side. What two
// versions write does not fit together, so the rest of a stream may come only from an
// upstream of the version that began it. A client takes a broken stream up again at any
// instance, also after the instance that began it has ended.
//
// The rules:
//
//   - The instance that begins a stream records its version. While a service has several
//     versions, the record is sent to a few other instances, its homes, before the first
//     event is forwarded to the client. The homes follow from the id of the stream, so every
//     instance can compute them. When a second version appears, the streams that run are
//     sent to their homes as well.
//   - An instance that does not know a stream asks its homes. Of several records of a
//     stream, that of the latest attempt holds.
//   - An origin is unproven until the process that sent the first event is known to be the
//     registered one (package verifier): a registration may be older than the process. While it
//     is, its stream counts as one that nobody knows, unless the service has one version and the
//     registrations have been read lately.
//   - A stream that nobody knows goes on only if its service has had a single version for as
//     long as a stream may last. Otherwise it is refused: a guess would be wrong half of the
//     time.
//   - Origins that are bound, which means that the first event has come, are also saved in the
//     platform's log by package archiver. A stream that no instance knows is looked up there.
//   - A stream that no record names began at the version of the process that is seen to run it. The
//     holder of the lease learns that from the states of the upstreams.
//   - What versions a service has had is known to an instance that has watched the
//     registrations for that long, and to the instances that it tells. The holder of the
//     lease also keeps it in the platform's log, for the case that all instances end at once.
//   - After a change of default versions (package versioner) a Settler saves the origins of all streams that its
//     instance began before. It reports the change as settled only once all of them are saved.
//   - Versions are texts without an order: they are equal or not.
package streamtracker
