// Package drainer closes an HTTP server without cutting off requests that have arrived.
//
// http.Server.Shutdown closes its listener and all idle connections at once. That cuts off requests
// on connections that the kernel has accepted and the server has not, and requests that have arrived
// on a kept connection and are not read yet. A Drainer closes in three steps:
//
//   - The kernel stops accepting connections, and those that it has accepted are served.
//   - A connection without a request is closed when nothing has arrived on it for a while. A
//     request that is read on it meanwhile is not handled.
//   - What is left when the context ends is closed.
//
// The handler must state in its responses that the connection closes.
package drainer
