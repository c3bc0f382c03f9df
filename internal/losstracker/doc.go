// Package losstracker detects poison requests, which crash the upstreams that run
// them, and deadly parts of prompts, which crash the upstreams that begin a response to
// any request with them, across all instances.
//
// A loss states that an incarnation of an upstream has ended, or may have, while it ran
// a request. Each instance keeps all losses that it has observed or received from
// others, so what it counts does not depend on which other process is alive or holds
// the lease. The rules:
//
//   - An attempt that breaks is a suspected loss at once and counts like a confirmed
//     one: how long it takes until the end of an upstream is known depends on the
//     platform, and the next attempt may crash another upstream.
//   - Another attempt at the same incarnation that breaks is another loss: the upstream
//     may have restarted in between without its registration being known.
//   - An attempt whose client left counts only once its upstream is known to have ended.
//   - A suspected loss is confirmed when the incarnation is known to have ended, and
//     withdrawn when the incarnation has registered itself later. Every instance decides
//     this from the registrations that it reads, so neither has to be sent. An
//     undecided loss has no other time limit.
//   - An attempt for the rest of a stream is no loss if the upstream has gone on with the
//     stream: a request that crashes upstreams does not get past the point where it does.
//   - A request that runs to its end is no poison request: its losses so far are refuted.
//     Many callers may send the same content, which then runs on every upstream that
//     ends. All instances that know these losses are told.
//   - A request with a refused content is sent again at most three times, over all instances and
//     their restarts, as a trial that package trier claims in the platform's log: a content that is
//     refused everywhere could not be refuted otherwise. Upstreams that crash together accuse every
//     content that ran on three of them.
//   - A part of a prompt is lost with an attempt whose response has not begun. A response
//     that has begun, on an upstream that goes on, refutes the losses of all parts of its
//     request. So most parts of the requests that one crash breaks are acquitted at once.
//   - Losses of a part are counted in rounds: each round begins with an attempt that knew
//     of the losses before. Upstreams that crash together accuse no part more than once.
//     Only if five upstreams were lost with a part that never began, in however few rounds,
//     it counts as deadly until the first trial, a second later.
//   - A part that was refuted before takes more rounds than one that never was: it may be
//     sent together with a deadly one all the time. It is not lost with an attempt that
//     another part explains, which has losses and was never refuted.
//   - Requests with a deadly part are refused. One at a time is sent again, at most three
//     times, by the instance that holds the lease, to learn whether the part is still
//     deadly, or ever was.
//   - Losses are merged, never replaced: a message that comes late or from an earlier
//     conductor cannot take back a later one.
//   - Losses of a request count until LossTTL after the latest of them.
//   - A poison request is kept in the platform's log, at once, by the instances that
//     observed its losses and by the conductor, and read by each instance that starts.
//     It is removed when it is none any more.
package losstracker
