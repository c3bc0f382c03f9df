// Package admitter decides which waiting request gets the next free slot of an
// upstream, and refuses requests early that cannot be served in time.
//
// A Table holds the waiting requests and makes the decisions: its methods take
// the time as an argument and do no I/O. An Admitter shares one Table between the
// goroutines that handle requests. A single goroutine grants the free slots, so
// that a freed slot wakes one request instead of all waiting ones.
//
// The rules:
//
//   - Requests of one customer and class for one target are served in the order
//     of their deadlines.
//   - Customers of one class share an upstream by the weights of their
//     contracts, measured in slot time (start-time fair queueing).
//   - Classes share an upstream by fixed weights that favour urgent requests and
//     still leave a share for batch requests. A class or customer that was idle
//     is served before those that had more than their share.
//   - Queues are bounded per target and in total. Above a bound, the request
//     with the latest deadline is refused, among those of the customer and class
//     with the longest queue for their weight.
//   - A request is refused on arrival if the estimated wait, from the measured
//     service time of the target, exceeds the time to its deadline.
//   - A waiting request that is not served is refused at its deadline.
//   - Every refusal carries a retry delay. The retry times are assigned one after
//     the other, so that requests refused together are not retried together.
//   - A request gets no slot while its customer uses all units of its contract.
//
// Lock order: Admitter.mu, then the locks of the packages keeper and monitor and of
// the Units.
package admitter
