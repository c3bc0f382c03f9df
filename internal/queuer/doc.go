// Package queuer decides which upstream takes a request, and which request goes
// next where several wait.
//
// A Table is the decision. It holds what runs and what waits at this instance;
// its methods take the time and the beliefs about the upstreams as arguments
// and do no I/O. A Queue shares a Table between the goroutines of the requests.
//
// The load that it answers: many models and adapters of which a few are loaded
// anywhere, bursts for one that is not, and upstreams that shed what they have
// no slot for. Each shed request spends a part of the retry budget, so requests
// wait here, where they can be ordered and refused as not run.
//
// The rules:
//
//   - A request goes only where its model and adapter are loaded, or are
//     believed to be, and where a slot is free counting what peers run there.
//   - Waiting requests go in the order of priority, then of their objectives.
//   - A request that cannot start before its limit, by the time that the load of
//     its model still takes, is refused at once with the time to come back.
//   - What was refused for a missing model still counts as wanted until it may
//     come back, so that the load is not called off.
package queuer
