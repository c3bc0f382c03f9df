// Package retrier bounds retries by a budget that is a share of first tries.
//
// Without a bound, retries multiply the load at the very moment when upstreams
// fail. Every first try earns a part of a retry; a retry spends a whole one.
// A small reserve lets an instance with little traffic retry too.
package retrier

import "sync"

// Defaults of a Budget.
const (
	// DefaultShare is the part of a retry that a first try earns.
	DefaultShare = 0.1
	// DefaultReserve is the most retries that are saved up.
	DefaultReserve = 10.0
)

// Budget bounds retries. Its zero value has the default share and a full reserve.
type Budget struct {
	Share   float64
	Reserve float64

	mu     sync.Mutex
	spent  float64 // retries spent and not earned back
	first  uint64
	repeat uint64
}

// First notes a first try.
func (b *Budget) First() {
	share := b.Share
	if share == 0 {
		share = DefaultShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first++
	b.spent = max(0, b.spent-share)
}

// SetReserve changes the reserve, when other instances come or go that share
// one budget with this one.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Reserve = reserve
}

// Retry reports whether a retry is within the budget, and spends it.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reserve := b.Reserve
	if reserve == 0 {
		reserve = DefaultReserve
	}
	if b.spent+1 > reserve {
		return false
	}
	b.spent++
	b.repeat++
	return true
}

// Counts returns the first tries and the retries so far.
func (b *Budget) Counts() (first, retries uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first, b.repeat
}
