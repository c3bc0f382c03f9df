package dispatcher

import (
	"sync"

	"github.com/primrosedrift/primrosedrift/internal/applier"
)

// maxOutcomeWaiters is the maximum number of requests that wait for the outcome
// of an earlier request with the same key.
const maxOutcomeWaiters = 4096

// outcomeWaiters wakes the requests that wait for the outcome of a key. Its zero
// value has no waiters.
type outcomeWaiters struct {
	mu         sync.Mutex
	byKey      map[applier.IntentKey]*keyWaiters
	numWaiters int
}

// keyWaiters are the requests that wait for the outcome of one key.
type keyWaiters struct {
	changed    chan struct{}
	numWaiters int
}

// join returns a channel that is closed at the next outcome of the key, or nil
// if maxOutcomeWaiters requests wait. The caller must call leave.
func (o *outcomeWaiters) join(k applier.IntentKey) (changed <-chan struct{}, leave func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.numWaiters >= maxOutcomeWaiters {
		return nil, func() {}
	}
	if o.byKey == nil {
		o.byKey = make(map[applier.IntentKey]*keyWaiters)
	}
	w := o.byKey[k]
	if w == nil {
		w = &keyWaiters{changed: make(chan struct{})}
		o.byKey[k] = w
	}
	w.numWaiters++
	o.numWaiters++
	return w.changed, func() { o.leave(k, w) }
}

func (o *outcomeWaiters) leave(k applier.IntentKey, w *keyWaiters) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.numWaiters--
	w.numWaiters--
	if w.numWaiters == 0 && o.byKey[k] == w {
		delete(o.byKey, k)
	}
}

// wake wakes all requests that wait for the outcome of a key.
func (o *outcomeWaiters) wake(k applier.IntentKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.byKey[k]; w != nil {
		close(w.changed)
		delete(o.byKey, k)
	}
}
