package archiver

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

// LocalWriter saves the origins of its own instance, for the time in which no holder of the lease saves them. Its
// exported fields must be set.
type LocalWriter struct {
	Store   Store
	Log     *zap.Logger
	Metrics *Metrics

	mu sync.Mutex
	numbers
	slots map[int]slot // those that have not been deleted
}

// Save saves origins with an append of its own. It also deletes the slots whose streams have expired.
func (w *LocalWriter) Save(ctx context.Context, list []streamtracker.Origin) error {
	batch := storable(list)
	if len(batch) == 0 {
		return nil
	}
	changes := w.plan(batch, time.Now())
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := w.Store.Save(ctx, changes); err != nil {
		w.recordUnknown(changes)
		return err
	}
	w.Metrics.appends.Inc()
	w.Log.Info("origins of streams saved by this instance", zap.Int("streams", len(batch)), zap.Int("slots", w.recordSaved(changes)))
	return nil
}

// plan returns the changes of one append: a batch in a slot that was not used before, and expired slots.
func (w *LocalWriter) plan(batch Batch, now time.Time) map[int]Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slots == nil {
		w.slots = make(map[int]slot)
	}
	i := w.nextNumber()
	changes := map[int]Batch{i: batch}
	w.slots[i] = newSlot(batch, now)
	for i, s := range w.slots {
		if len(changes) <= maxDeletions && !now.Before(s.until) {
			changes[i] = nil
		}
	}
	return changes
}

// recordUnknown records that an append had no response.
func (w *LocalWriter) recordUnknown(changes map[int]Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, b := range changes {
		if b != nil {
			w.slots[i] = w.slots[i].withUnknownResult(time.Now())
		}
	}
}

// recordSaved drops the slots that were deleted, and returns how many are left.
func (w *LocalWriter) recordSaved(changes map[int]Batch) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.slots, func(i int, _ slot) bool {
		b, isChanged := changes[i]
		return isChanged && b == nil
	})
	return len(w.slots)
}

// Saved returns the origins that this instance has saved and that have not expired.
func (w *LocalWriter) Saved(now time.Time) (out []streamtracker.Origin) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.slots {
		for _, o := range s.batch {
			if left := o.TTL - now.Sub(s.savedAt); left > 0 {
				o.TTL = left
				out = append(out, o)
			}
		}
	}
	return out
}
