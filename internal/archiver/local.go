package archiver

import (
	"context"
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
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next == 0 {
		// No process uses a slot of another one, since it does not know what is saved there.
		w.next, w.slots = maxSlots+rand.IntN(localSlots), make(map[int]slot)
	}
	now := time.Now()
	changes := map[int]Batch{w.next: batch}
	w.slots[w.next] = newSlot(batch, now)
	w.next++ // also if the call fails, since it may be carried out later
	for i, s := range w.slots {
		if len(changes) <= maxDeletions && !now.Before(s.until) {
			changes[i] = nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := w.Store.Save(ctx, changes); err != nil {
		return err
	}
	for i, b := range changes {
		if b == nil {
			delete(w.slots, i)
		}
	}
	w.Metrics.appends.Inc()
	w.Log.Info("origins of streams saved by this instance", zap.Int("streams", len(batch)), zap.Int("slots", len(w.slots)))
	return nil
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
