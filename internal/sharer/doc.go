// Package sharer keeps the concurrency and request rate of a contract in sum
// over all entry instances.
//
// Every instance has a base share of a contract that needs nobody: the limit,
// divided by the most instances that run at once and by BaseDivisor, rounded
// down. The rest of the limit is the pool. The customer's home lends it in
// short leases: the current holder of the control shard that the customer's
// name hashes to. A contract whose base share is zero is used by leases only.
//
// Clocks measure durations only. A lease is valid at the borrower from before
// its request was sent, and at the lender from after the request arrived, with
// a margin for clocks that run at different rates. What the borrower still
// runs when its lease ends may run on for Terms.Hold. It is counted at the lender
// for as long, and what has not ended by then is cut.
//
// The rules that keep the sum:
//
//   - A unit of the concurrency and of the rate is taken when an attempt starts.
//   - A borrower asks for what it wants from now on, and gives up what it does
//     not ask for before it sends the request. Only the reply to its newest
//     request counts.
//   - A lender obeys requests of an incarnation in the order of their numbers.
//   - A lender lends only if it has read the end of the log not long ago, so that
//     an instance that was superseded without its knowledge stops lending.
//   - A new home lends nothing until everything that the old home may have lent
//     has ended. The first home of a shard has nobody to wait for.
//
// Lock order: Sharer.mu is taken after Admitter.mu and never holds while
// another lock is taken.
package sharer
