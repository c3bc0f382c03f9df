// Package loader puts load on entry instances and checks every outcome.
//
// The arrivals are open-loop: a Plan fixes every request and its intended
// start before the first one is sent, so a slow answer never delays a later
// arrival. Latency counts from the intended start, which keeps the wait behind
// a stalled request in the figures (no coordinated omission).
//
// Requests run through pkg/caller, as those of a real caller do. A part of
// them may go straight to the upstream instead, so that one run shows what the
// system adds.
//
// Rules:
//   - A Plan with a seed gives the same requests every time, except for the
//     keys, whose time is that of the run.
//   - Every request ends in exactly one Outcome. A request without a verdict by
//     its deadline and a grace time is lost.
//   - An answer counts only if it is whole and that of its own request.
//   - After the run the keys are compared with what the services say they ran.
package loader
