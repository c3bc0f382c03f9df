// Package refresher keeps an instance's knowledge of the configuration young, through peers
// where the platform's log does not respond, and says when it is too old to be used.
//
// The load that it is for: an operator takes a key away while a part of the instances cannot
// read the log. Each instance must stop accepting the key within a bound, whatever it can
// reach, so it must know how old its knowledge is. And clients that send unknown keys many
// times a second: each of these keys may have been added a moment ago, but the flood must
// cost neither the log nor the peers more than a few reads.
package refresher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// interval is the time between two checks of the age.
	interval = 250 * time.Millisecond
	// askTimeout bounds one round of requests to peers.
	askTimeout = 400 * time.Millisecond
	// minLookUpInterval is the least time between two lookups of unknown keys.
	minLookUpInterval = 500 * time.Millisecond
)

// Refresher watches the age of this instance's knowledge. Age and Ask must be set before use.
type Refresher struct {
	// MaxAge is the age from which on the knowledge is stale. 0 means never.
	MaxAge time.Duration
	// AskAge is the age from which on peers are asked. 0 means half of MaxAge.
	AskAge time.Duration
	// Age returns the age of the knowledge. It reports false if nothing is known.
	Age func() (time.Duration, bool)
	// Ask asks peers for newer knowledge and applies it. It returns when they have responded
	// or ctx ends.
	Ask func(ctx context.Context)
	// OnStale, if set, is called when the knowledge becomes stale, and when it no longer is.
	OnStale func(isStale bool)
	Log     *zap.Logger

	mu           sync.Mutex
	lookUp       chan struct{} // closed at the end of the current lookup
	lastLookUp   time.Duration // start of the last one, by clocker.SinceStart
	hasLookedUp  bool
	wasStale     bool
	staleChanged time.Duration
}

// IsStale reports whether the knowledge is too old to be used.
func (r *Refresher) IsStale() bool {
	if r.MaxAge == 0 {
		return false
	}
	age, ok := r.Age()
	return !ok || age > r.MaxAge
}

// Run asks peers while the knowledge grows old, until ctx ends.
func (r *Refresher) Run(ctx context.Context) {
	if r.MaxAge == 0 {
		return
	}
	askAge := r.AskAge
	if askAge == 0 {
		askAge = r.MaxAge / 2
	}
	for ctx.Err() == nil {
		if age, ok := r.Age(); ok && age > askAge {
			actx, cancel := context.WithTimeout(ctx, askTimeout)
			r.Ask(actx)
			cancel()
		}
		r.noteStale()
		sleeper.Sleep(ctx, interval)
	}
}

// noteStale logs when the knowledge becomes stale and when it no longer is.
func (r *Refresher) noteStale() {
	isStale := r.IsStale()
	r.mu.Lock()
	hasChanged := isStale != r.wasStale
	since := clocker.SinceStart() - r.staleChanged
	if hasChanged {
		r.wasStale, r.staleChanged = isStale, clocker.SinceStart()
	}
	r.mu.Unlock()
	if !hasChanged {
		return
	}
	age, isKnown := r.Age()
	if isStale {
		r.Log.Warn("configuration too old to accept keys", zap.Duration("age", age), zap.Bool("known", isKnown), zap.Duration("most", r.MaxAge))
	} else {
		r.Log.Info("configuration recent enough to accept keys", zap.Duration("age", age), zap.Duration("after", since))
	}
	if r.OnStale != nil {
		r.OnStale(isStale)
	}
}

// LookUp asks peers for newer knowledge. Callers at the same time share one lookup, and a
// lookup that began less than minLookUpInterval ago counts as this one.
func (r *Refresher) LookUp(ctx context.Context) {
	r.mu.Lock()
	done := r.lookUp
	if done == nil {
		if now := clocker.SinceStart(); r.hasLookedUp && now-r.lastLookUp < minLookUpInterval {
			r.mu.Unlock()
			return
		}
		done = make(chan struct{})
		r.lookUp, r.lastLookUp, r.hasLookedUp = done, clocker.SinceStart(), true
		go r.runLookUp(done)
	}
	r.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// runLookUp runs one lookup, whoever waits for it.
func (r *Refresher) runLookUp(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	r.Ask(ctx)
	r.mu.Lock()
	r.lookUp = nil
	r.mu.Unlock()
	close(done)
}
