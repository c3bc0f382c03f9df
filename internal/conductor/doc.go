// Package conductor gives the orders that load and unload models and adapters.
//
// One instance, the holder of the lease, gives all orders. It joins what all
// instances report with what the upstreams hold, asks the arranger for moves,
// and carries each out: one order at a time at an upstream.
//
// The rules:
//
//   - The lease is looked at right before each order.
//   - Each order names the incarnation that it is for and the number of orders
//     that the upstream must have accepted before. So an order that is carried
//     out late, after another one, is void.
//   - An order without an answer is sent again, with the same number, until
//     there is an answer. Either the first was carried out, and the number says
//     so, or the second takes its place. Until then the upstream gets no other.
//   - What an upstream holds is changed here when an order is accepted, and a
//     load counts as done when the upstream says so.
package conductor
