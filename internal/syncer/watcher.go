package syncer

import peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"

// loadable identifies a model, or an adapter of it.
type loadable struct{ model, adapter string }

// watcher is the state of an instance that watches the view. The load that it is made
// for: hundreds of instances watch, adapters come and go dozens of times a second, and
// each change matters at once only to the few instances that have requests for it. The
// others may learn of it together with later changes.
type watcher struct {
	wake chan struct{}
	// isIdle reports that the last response is long enough ago that any change is
	// worth another one.
	isIdle bool
	// isUrgent reports that something has changed that the instance waits for or uses.
	isUrgent bool
	// requests holds what the instance has requests for, according to its last report,
	// and whether some of them wait.
	requests map[loadable]bool
}

// notify wakes the watcher if there is a reason to respond to it.
func (w *watcher) notify() {
	if !w.isUrgent && !w.isIdle {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// uses reports whether one of the changes concerns the instance: something was loaded
// that its requests wait for, or something was removed that it has requests for.
func (w *watcher) uses(changes viewChanges) bool {
	for l, isWaiting := range w.requests {
		if isWaiting && changes.loaded[l] || changes.removed[l] {
			return true
		}
	}
	return false
}

// requestsOf returns what an instance has requests for, and whether some of them wait.
// A request for an adapter also needs the model.
func requestsOf(r *peerv1.ReportRequest) map[loadable]bool {
	out := make(map[loadable]bool, len(r.GetUses()))
	for _, u := range r.GetUses() {
		isWaiting := u.GetWaiting() > 0
		for _, l := range []loadable{{u.GetModel(), u.GetAdapter()}, {u.GetModel(), ""}} {
			out[l] = out[l] || isWaiting
		}
	}
	return out
}
