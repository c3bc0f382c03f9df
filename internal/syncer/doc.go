// Package syncer keeps the instances and the conductor in step.
//
// Each instance reports what it runs and what waits there to the conductor, at
// once when a request has to wait and otherwise now and then. It watches the
// conductor's view with a call that is answered when the view has changed. The
// conductor is found through the lease; it is the only instance that the others
// have to know.
//
// The view also names the instances that report. An instance that falls silent
// or says that it stops is left out, so that callers are not sent there.
package syncer
