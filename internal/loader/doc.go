// Package loader generates load on entry instances and checks every outcome.
//
// The arrivals are open-loop: a Plan determines every request and its intended
// start before the first one is sent, so a slow answer never delays a later
// arrival. Latency is measured from the intended start and so includes the wait
// behind a stalled request (no coordinated omission).
//
// Requests are sent with pkg/caller, the client library of real callers. A share
// of them may be sent directly to the upstreams instead, so that one run
// measures the latency overhead of the system.
//
// Rules:
//   - A Plan with the same seed gives the same requests, except for the keys,
//     which contain the time of the run.
//   - Every request has exactly one Outcome. A request without a verdict within
//     its deadline and a grace period is lost.
//   - An answer counts as such only if it is complete and belongs to the request.
//   - After the run the outcomes are compared with the run counts that the
//     services report for each key.
package loader
