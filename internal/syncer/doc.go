// Package syncer exchanges state between the instances and the conductor.
//
// Each instance reports its running and waiting requests to the conductor, at once
// when a request has to wait and otherwise periodically. It watches the conductor's
// view by long polling: the call returns when the view has changed. Instances find
// the conductor through the lease, so it is the only instance whose address the
// others need.
//
// The view also lists the instances that report. An instance that stops reporting,
// or reports that it is stopping, is removed from the list, so that callers are not
// directed to it.
package syncer
