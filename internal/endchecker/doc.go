// Package endchecker finds out whether a response that ends with its connection is whole.
//
// A response without a length ends when the upstream closes the connection, but the kernel closes the connections of a
// process that crashes in the same way. So something else must show whether the process has outlived the response. A
// Watch collects that Evidence, and Evidence.Verdict decides.
//
// The evidence that proves most is a second connection to the same process, which was open at the same time as that of
// the response. A process that ends loses both. One that is open after the end shows that the process lives, and it needs
// no new place at the upstream. It can be looked at late as well, since a connection that has ended stays ended. The
// Checker holds one for each upstream while responses without a length run there: an idle one of the pool, or a new
// one. Where there is none, a new connection is tried.
//
//	upstream                           second connection  new connection        response
//	sound                              open               -                     whole
//	sound, takes no new connections    open, or none      is reset each time    whole
//	sound, new ones are not answered   open, or none      is not answered       whole
//	sound, has closed idle ones        ended earlier      opens                 whole
//	leaves, has closed its listener    open, or ended     is refused            whole
//	                                   earlier, or none
//	crashed                            ended with it      is refused, or reset  broken off
//	                                                      and then refused
//	crashed, without a second          none               is refused            broken off
//	crashed while it leaves            ended with it      is refused            broken off
//	removed at short notice            ended, or none     is refused            broken off
//	restarted, known or stated         -                  -                     broken off
//	crashed and back while this        ended with it,     opens                 broken off
//	process stood still                or none
//
// The rules:
//
//   - A reset of a new connection proves nothing by itself: an upstream without room resets each one.
//   - A second connection proves something about a response only if both were seen open at the same time.
//   - The end of the second connection says nothing if the connection of the response is still open one interval later, or
//     if the upstream has stated that it closes idle connections by then.
//   - A second connection whose end no timeout of the upstream explains has ended with its process if no new one
//     opens. If one opens, the upstream may have closed it as idle without stating a timeout. That doubt is resolved in
//     favour of the response unless this process stood still, so that the upstream may have restarted meanwhile.
//   - A refused connection to an upstream that is known to leave proves nothing without a second connection. The end counts
//     as planned.
//   - Any other doubt breaks the response off. Its client notices that, and not that a response lacks its end.
//
// A process whose connections are closed over more than listenTime of package courier after it has crashed looks alive,
// and so does a worker process whose listener belongs to another process.
package endchecker
