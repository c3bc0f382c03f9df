// Package keeper shares one replicated state machine, an applier.State, between the
// goroutines of an instance.
//
// One goroutine applies batches of records in log order. All others read the state
// through View, or wait on Changed. Subscribers are called with the result of every
// record after the state includes it, in log order and without holding the lock.
package keeper

import (
	"sync"

	"github.com/primrosedrift/primrosedrift/internal/applier"
)

// Keeper guards a state with a lock. Its zero value holds the state before the
// first record.
type Keeper struct {
	mu         sync.RWMutex
	state      applier.State
	changed    chan struct{}
	isReplaced bool

	subscribersMu sync.Mutex
	subscribers   []func([]applier.Event)
}

// Subscribe calls f with the events of every batch that is applied from now on.
func (k *Keeper) Subscribe(f func([]applier.Event)) {
	k.subscribersMu.Lock()
	defer k.subscribersMu.Unlock()
	k.subscribers = append(k.subscribers, f)
}

// Apply applies the batch of records at the offset and calls the subscribers with
// its events. The state does not change if the offset is not the next one.
func (k *Keeper) Apply(offset uint64, payload []byte) {
	k.mu.Lock()
	events := k.state.Apply(offset, payload)
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	k.mu.Unlock()

	k.subscribersMu.Lock()
	subscribers := k.subscribers
	k.subscribersMu.Unlock()
	for _, f := range subscribers {
		f(events)
	}
}

// Replace replaces the state with s if s includes more of the log, and reports
// whether it did. Subscribers are not called for the records that are skipped. Apply
// must not run at the same time.
func (k *Keeper) Replace(s *applier.State) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.NextOffset <= k.state.NextOffset {
		return false
	}
	k.state = *s
	k.isReplaced = true
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	return true
}

// IsReplaced reports whether Replace has ever replaced the state.
func (k *Keeper) IsReplaced() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.isReplaced
}

// View calls f with the state. f must not retain or modify the state, and must not
// call the keeper.
func (k *Keeper) View(f func(*applier.State)) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	f(&k.state)
}

// Changed returns a channel that is closed at the next change of the state.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.changed
}

// IsHalted reports whether the state has halted at a rules version that this program
// does not support.
func (k *Keeper) IsHalted() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.IsHalted()
}

// RulesVersion returns the active version of the rules by which records are
// applied.
func (k *Keeper) RulesVersion() uint32 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.RulesVersion()
}

// NextOffset returns the first offset that the state does not include.
func (k *Keeper) NextOffset() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.NextOffset
}
