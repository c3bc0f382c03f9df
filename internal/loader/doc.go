// Package loader generates load on entry instances and checks the outcome of
// every request.
//
// The load is open-loop: a Plan fixes every request and its intended start before
// the first one is sent, so that a slow response never delays a later request.
// Latency is measured from the intended start, so that it includes the wait behind
// a stalled request (no coordinated omission).
//
// Requests are sent with pkg/caller, like those of a real caller. A share of them
// may be sent directly to the upstreams instead, so that one run shows the latency
// that the system adds.
//
// Rules:
//   - A Plan gives the same requests for the same seed, except for their keys,
//     which contain the time of the run.
//   - Every request has exactly one Outcome. A request without a verdict by its
//     deadline plus a grace period is lost.
//   - A request counts as answered only if the response is complete and belongs to
//     that request.
//   - After the run the outcomes are compared with the services' own counts of how
//     often each key ran.
package loader
