// Package sharer keeps the concurrency and request rate of a contract, in total
// over all entry instances, within the contract's limits.
//
// Every instance has a base share of a contract, which it uses without a lease:
// the limit, divided by the maximum number of entry instances and by
// BaseDivisor, rounded down. The rest of the limit is the pool. The customer's
// home lends the pool in short leases. The home is the instance that currently
// holds the control shard to which the customer's name hashes. If the base share
// of a contract is zero, the contract can be used only through leases.
//
// Clocks measure durations only. The borrower measures a lease from before it
// sent the request, and the lender from after the request arrived. The lender
// adds a margin for clocks that run at different rates. Requests that still run
// at the borrower when its lease ends may continue for [Timing.MaxOverrun]. The
// lender counts them for as long, and the borrower revokes the units of those
// that have not ended by then.
//
// The rules that keep the total within the limits:
//
//   - A unit of the concurrency and of the rate is acquired when an attempt
//     starts.
//   - A borrower requests the amount that it wants from now on, and releases the
//     rest before it sends the request. Only the reply to its newest request
//     counts.
//   - A lender processes the requests of an incarnation in the order of their
//     sequence numbers, and lends nothing for an older request.
//   - A lender lends only if it has read the end of the log recently, so that an
//     instance that was superseded without its knowledge stops lending.
//   - A new home lends nothing until everything that the previous home may have
//     lent has ended. The first home of a shard need not wait.
//
// Lock order: Sharer.mu is acquired after Admitter.mu. While it is held, only
// Sharer.Limits is called, which may acquire the keeper's lock.
package sharer
