package stopper

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// numSamples is the number of the last durations that are kept for each route, and minSamples
	// how many are needed for an estimate.
	numSamples, minSamples = 64, 8
	// percentile of the kept durations is the estimate, in hundredths. A request that is
	// refused is served elsewhere; one that does not end in time may have run for nothing.
	percentile = 95
	// estimateInterval is the number of durations after which the estimate is renewed.
	estimateInterval = 8
	// maxRoutes bounds the routes whose durations are kept.
	maxRoutes = 512
)

// Durations measures how long requests run, by route. Its zero value is ready to use.
type Durations struct {
	mu     sync.Mutex
	routes *simplelru.LRU[string, *samples]
}

type samples struct {
	took     [numSamples]time.Duration
	n        int           // recorded so far
	estimate time.Duration // 0 until minSamples are recorded
}

// Record records how long a request of a route has run.
func (d *Durations) Record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes, _ = simplelru.NewLRU[string, *samples](maxRoutes, nil) // fails only for sizes below 1
	}
	s, ok := d.routes.Get(route)
	if !ok {
		s = &samples{}
		d.routes.Add(route, s)
	}
	s.took[s.n%numSamples] = took
	s.n++
	if s.n >= minSamples && (s.n-minSamples)%estimateInterval == 0 {
		took := slices.Clone(s.took[:min(s.n, numSamples)])
		slices.Sort(took)
		s.estimate = max(1, took[(len(took)*percentile-1)/100])
	}
}

// Expect returns how long a request of a route is expected to run, 0 if that is not known.
func (d *Durations) Expect(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		return 0
	}
	s, ok := d.routes.Get(route)
	if !ok {
		return 0
	}
	return s.estimate
}
