// Package syncer exchanges state between the instances and the conductor, the
// instance that holds the lease and sends load and unload orders to the upstreams.
//
// Each instance reports its running and waiting requests to the conductor, at once
// when a request has to wait and otherwise periodically. It watches the conductor's
// view by long polling: the call returns when the view has changed. The lease holds
// the conductor's address, so an instance can join without knowing any other.
//
// The view also lists the instances that report. An instance that stops reporting,
// or reports that it is stopping, is removed from the list, so that callers are not
// directed to it.
//
// While there is no conductor, instances call members of the last view, neighbours that they have
// heard of from others, and seeds, and exchange losses of requests with them (package losstracker).
// While there is one, they send new losses to some members, since the view comes later. What they send
// and return is bounded for each instance, whatever the number of instances and of losses: when many
// upstreams crash together, each of them is a loss of many requests that crash nothing.
//
// Instances also read the platform's log through each other: a reader in the same
// data centre saves calls to the log, and while an instance cannot reach the
// platform it reads records and claims the lease through its peers.
package syncer
