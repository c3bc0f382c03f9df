package dispatcher

import (
	"sync"

	"github.com/primrosedrift/primrosedrift/internal/folder"
)

// maxOutcomeWaiters bounds the requests that wait for the outcome of an
// earlier one with their key.
const maxOutcomeWaiters = 4096

// outcomes wakes the requests that wait for the outcome of a key. Its zero
// value has none.
type outcomes struct {
	mu      sync.Mutex
	waiting map[folder.IntentKey]*outcomeWait
	waiters int
}

type outcomeWait struct {
	changed chan struct{}
	waiters int
}

// join returns a channel that is closed at the next outcome of the key, nil if
// too many wait. The caller must call leave.
func (o *outcomes) join(k folder.IntentKey) (changed <-chan struct{}, leave func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiters >= maxOutcomeWaiters {
		return nil, func() {}
	}
	if o.waiting == nil {
		o.waiting = make(map[folder.IntentKey]*outcomeWait)
	}
	w := o.waiting[k]
	if w == nil {
		w = &outcomeWait{changed: make(chan struct{})}
		o.waiting[k] = w
	}
	w.waiters++
	o.waiters++
	return w.changed, func() { o.leave(k, w) }
}

func (o *outcomes) leave(k folder.IntentKey, w *outcomeWait) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiters--
	w.waiters--
	if w.waiters == 0 && o.waiting[k] == w {
		delete(o.waiting, k)
	}
}

// wake ends the waits for a key.
func (o *outcomes) wake(k folder.IntentKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.waiting[k]; w != nil {
		close(w.changed)
		delete(o.waiting, k)
	}
}
