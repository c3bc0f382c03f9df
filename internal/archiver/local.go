package archiver

import (
	"context"
	"maps"
	"math/rand/v2"
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
	// next is the slot of the next append, 0 before the first.
	next  int
	slots map[int]slot // by number; those that have not been deleted
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
	if w.next == 0 {
		// No process uses a slot of another one, since it does not know what is saved there.
		w.next, w.slots = maxSlots+rand.IntN(localSlots), make(map[int]slot)
	}
	changes := map[int]Batch{w.next: batch}
	w.slots[w.next] = newSlot(batch, now)
	w.next++ // also if the call fails, since it may be carried out later
	for i, s := range w.slots {
		if len(changes) <= maxDeletions && !now.Before(s.until) {
			changes[i] = nil
		}
	}
	return changes
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
