// Package stopper plans the planned stop of an instance: until when requests are accepted, which of
// them can still end, and when those that still run are answered.
//
// A stop has four moments, all counted from the time at which its signal may have been sent:
//
//   - Refuse: new requests are refused from then on. Before it, a request is taken if it is
//     expected to end by Answer.
//   - Answer: what still runs is answered, with a status that says whether it may have run. A stream
//     is cut after its last whole event.
//   - Close: the connections that are left are closed.
//   - Exit: what the process still does is given up. It is killed soon after.
//
// The expected duration of a request is measured by route. Where it is not known, or the
// request is of a route that has served too few, it is the time until the request's deadline. A
// stream without a deadline is taken then, since its caller resumes it elsewhere if it is cut.
//
// Requests are not handed on to a peer because of a stop. Their responses would pass through this
// instance, and end with it.
package stopper
