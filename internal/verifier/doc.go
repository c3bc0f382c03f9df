// Package verifier finds out whether a connection leads to the process that is registered.
//
// An upstream may restart under its id with another version of its software. Its new
// registration is read later, or much later while the platform's log does not respond. No
// response to a request says which process has sent it, but the state of an upstream says when
// its process started.
//
// A registered process that lives after a connection to its upstream was opened is the process
// that the connection leads to: one process at a time has an id. So one state, requested
// afterwards, is proof for all connections that were open by then.
//
// A process that has ended states nothing. An upstream that does not respond counts as proven if no
// other process of its id has registered within the time in which each registers, although
// the registrations could be read all along. A process that could not reach the log, and that nobody
// could ask before it ended, would be taken for the registered one.
package verifier
