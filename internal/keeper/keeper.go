// Package keeper shares one folded state between the goroutines of an instance.
//
// One goroutine applies batches in the order of the log. All others read
// through View, or wait on Changed. Subscribers hear the fate of every record
// after the state includes it, in the order of the log, and without the lock.
package keeper

import (
	"sync"

	"github.com/primrosedrift/primrosedrift/internal/folder"
)

// Keeper guards a state. Its zero value keeps the state before the first record.
type Keeper struct {
	mu      sync.RWMutex
	state   folder.State
	changed chan struct{}
	// replaced says that the state was once taken over as a whole.
	replaced bool

	subMu sync.Mutex
	subs  []func([]folder.Event)
}

// Subscribe calls f with the events of every batch that is applied from now on.
func (k *Keeper) Subscribe(f func([]folder.Event)) {
	k.subMu.Lock()
	defer k.subMu.Unlock()
	k.subs = append(k.subs, f)
}

// Apply folds a batch and tells the subscribers.
func (k *Keeper) Apply(offset uint64, payload []byte) {
	k.mu.Lock()
	events := k.state.Apply(offset, payload)
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	k.mu.Unlock()

	k.subMu.Lock()
	subs := k.subs
	k.subMu.Unlock()
	for _, f := range subs {
		f(events)
	}
}

// Replace takes over a state that includes more of the log and reports whether
// it did. Subscribers hear nothing of the records that were passed over. Apply
// must not run meanwhile.
func (k *Keeper) Replace(s *folder.State) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Next <= k.state.Next {
		return false
	}
	k.state = *s
	k.replaced = true
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	return true
}

// IsReplaced reports whether the state was once taken over as a whole.
func (k *Keeper) IsReplaced() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.replaced
}

// View calls f with the state. f must not keep it or change it, and must not
// call the keeper again.
func (k *Keeper) View(f func(*folder.State)) {
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

// IsHalted reports whether the state stopped at rules that this program does not know.
func (k *Keeper) IsHalted() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.IsHalted()
}

// Rules returns the active version of the fold's rules.
func (k *Keeper) Rules() uint32 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Rules()
}

// Next returns the first offset that the state does not include.
func (k *Keeper) Next() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.state.Next
}
