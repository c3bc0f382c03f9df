// Package courier sends requests to upstreams and reads their responses, one
// request at a time on each connection.
//
// It is not a general HTTP client. A general client retries some requests on its
// own, adds headers, and accepts whatever bytes arrive next as the response. Here
// the caller must know whether a request may have run, so:
//
//   - A request is written once. An Error says whether any byte of it was sent.
//   - Method, target, headers and body are sent as given; only framing is added.
//   - An idle connection is checked before it is reused: one that the upstream has
//     closed or that holds unexpected bytes is closed.
//   - A late response to another request is skipped or, if it has no length or is
//     too long, ends the connection. A response without any id is returned, marked
//     as not matched, only on a connection that carried no earlier request.
//   - A request without an id gets a new connection, and so does one with an id that
//     the connection has carried before: a late copy could not be told from its response.
//   - A head that holds a part of another one is an error: a copy that was cut off
//     precedes it.
//   - A connection that carried a long request is not reused, since the response
//     may have arrived before the upstream has read the request. Nor is one whose
//     response was not read to its end.
//   - Ending the context resets the connection, which cancels the request. Bytes
//     that a network partition holds back are dropped with the connection and do
//     not arrive later.
package courier
