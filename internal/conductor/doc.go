// Package conductor sends the orders that load and unload models and adapters on
// upstreams.
//
// One instance, the holder of the lease, sends all orders. It combines the
// reports of all instances with the state of the upstreams, calls the arranger
// for moves, and executes each, one order at a time for an upstream.
//
// The rules:
//
//   - The lease is checked right before each order.
//   - Each order names the incarnation that it is for and the number of orders
//     that the upstream must have accepted before. So an order that arrives late,
//     after another one, has no effect.
//   - An order without a response is sent again, with the same number, until
//     there is a response. Either the first one took effect, and the number shows
//     that, or the second replaces it. Until then the upstream gets no other.
//   - If there is no response for too long, the move is aborted. The upstream then
//     gets no order until it has reported its state.
//   - The conductor updates its state of an upstream when the upstream accepts an
//     order. A load is done when the upstream reports it; for a load from disk or
//     host memory, when the expected time is over.
package conductor
