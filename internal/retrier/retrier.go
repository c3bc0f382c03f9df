// Package retrier limits retries with a budget proportional to first attempts.
//
// Without a limit, retries multiply the load just when upstreams fail. Each first
// attempt adds a fraction of a retry to the budget, and each retry takes a whole
// one from it. A small reserve also lets an instance with little traffic retry.
package retrier

import "sync"

// Defaults of a Budget.
const (
	// DefaultRatio is the fraction of a retry that a first attempt adds.
	DefaultRatio = 0.1
	// DefaultReserve is the maximum number of saved retries.
	DefaultReserve = 10.0
)

// Budget limits retries. Its zero value has the defaults and a full reserve. It
// is safe for concurrent use.
type Budget struct {
	Ratio   float64
	Reserve float64

	mu            sync.Mutex
	spent         float64 // retries not yet offset by first attempts
	firstAttempts uint64
	retries       uint64
}

// Deposit counts a first attempt, which adds Ratio to the budget.
func (b *Budget) Deposit() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts++
	b.spent = max(0, b.spent-ratio)
}

// SetReserve changes the reserve. It is called when the number of instances
// that share one budget changes.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Reserve = reserve
	b.spent = min(b.spent, b.reserve())
}

// TryWithdraw reports whether the budget allows a retry, and takes it from the
// budget if so.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.reserve() {
		return false
	}
	b.spent++
	b.retries++
	return true
}

func (b *Budget) reserve() float64 {
	if b.Reserve == 0 {
		return DefaultReserve
	}
	return b.Reserve
}

// Counts returns the numbers of first attempts and of retries so far.
func (b *Budget) Counts() (firstAttempts, retries uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstAttempts, b.retries
}
