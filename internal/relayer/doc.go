// Package relayer serves opaque HTTP requests: it finds the route of each,
// sends it to an upstream and returns the answer's bytes untouched.
//
// How a deployment writes a request's facts into headers is the Codec's
// business. What may be repeated is the route's. The rules:
//
//   - A request whose route is Once is sent again only if it provably did not
//     run: no byte of it left, or the upstream says so in an answer that bears
//     the request's id.
//   - A refusal with status 503 says that the request did not run and never
//     will. Where that is not known the status is 502.
//   - A success is passed on only if it is the upstream's own: stamped, bound to
//     the request, and whole. A stream is passed on in whole events; one that
//     breaks off goes on at another upstream where the route allows it, and
//     otherwise ends with the connection.
//   - Repeats, refused ones included, are bounded by a budget of this instance.
//   - A client that leaves cancels its request at the upstream.
package relayer
