// Package admitter decides which waiting request gets the next free slot of an
// upstream, and refuses early what cannot be served in time.
//
// A Table holds the waiting requests. It is the decision: its methods take the
// time as an argument and do no I/O. An Admitter shares one Table between the
// goroutines of the requests; one pump for all of them turns free slots into
// grants, so that a freed slot wakes one request and not every waiting one.
//
// The rules:
//
//   - Requests of one customer and class for one target are served in the order
//     of their deadlines.
//   - Customers of one class share an upstream by the weights of their
//     contracts, counted in slot time (start-time fair queueing).
//   - Classes share an upstream by fixed weights that put urgent requests first
//     and still give batch requests a share. A class or customer that was idle
//     is served before those that had more than their share.
//   - Queues are bounded by target and in total. At the bound the request with
//     the latest deadline gives way, among those who hold most of the queue for
//     their weight.
//   - A request is refused on arrival if the requests before it take longer
//     than the time it has left, by the measured service time of the target.
//   - A waiting request that is not served is refused at its deadline.
//   - Every refusal says when to come back. The times are booked one after the
//     other, so that those who were refused together do not return together.
//   - A request gets no slot while its customer runs all that its contract allows.
//
// Lock order: Admitter.mu, then the locks of the keeper, the monitor and the Units.
package admitter
