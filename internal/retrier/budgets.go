package retrier

import "sync"

// Budgets holds a budget for each service: the requests for one service permit no retries
// at another. Its zero value has the defaults. It is safe for concurrent use.
type Budgets struct {
	Ratio   float64
	Reserve float64
	// StartsEmpty says that the reserve has to be earned by first attempts. Otherwise each
	// restart of a process permits as many retries as the reserve.
	StartsEmpty bool

	mu        sync.Mutex
	byService map[string]*Budget
}

// Of returns the budget of a service.
func (b *Budgets) Of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byService[service]
	if s == nil {
		if b.byService == nil {
			b.byService = make(map[string]*Budget)
		}
		s = &Budget{Ratio: b.Ratio, Reserve: b.Reserve}
		if b.StartsEmpty {
			s.spent = s.reserve()
		}
		b.byService[service] = s
	}
	return s
}

// SetReserve changes the reserve of all budgets. It is called when the number of instances
// that share a budget changes.
func (b *Budgets) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Reserve = reserve
	for _, s := range b.byService {
		s.SetReserve(reserve)
	}
}
