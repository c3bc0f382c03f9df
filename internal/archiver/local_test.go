package archiver

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

func newLocalWriter(l *fakeLog) *LocalWriter {
	return &LocalWriter{Store: l.store(), Log: zap.NewNop(), Metrics: newMetrics()}
}

// TestOriginsAreSavedWithoutAHolder guards against origins that only processes know, while no holder of the lease
// saves them and the log would.
func TestOriginsAreSavedWithoutAHolder(t *testing.T) {
	for _, tt := range []struct {
		name      string
		hasHolder bool
	}{
		{"no holder responds", false},
		{"the holder cannot save", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				l := &fakeLog{}
				numSent := 0
				s := &Sender{
					Send:         func(context.Context, []streamtracker.Origin) error { numSent++; return errors.New("refused") },
					HasHolder:    func() bool { return tt.hasHolder },
					SaveLocally:  newLocalWriter(l).Save,
					NumInstances: func() int { return 6 }, Log: zap.NewNop(), Metrics: newMetrics(),
				}
				go s.Run(ctx)
				require.NoError(t, s.Save(ctx, origin("a", time.Minute)))
				require.True(t, s.IsSaving())
				require.Equal(t, []string{"a"}, l.streams())
				require.Equal(t, tt.hasHolder, numSent > 0)
				l.mu.Lock()
				l.err = errors.New("outage")
				l.mu.Unlock()
				short, cancelShort := context.WithTimeout(ctx, time.Second)
				require.Error(t, s.Save(short, origin("b", time.Minute)))
				cancelShort()
				require.False(t, s.IsSaving())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestLocalSlotsAreDeleted guards against a log that grows with each holder that ends.
func TestLocalSlotsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		first, second := newLocalWriter(l), newLocalWriter(l)
		for n := range 2 * maxDeletions {
			require.NoError(t, first.Save(t.Context(), Batch{origin(fmt.Sprint("a", n), time.Minute)}))
		}
		require.NoError(t, second.Save(t.Context(), Batch{origin("b", 2*time.Minute)}))
		require.Len(t, l.slots, 2*maxDeletions+1, "no process uses a slot of another one")
		time.Sleep(time.Minute)
		require.Empty(t, first.Saved(time.Now()))
		require.Len(t, second.Saved(time.Now()), 1)
		require.Equal(t, time.Minute, second.Saved(time.Now())[0].TTL)
		require.NoError(t, first.Save(t.Context(), Batch{origin("c", time.Minute)}))
		require.Len(t, l.slots, maxDeletions+2)

		// The holder cannot know when the slots were written.
		w := newWriter(l)
		w.round(t.Context())
		require.NoError(t, w.load(t.Context()))
		time.Sleep(2 * time.Minute)
		for _, id := range []string{"d", "e"} {
			done := make(chan error, 1)
			w.pending = append(w.pending, pendingCall{Batch{origin(id, time.Minute)}, done})
			w.round(t.Context())
			require.NoError(t, <-done)
		}
		require.Equal(t, []string{"d", "e"}, l.streams())
	})
}

// TestSlotOfAnotherProcessIsNotDeletedEarly guards against a stream whose record the holder deletes while it can
// be taken up.
func TestSlotOfAnotherProcessIsNotDeletedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		require.NoError(t, newLocalWriter(l).Save(t.Context(), Batch{origin("a", time.Minute)}))
		w := newWriter(l)
		require.NoError(t, w.load(t.Context()))
		time.Sleep(time.Minute - time.Nanosecond)
		changes := map[int]slot{}
		w.deleteExpired(changes, time.Now())
		require.Empty(t, changes)
		time.Sleep(time.Nanosecond)
		w.deleteExpired(changes, time.Now())
		require.Len(t, changes, 1)
	})
}
