package archiver

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

// TestSaveReturnsOnceTheOriginIsSaved guards against a stream that begins without a record, and against a
// state of the log that ends only with a record that is not made while it holds.
func TestSaveReturnsOnceTheOriginIsSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var result error
		delay := 10 * time.Millisecond
		s := &Sender{
			Send: func(context.Context, []streamtracker.Origin) error {
				time.Sleep(delay)
				return result
			},
			NumInstances: func() int { return 1 }, Log: zap.NewNop(), Metrics: newMetrics(),
		}
		go s.Run(ctx)
		require.True(t, s.IsSaving())
		require.NoError(t, s.Save(ctx, origin("a", time.Minute)))
		require.True(t, s.IsSaving())

		result = errors.New("outage")
		short, cancelShort := context.WithTimeout(ctx, time.Second)
		require.Error(t, s.Save(short, origin("b", 3*time.Second)))
		cancelShort()
		require.False(t, s.IsSaving())
		time.Sleep(5 * time.Second) // "b" has expired, and nothing is left to be sent
		require.True(t, s.IsSaving(), "the next origin shows whether the log is back")

		result, delay = nil, time.Second
		s.Add(origin("c", time.Minute))
		time.Sleep(slowSaveTime + time.Millisecond)
		require.False(t, s.IsSaving(), "no response")
		time.Sleep(delay)
		require.True(t, s.IsSaving())
		require.ErrorIs(t, s.Save(ctx, origin("", time.Minute)), errNotStorable)
		cancel()
		synctest.Wait()
	})
}

// TestLoadSinceReadsWhatWasSavedBefore guards against a stream that counts as one without a record, since a
// load that had begun before it was saved is taken for a later one.
func TestLoadSinceReadsWhatWasSavedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		store := l.store()
		r := &Reader{Store: store, Tracker: &streamtracker.Tracker{}, Log: zap.NewNop(), Metrics: newMetrics()}
		r.Store.Load = func(ctx context.Context) (map[int]Batch, []error, sequencer.Position, error) {
			batches, malformed, end, err := store.Load(ctx)
			time.Sleep(100 * time.Millisecond)
			return batches, malformed, end, err
		}
		go func() { _ = r.Load(t.Context()) }()
		time.Sleep(10 * time.Millisecond)
		l.mu.Lock()
		l.slots = map[int]Batch{1: {origin("a", time.Minute)}}
		l.mu.Unlock()
		savedAt := time.Now()
		require.NoError(t, r.LoadSince(t.Context(), savedAt))
		_, ok := r.Tracker.Find("a", time.Now())
		require.True(t, ok)
		require.Equal(t, 2, l.numLoads)
		require.NoError(t, r.LoadSince(t.Context(), savedAt))
		require.Equal(t, 2, l.numLoads)
	})
}
