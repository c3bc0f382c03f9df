package archiver

import (
	"context"
	"maps"
	"slices"
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

	// The rest is used by Run alone.
	numbers
	slots map[int]slot // nil if not known
	// sharedAt is when slots of earlier builds were last deleted.
	sharedAt time.Time
}

type pendingCall struct {
	origins []streamtracker.Origin
	done    chan error
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
	if derr := w.deleteShared(ctx, time.Now()); err == nil && derr != nil {
		w.Log.Info("origins of streams of earlier builds not deleted", logger.Error(derr))
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
		changes[w.nextNumber()] = newSlot(all[:n:n], now)
		all = all[n:]
	}
	if len(changes) > 0 {
		w.deleteExpired(changes, now)
	}
	return w.apply(ctx, changes)
}

// deleteExpired adds the deletions of slots whose streams have expired and, if there are too many slots, of those
// that expire first.
func (w *Writer) deleteExpired(changes map[int]slot, now time.Time) {
	excess := len(w.slots) + len(changes) - maxSlots
	n := 0
	for i, s := range w.slots {
		if i >= firstNumber && !now.Before(s.until) && n < maxDeletions {
			changes[i] = slot{}
			n++
		}
	}
	if n >= excess {
		return
	}
	kept := slices.SortedFunc(maps.Keys(w.slots), func(i, j int) int { return w.slots[i].until.Compare(w.slots[j].until) })
	for _, i := range kept {
		if _, isChanged := changes[i]; i >= firstNumber && !isChanged && n < min(excess, maxDeletions) {
			changes[i] = slot{}
			n++
		}
	}
}

// deleteShared deletes the expired slots of earlier builds, whose instances use numbers again. The deletion may be
// carried out late, so it is made under the condition that the log has not changed since the slots were read.
func (w *Writer) deleteShared(ctx context.Context, now time.Time) error {
	isExpired := func(i int, s slot) bool { return i < firstNumber && !now.Before(s.until) }
	isAny := false
	for i, s := range w.slots {
		isAny = isAny || isExpired(i, s)
	}
	if !isAny || now.Sub(w.sharedAt) < sharedInterval {
		return nil
	}
	w.sharedAt = now
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	saved, _, end, err := w.Store.Load(ctx)
	if err != nil {
		return err
	}
	var list []int
	for i, s := range w.slots {
		switch b := saved[i]; {
		case !isExpired(i, s) || len(list) == maxDeletions:
		case !slices.Equal(b, s.batch):
			w.slots[i] = newSlot(b, now) // an instance of an earlier build has used the number since
		default:
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return nil
	}
	if err := w.Store.Delete(ctx, list, end); err != nil {
		return err
	}
	for _, i := range list {
		delete(w.slots, i)
	}
	return nil
}

// load reads the slots if they are not known. Their ages are not known, so each counts as new.
func (w *Writer) load(ctx context.Context) error {
	if w.slots != nil {
		return nil
	}
	lctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	saved, malformed, _, err := w.Store.Load(lctx)
	if err != nil {
		return err
	}
	logMalformed(w.Log, malformed)
	w.slots = make(map[int]slot)
	for i, b := range saved {
		w.slots[i] = newSlot(b, time.Now())
	}
	for _, err := range malformed {
		if m := (MalformedError{}); errors.As(err, &m) {
			w.slots[m.Slot] = malformedSlot(time.Now())
		}
	}
	return nil
}

// logMalformed logs records that cannot be read.
func logMalformed(log *zap.Logger, malformed []error) {
	for _, err := range malformed {
		log.Warn("saved origins of streams not read", logger.Error(err))
	}
}

// saveAgain saves the slots that have not expired.
func (w *Writer) saveAgain(ctx context.Context, now time.Time) error {
	changes := make(map[int]slot)
	for i, s := range w.slots {
		if !now.Before(s.until) || len(s.batch) == 0 {
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
	}
	sctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := w.Store.Save(sctx, out)
	for i, s := range changes {
		switch {
		case len(s.batch) > 0 && err != nil:
			w.slots[i] = s.withUnknownResult(time.Now())
		case len(s.batch) > 0:
			w.slots[i] = s
		case err == nil:
			delete(w.slots, i)
		}
	}
	if err != nil {
		if len(w.slots) > maxSlots {
			w.slots = nil // they grow with each append of an outage; the next load has those that are saved
		}
		return errors.Wrapf(err, "slots %v", slices.Sorted(maps.Keys(out)))
	}
	w.Metrics.appends.Inc()
	w.Log.Debug("origins of streams saved", zap.Int("streams", numOrigins), zap.Int("slots", len(w.slots)), zap.Ints("changed", slices.Sorted(maps.Keys(out))))
	return nil
}
