package archiver

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

// fakeLog is a log that keeps the newest batch of each slot.
type fakeLog struct {
	mu       sync.Mutex
	slots    map[int]Batch
	numSaves int
	// numAppends is the number of changes.
	numAppends int
	numLoads   int
	// malformed are the records that cannot be read, and err is the result of each call.
	malformed []error
	err       error
	// isLate, if set, selects the calls that get no response and are carried out by carryOut.
	isLate func() bool
	late   []map[int]Batch
}

func (l *fakeLog) store() Store {
	return Store{
		Load: func(context.Context) (map[int]Batch, []error, sequencer.Position, error) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.numLoads++
			return maps.Clone(l.slots), l.malformed, l.endLocked(), l.err
		},
		Save: func(_ context.Context, batches map[int]Batch) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.numSaves++
			if l.err != nil {
				return l.err
			}
			if l.isLate != nil && l.isLate() {
				l.late = append(l.late, batches)
				return errors.New("no response")
			}
			l.applyLocked(batches)
			return nil
		},
		Delete: func(_ context.Context, slots []int, end sequencer.Position) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			if end != l.endLocked() {
				return ErrConflict
			}
			for _, i := range slots {
				delete(l.slots, i)
			}
			l.numAppends++
			return nil
		},
	}
}

func (l *fakeLog) endLocked() sequencer.Position {
	return sequencer.Position{Offset: int64(l.numAppends)}
}

func (l *fakeLog) applyLocked(batches map[int]Batch) {
	if l.slots == nil {
		l.slots = make(map[int]Batch)
	}
	l.numAppends++
	maps.Copy(l.slots, batches)
	maps.DeleteFunc(l.slots, func(_ int, b Batch) bool { return len(b) == 0 })
}

// carryOut carries out the calls that got no response.
func (l *fakeLog) carryOut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, batches := range l.late {
		l.applyLocked(batches)
	}
	l.late = nil
}

func (l *fakeLog) streams() (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.slots {
		for _, o := range b {
			out = append(out, o.Stream)
		}
	}
	slices.Sort(out)
	return out
}

func newMetrics() *Metrics { return NewMetrics(prometheus.NewRegistry()) }

func newWriter(l *fakeLog) *Writer {
	return &Writer{Store: l.store(), IsHolder: func() bool { return true }, Log: zap.NewNop(), Metrics: newMetrics()}
}

func origin(stream string, ttl time.Duration) streamtracker.Origin {
	return streamtracker.Origin{Stream: stream, Service: "lm", Software: "v1", Attempt: 1, TTL: ttl, IsBound: true}
}

// TestOriginsOfManyInstancesAreSavedInFewCalls guards against a number of calls to the log that
// grows with the streams or the instances.
func TestOriginsOfManyInstancesAreSavedInFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &fakeLog{}
		w := newWriter(l)
		go w.Run(ctx)
		const instances, streams, length = 50, 20, 10 * time.Second
		var senders []*Sender
		for range instances {
			s := &Sender{Send: w.Save, NumInstances: func() int { return instances }, Log: zap.NewNop(), Metrics: newMetrics()}
			senders = append(senders, s)
			go s.Run(ctx)
		}
		for n := range streams {
			for i, s := range senders {
				s.Add(origin(fmt.Sprint(i, "-", n), time.Minute))
			}
			time.Sleep(length / streams)
		}
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		require.Len(t, l.streams(), instances*streams)
		require.LessOrEqual(t, l.numSaves, int(length/saveInterval)+6)
	})
}

// TestOriginsAreSentUntilTheyAreSaved guards against origins that are lost because the holder or the
// log was away when their streams began.
func TestOriginsAreSentUntilTheyAreSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &fakeLog{err: errors.New("outage")}
		w := newWriter(l)
		var isHolder atomic.Bool
		w.IsHolder = isHolder.Load
		go w.Run(ctx)
		s := &Sender{Send: w.Save, NumInstances: func() int { return 1 }, Log: zap.NewNop(), Metrics: newMetrics()}
		go s.Run(ctx)
		s.Add(origin("a", time.Minute), origin("expires", 3*time.Second))
		time.Sleep(4 * time.Second)
		isHolder.Store(true)
		s.Add(origin("b", time.Minute))
		time.Sleep(4 * time.Second)
		l.mu.Lock()
		l.err = nil
		l.mu.Unlock()
		time.Sleep(4 * time.Second)
		cancel()
		synctest.Wait()
		require.Equal(t, []string{"a", "b"}, l.streams())
	})
}

