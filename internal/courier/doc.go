// Package courier sends requests to upstreams and reads their answers, one at a
// time on a connection.
//
// It is not a general HTTP client. A general client sends some requests again
// by itself, adds headers, and takes whatever bytes come next for the answer.
// Here the caller must know whether a request may have run, so:
//
//   - A request is written once. An Error says whether any byte of it left.
//   - Method, target, headers and body are sent as given; only framing is added.
//   - A kept connection is looked at before it is used again: one that has ended
//     or holds bytes nobody asked for is closed.
//   - An answer that does not bear the request's id is passed over or, if it has
//     no clear end, ends the connection.
//   - A connection that carried a long request is not used again, since its
//     answer may have come before the upstream has read the request. Nor is one
//     whose answer was not read to its end.
//   - Ending the context resets the connection, which cancels the request. What
//     a cut has held up is dropped with it and does not arrive later.
package courier
