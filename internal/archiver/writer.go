package archiver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

const (
	// saveInterval is the least time between two appends, 20 a second. Streams that began in the
	// last two intervals before all instances end are lost.
	saveInterval = 50 * time.Millisecond
	// storeTimeout bounds a call to the log.
	storeTimeout = 800 * time.Millisecond
	// maxPending bounds the origins that wait at the holder. Their senders keep what is
	// refused.
	maxPending = 1 << 14
	// maxBatchesPerSave bounds the batches in one append to some 800 kB.
	maxBatchesPerSave = 4
)

// errFull is returned while too many origins wait.
var errFull = errors.New("too many origins wait to be saved")

// Writer saves origins while its instance holds the lease. Its exported fields must be set.
type Writer struct {
	Store    Store
	IsHolder func() bool
	Log      *zap.Logger
	Metrics  *Metrics

	mu         sync.Mutex
	pending    []pendingCall
	numPending int
	wake       chan struct{}

	isRestored atomic.Bool
	slots      map[int]slot // used by Run alone; nil if not known
}

type pendingCall struct {
	origins []streamtracker.Origin
	done    chan error
}

// slot is a saved batch and when its last stream expires.
type slot struct {
	batch          Batch
	savedAt, until time.Time
}

// Save saves origins with the next append and waits for it.
func (w *Writer) Save(ctx context.Context, list []streamtracker.Origin) error {
	if !w.IsHolder() {
		return ErrNotHolder
	}
	call := pendingCall{storable(list), make(chan error, 1)}
	w.mu.Lock()
	if w.numPending+len(call.origins) > maxPending {
		w.mu.Unlock()
		return errFull
	}
	w.pending = append(w.pending, call)
	w.numPending += len(call.origins)
	w.mu.Unlock()
	w.notify()
	select {
	case err := <-call.done:
		return err
	case <-ctx.Done():
		return ctx.Err() // it may still be saved, which does no harm
	}
}

// RecordRestore makes the writer save again what it knows to be saved: the log came back from an
// older copy.
func (w *Writer) RecordRestore() {
	w.isRestored.Store(true)
	w.notify()
}

func (w *Writer) notify() {
	select {
	case w.wakeup() <- struct{}{}:
	default:
	}
}

func (w *Writer) wakeup() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

// Run saves until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wakeup():
		}
		w.round(ctx)
		sleeper.Sleep(ctx, saveInterval)
	}
}

// round saves what waits.
func (w *Writer) round(ctx context.Context) {
	calls := w.take()
	err := w.save(ctx, calls)
	if err != nil && len(calls) > 0 {
		w.Log.Warn("origins of streams not saved", zap.Int("calls", len(calls)), logger.Error(err))
	}
	for _, c := range calls {
		c.done <- err
	}
}

// take removes calls for one append.
func (w *Writer) take() []pendingCall {
	w.mu.Lock()
	n, numOrigins := 0, 0
	for n < len(w.pending) && (n == 0 || numOrigins+len(w.pending[n].origins) <= maxBatchesPerSave*MaxBatch) {
		numOrigins += len(w.pending[n].origins)
		n++
	}
	calls := w.pending[:n:n]
	w.pending = w.pending[n:]
	w.numPending -= numOrigins
	isMore := len(w.pending) > 0
	w.mu.Unlock()
	if isMore {
		w.notify()
	}
	return calls
}

func (w *Writer) save(ctx context.Context, calls []pendingCall) error {
	if !w.IsHolder() {
		w.slots = nil // another holder may write
		return ErrNotHolder
	}
	if err := w.load(ctx); err != nil {
		return err
	}
	now := time.Now()
	if w.isRestored.Swap(false) {
		if err := w.saveAgain(ctx, now); err != nil {
			w.isRestored.Store(true)
			return err
		}
	}
	var all Batch
	for _, c := range calls {
		all = append(all, c.origins...)
	}
	changes := make(map[int]slot)
	for len(all) > 0 {
		n := min(len(all), MaxBatch)
		changes[w.freeSlot(changes, now)] = newSlot(all[:n:n], now)
		all = all[n:]
	}
	if len(changes) > 0 {
		w.deleteExpired(changes, now)
	}
	return w.apply(ctx, changes)
}

// deleteExpired adds the deletions of the slots of single processes whose streams have expired.
func (w *Writer) deleteExpired(changes map[int]slot, now time.Time) {
	n := 0
	for i, s := range w.slots {
		if i >= maxSlots && !now.Before(s.until) && n < maxDeletions {
			changes[i] = slot{}
			n++
		}
	}
}

// load reads the slots if they are not known. Their ages are not known, so each counts as new.
func (w *Writer) load(ctx context.Context) error {
	if w.slots != nil {
		return nil
	}
	lctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	saved, malformed, err := w.Store.Load(lctx)
	if err != nil {
		return err
	}
	logMalformed(w.Log, malformed)
	w.slots = make(map[int]slot)
	for i, b := range saved {
		w.slots[i] = newSlot(b, time.Now())
	}
	return nil
}

// logMalformed logs records that cannot be read. Their slots are written again.
func logMalformed(log *zap.Logger, malformed []error) {
	for _, err := range malformed {
		log.Warn("saved origins of streams not read", logger.Error(err))
	}
}

// saveAgain saves the slots that have not expired.
func (w *Writer) saveAgain(ctx context.Context, now time.Time) error {
	changes := make(map[int]slot)
	for i, s := range w.slots {
		if !now.Before(s.until) {
			continue
		}
		changes[i] = s
		if len(changes) == maxBatchesPerSave {
			if err := w.apply(ctx, changes); err != nil {
				return err
			}
			changes = make(map[int]slot)
		}
	}
	return w.apply(ctx, changes)
}

// apply saves slots.
func (w *Writer) apply(ctx context.Context, changes map[int]slot) error {
	if len(changes) == 0 {
		return nil
	}
	out, numOrigins := make(map[int]Batch, len(changes)), 0
	for i, s := range changes {
		out[i] = s.batch
		numOrigins += len(s.batch)
		if len(s.batch) > 0 {
			w.slots[i] = s // also if the call fails, since it may have been carried out
		}
	}
	sctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := w.Store.Save(sctx, out); err != nil {
		return err
	}
	for i, b := range out {
		if len(b) == 0 {
			delete(w.slots, i)
		}
	}
	w.Metrics.appends.Inc()
	w.Log.Debug("origins of streams saved", zap.Int("streams", numOrigins), zap.Int("slots", len(w.slots)))
	return nil
}

// freeSlot returns the first slot whose streams have expired, or a new one. If there are too many
// it returns the one that expires first.
func (w *Writer) freeSlot(taken map[int]slot, now time.Time) int {
	first, firstUntil := 0, time.Time{}
	for i := range maxSlots {
		if _, isTaken := taken[i]; isTaken {
			continue
		}
		s, isUsed := w.slots[i]
		if !isUsed || !now.Before(s.until) {
			return i
		}
		if firstUntil.IsZero() || s.until.Before(firstUntil) {
			first, firstUntil = i, s.until
		}
	}
	return first
}

func newSlot(b Batch, now time.Time) slot {
	longest := time.Duration(0)
	for _, o := range b {
		longest = max(longest, min(o.TTL, streamtracker.StreamMemory))
	}
	return slot{b, now, now.Add(longest)}
}