// TestExpiredSlotsAreDeleted guards against a log that grows for as long as two versions are in service.
func TestExpiredSlotsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		w := newWriter(l)
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		for n := range 300 {
			require.NoError(t, w.Save(ctx, []streamtracker.Origin{origin(fmt.Sprint(n), 10*time.Second)}))
		}
		cancel()
		synctest.Wait()
		require.LessOrEqual(t, len(l.slots), int(10*time.Second/saveInterval)+1)
		for n := range int(10*time.Second/saveInterval) - 1 {
			require.Contains(t, l.streams(), fmt.Sprint(299-n), "it can still be taken up")
		}
	})
}

// TestNewHolderKeepsWhatIsSaved guards against a holder that writes over the batches of the one
// before.
func TestNewHolderKeepsWhatIsSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		ctx, cancel := context.WithCancel(t.Context())
		for _, name := range []string{"a", "b"} {
			w := newWriter(l)
			go w.Run(ctx)
			require.NoError(t, w.Save(ctx, []streamtracker.Origin{origin(name, time.Minute)}))
		}
		cancel()
		synctest.Wait()
		require.Equal(t, []string{"a", "b"}, l.streams())
	})
}

// TestOriginsAreSavedAgainAfterARestore guards against streams that become unknown because the log
// came back from an older copy.
func TestOriginsAreSavedAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		w := newWriter(l)
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		var want []string
		for n := range 3 * maxBatchesPerSave {
			name := fmt.Sprintf("%02d", n)
			want = append(want, name)
			require.NoError(t, w.Save(ctx, []streamtracker.Origin{origin(name, time.Minute)}))
		}
		l.mu.Lock()
		l.slots = nil
		l.mu.Unlock()
		w.RecordRestore()
		time.Sleep(2 * saveInterval)
		cancel()
		synctest.Wait()
		require.Equal(t, want, l.streams())
	})
}

// TestTextsOfAnyLengthDoNotFillTheLog guards against ids and versions from outside that make a batch
// larger than the platform takes, so that nothing is saved any more.
func TestTextsOfAnyLengthDoNotFillTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		w := newWriter(l)
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		long := origin("long", time.Minute)
		long.Software = strings.Repeat("v", maxTextBytes+1)
		unbound := origin("unbound", time.Minute)
		unbound.IsBound = false
		require.NoError(t, w.Save(ctx, []streamtracker.Origin{long, unbound, origin(strings.Repeat("s", maxTextBytes+1), time.Minute), origin("fits", time.Minute)}))
		cancel()
		synctest.Wait()
		require.Equal(t, []string{"fits"}, l.streams())
	})
}

// TestManyStreamsAreLookedUpWithOneLoad guards against a load of the archive for each stream that
// clients take up after all instances ended.
func TestManyStreamsAreLookedUpWithOneLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{slots: map[int]Batch{3: {origin("a", time.Minute)}}}
		l.malformed = []error{errors.New("not a list")} // which must not hide the others
		r := &Reader{Store: l.store(), Tracker: &streamtracker.Tracker{}, Log: zap.NewNop(), Metrics: newMetrics()}
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() { require.NoError(t, r.Load(t.Context())) })
		}
		wg.Wait()
		require.Equal(t, 1, l.numLoads)
		o, ok := r.Tracker.Find("a", time.Now())
		require.True(t, ok)
		require.Equal(t, "v1", o.Software)

		time.Sleep(reloadInterval)
		l.err = errors.New("outage")
		require.Error(t, r.Load(t.Context()))
		l.err = nil
		require.NoError(t, r.Load(t.Context()), "a failed load counts for nothing")
	})
}
