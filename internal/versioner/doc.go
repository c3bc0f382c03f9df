// Package versioner keeps the default software version of each model: the one at which a stream
// began that no record names.
//
// Which version began a stream is saved in the platform's log, but the log may take nothing while
// streams begin, and all instances may end before it does again. A client that takes such a stream
// up brings its id, its model and nothing else. So the version must follow from what the log held
// before. The rules:
//
//   - The log holds a table for each service whose streams can be taken up: a default version for
//     each model. The holder of the lease maintains it, and each instance knows it from the
//     holder's views, or from the log.
//   - A stream that begins at another version than the default one is recorded in the log before its
//     first event is forwarded. While the log takes no records, streams begin at the default version
//     only, and only once its process is known to be the registered one.
//   - So a stream without a record began at the default version. This holds for a table that is
//     trusted: all instances have followed one for as long as a stream may last, or there were none
//     before.
//   - A default version changes only if no upstream of it holds the model any more. The former one
//     stays in the table for as long as a stream may last that began at it. Meanwhile a stream without a
//     record is unknown, as without a table.
//   - A former default version is dropped earlier once no instance can have a stream that began at it without a
//     record: each instance that has reported to the holder within that time has saved the origins of its
//     streams since it follows the present revision of the table. This needs a holder that knows all of
//     them: the first one of the log, or one that has held the lease for that time.
//   - So an instance follows default versions only while the holder knows it.
//   - Revisions increase with each change, over all holders and eras. An instance follows no earlier one than it
//     has followed before.
//   - An instance that has not had a table from the holder or the log for maxAge follows none: it begins
//     streams only with a record. So a change reaches all instances, or they stop.
//   - A table of an earlier era of the log is not trusted: records that it relies on may be lost.
//   - Tables are saved by appends that fail if the log has changed, so a former holder replaces none.
package versioner
