// Package linkwatcher finds out whether an instance has lost its links to the upstreams.
//
// To a single instance, an upstream that has ended and one that it does not reach look the same.
// But if connections to several upstreams fail, and those to a few others that are tried fail as
// well, the links of the instance are cut. The rules:
//
//   - Only new connections count. Those that exist may live on while new ones fail, or hang
//     while new ones would work.
//   - Connections to two upstreams that fail, or three to one, without one that succeeds in
//     between, are a doubt. It is settled by a round of connections to others.
//   - While the links are cut, a few connections are tried at intervals. The links are back
//     when at least half of such a round succeeds.
package linkwatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// doubtThreshold is the number of upstreams whose connections must fail for a doubt, and
	// failureThreshold that of connections, if all are to one upstream.
	doubtThreshold   = 2
	failureThreshold = 3
	// maxSettleTime bounds how long a request waits until a doubt is settled.
	maxSettleTime = 450 * time.Millisecond
	// roundSize is the number of connections in a round.
	roundSize = 4
	// roundInterval is the least time between the starts of two rounds.
	roundInterval = 250 * time.Millisecond
	// failureTTL is how long a failed connection counts.
	failureTTL = 3 * time.Second
)

// Watcher watches the connections of one instance. Its exported fields must be set before use.
// The links of a nil Watcher are never cut.
type Watcher struct {
	// Addresses returns the addresses of all upstreams.
	Addresses func() []string
	// Dial opens a connection to an address and closes it. Its result must not be recorded.
	Dial func(ctx context.Context, address string) error
	// OnChange, if set, is called when the links were cut or are back.
	OnChange func(isCut bool)
	Log      *zap.Logger

	mu          sync.Mutex
	failedAt    map[string]time.Time // since the last connection that succeeded
	numFailures int                  // since then
	succeededAt time.Time
	isCut       bool
	cut         chan struct{} // closed while the links are cut
	settled     chan struct{} // closed at the end of the present or next round
	wake        chan struct{}
}

// IsCut reports whether the links to the upstreams are cut.
func (w *Watcher) IsCut() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isCut
}

// IsDoubtful reports whether they are cut or may be, so that failures of connections say
// nothing about the upstreams.
func (w *Watcher) IsDoubtful() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isCut || w.hasDoubtLocked()
}

func (w *Watcher) hasDoubtLocked() bool {
	return len(w.failedAt) >= doubtThreshold || w.numFailures >= failureThreshold
}

// Settle waits until a doubt is settled, for a bounded time.
func (w *Watcher) Settle(ctx context.Context) {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.initLocked()
	settled, hasDoubt := w.settled, !w.isCut && w.hasDoubtLocked()
	w.mu.Unlock()
	if !hasDoubt {
		return
	}
	timer := time.NewTimer(maxSettleTime)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Cut returns a channel that is closed when the links are cut.
func (w *Watcher) Cut() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.initLocked()
	return w.cut
}

// Record records the result of a new connection that was opened for a request.
func (w *Watcher) Record(address string, err error, now time.Time) {
	if errors.Is(err, context.Canceled) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.initLocked()
	if err == nil {
		w.clearLocked()
		w.succeededAt = now
		return
	}
	for a, at := range w.failedAt {
		if now.Sub(at) > failureTTL {
			delete(w.failedAt, a)
		}
	}
	w.failedAt[address] = now
	w.numFailures++
	if w.hasDoubtLocked() {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (w *Watcher) initLocked() {
	if w.failedAt == nil {
		w.failedAt, w.cut, w.wake = make(map[string]time.Time), make(chan struct{}), make(chan struct{}, 1)
		w.settled = make(chan struct{})
	}
}

func (w *Watcher) clearLocked() {
	clear(w.failedAt)
	w.numFailures = 0
}

// Run settles doubts and finds the end of a cut, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.mu.Lock()
	w.initLocked()
	w.mu.Unlock()
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		if w.IsDoubtful() {
			w.round(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if w.IsCut() {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
	}
}

// round tries some connections and judges by their results.
func (w *Watcher) round(ctx context.Context) {
	began, targets := time.Now(), w.targets()
	if len(targets) == 0 {
		return
	}
	results := make([]error, len(targets))
	var wg sync.WaitGroup
	for i, address := range targets {
		wg.Go(func() { results[i] = w.Dial(ctx, address) })
	}
	wg.Wait()
	if ctx.Err() != nil {
		return
	}
	numGood := 0
	for _, err := range results {
		if err == nil {
			numGood++
		}
	}
	w.judge(numGood, len(targets), began)
}

// judge applies the result of a round that began at a time.
func (w *Watcher) judge(numGood, numTried int, began time.Time) {
	w.mu.Lock()
	w.initLocked()
	wasCut := w.isCut
	switch {
	case !wasCut && (numGood > 0 || w.succeededAt.After(began)):
		w.clearLocked()
	case !wasCut:
		w.isCut = true
		close(w.cut)
	case wasCut && 2*numGood >= numTried:
		w.isCut = false
		w.cut = make(chan struct{})
		w.clearLocked()
	}
	close(w.settled)
	w.settled = make(chan struct{})
	isCut := w.isCut
	w.mu.Unlock()
	if isCut == wasCut {
		return
	}
	if isCut {
		w.Log.Warn("links to upstreams lost", zap.Int("tried", numTried))
	} else {
		w.Log.Info("links to upstreams regained", zap.Int("tried", numTried), zap.Int("connected", numGood))
	}
	if w.OnChange != nil {
		w.OnChange(isCut)
	}
}

// targets returns the upstreams to try: those to which no connection has failed first.
func (w *Watcher) targets() []string {
	all := w.Addresses()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(all, func(a, b string) int { return w.rankLocked(a) - w.rankLocked(b) })
	return all[:min(len(all), roundSize)]
}

func (w *Watcher) rankLocked(address string) int {
	if _, hasFailed := w.failedAt[address]; hasFailed {
		return 1
	}
	return 0
}
