// Package relayer serves opaque HTTP requests: it finds the route of each
// request, sends it to an upstream and forwards the bytes of the response
// unchanged.
//
// The Codec defines how a deployment encodes the properties of a request in its
// headers. The route defines whether a request may be retried. The rules:
//
//   - A request whose route is Once is sent again only if it provably did not
//     run: no byte of it was sent, or the upstream says so in a response that
//     carries the request's id.
//   - A rejection with status 503 means that the request did not run and never
//     will. If it may have run, the status is 502, or 504 after its deadline.
//   - A successful response is forwarded only if it comes from the upstream
//     itself: stamped, matched to the request by its id, and complete. A stream
//     is forwarded in whole events; if it is interrupted, it resumes at another
//     upstream where the route allows that, and otherwise the connection to the
//     client is closed.
//   - The rest of an interrupted stream is forwarded only once it has shown that it is the
//     rest: the status and the type of the response that has begun, and a first event
//     whose id follows the last one.
//   - A response that was not declared complete is cut off, whatever ended it.
//   - Retries, those of refused requests included, are bounded by this instance's
//     retry budget for the service.
//   - When a client disconnects, its request is canceled at the upstream. Its connection is
//     checked right before each send, since a process that is short of processor time
//     learns of the disconnect late.
//   - The response of a client that reads slowly is read ahead, under one bound for the
//     instance. At the bound the response that has made no progress for the longest is
//     ended first. A client that takes nothing is ended, and so is an attempt whose
//     stream brings no events. See docs/design/slow-clients.md.
package relayer
