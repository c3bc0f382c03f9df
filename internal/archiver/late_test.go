package archiver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

// TestLateAppendReplacesNoSavedOrigins guards against an append without a response that is carried out seconds
// later and replaces origins that have been reported as saved since, by the same process or by the next holder.
func TestLateAppendReplacesNoSavedOrigins(t *testing.T) {
	const maxDelay = 6 * time.Second
	for seed := range uint64(15) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			l := &fakeLog{isLate: func() bool { return rnd.Float64() < 0.35 }}
			ctx, cancel := context.WithCancel(t.Context())
			expires := make(map[string]time.Time)
			var end context.CancelFunc
			var w *Writer
			start := func() {
				var wctx context.Context
				wctx, end = context.WithCancel(ctx)
				w = newWriter(l)
				go w.Run(wctx)
			}
			start()
			local := newLocalWriter(l)
			for n := range 300 {
				ttl := time.Duration(rnd.IntN(20)+1) * time.Second
				name, save := fmt.Sprint(n), w.Save
				if n%10 == 9 {
					save = local.Save
				}
				if err := save(ctx, Batch{origin(name, ttl)}); err == nil {
					expires[name] = time.Now().Add(ttl)
				}
				time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
				if rnd.IntN(40) == 0 { // the holder ends
					end()
					start()
				}
				if rnd.IntN(20) == 0 {
					time.AfterFunc(time.Duration(rnd.Int64N(int64(maxDelay))), l.carryOut)
				}
				streams := l.streams()
				for name, until := range expires {
					if !time.Now().Before(until) {
						delete(expires, name)
						continue
					}
					require.Contains(t, streams, name, "seed %d, after %d calls", seed, n)
				}
			}
			end()
			cancel()
			synctest.Wait()
		})
	}
}

// TestLateAppendsAreDeletedInTheEnd guards against records that stay in the log for ever because the append
// of a slot was carried out after its deletion.
func TestLateAppendsAreDeletedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isLate := true
		l := &fakeLog{isLate: func() bool { return isLate }}
		ctx, cancel := context.WithCancel(t.Context())
		w, local := newWriter(l), newLocalWriter(l)
		go w.Run(ctx)
		require.Error(t, w.Save(ctx, Batch{origin("a", time.Second)}))
		require.Error(t, local.Save(ctx, Batch{origin("b", time.Second)}))
		isLate = false
		for n := range 12 {
			if n == 2 {
				l.carryOut()
			}
			time.Sleep(3 * time.Second)
			require.NoError(t, w.Save(ctx, Batch{origin("c", time.Second)}))
			require.NoError(t, local.Save(ctx, Batch{origin("d", time.Second)}))
		}
		require.Equal(t, []string{"c", "d"}, l.streams())
		cancel()
		synctest.Wait()
	})
}

// TestSlotsOfEarlierBuildsAreDeletedUnlessChanged guards against slots of an earlier build that stay in the log
// for ever, and against the deletion of one that such a build has used again.
func TestSlotsOfEarlierBuildsAreDeletedUnlessChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{slots: map[int]Batch{0: {origin("a", time.Minute)}, 1: {origin("b", time.Minute)}, 2: {origin("c", 2*time.Minute)}}}
		ctx, cancel := context.WithCancel(t.Context())
		w := newWriter(l)
		go w.Run(ctx)
		require.NoError(t, w.Save(ctx, Batch{origin("d", time.Hour)}))
		l.mu.Lock()
		l.applyLocked(map[int]Batch{1: {origin("e", time.Minute)}})
		l.mu.Unlock()
		time.Sleep(time.Minute)
		require.NoError(t, w.Save(ctx, Batch{origin("f", time.Hour)}))
		time.Sleep(time.Second)
		require.Equal(t, []string{"c", "d", "e", "f"}, l.streams())
		time.Sleep(time.Minute)
		require.NoError(t, w.Save(ctx, Batch{origin("g", time.Hour)}))
		time.Sleep(time.Second)
		require.Equal(t, []string{"f", "g"}, l.streams())
		cancel()
		synctest.Wait()
	})
}

// TestNoRecordIsConcludedFromAMalformedOne guards against a stream that counts as one without a record while a
// record that cannot be read may be its own.
func TestNoRecordIsConcludedFromAMalformedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{slots: map[int]Batch{3: {origin("a", time.Minute)}}, malformed: []error{errors.New("of another writer")}}
		r := &Reader{Store: l.store(), Tracker: &streamtracker.Tracker{}, Log: zap.NewNop(), Metrics: newMetrics()}
		require.NoError(t, r.LoadSince(t.Context(), time.Now()))
		time.Sleep(time.Second)
		l.malformed = append(l.malformed, MalformedError{4, errors.New("not a list")})
		require.ErrorAs(t, r.LoadSince(t.Context(), time.Now()), &MalformedError{})
		require.NoError(t, r.Load(t.Context()), "the others can be read")
		_, ok := r.Tracker.Find("a", time.Now())
		require.True(t, ok)

		w := newWriter(l)
		require.NoError(t, w.load(t.Context()))
		changes := make(map[int]slot)
		require.NoError(t, w.saveAgain(t.Context(), time.Now()))
		require.Equal(t, []string{"a"}, l.streams())
		w.deleteExpired(changes, time.Now())
		require.Empty(t, changes)
		time.Sleep(time.Second)
		l.malformed = nil
		require.NoError(t, r.LoadSince(t.Context(), time.Now()))
	})
}

// TestSlotsOfAnOutageAreBounded guards against a holder whose memory grows with each append of an outage.
func TestSlotsOfAnOutageAreBounded(t *testing.T) {
	l := &fakeLog{isLate: func() bool { return true }}
	w := newWriter(l)
	for n := range maxSlots + 2 {
		require.Error(t, w.save(t.Context(), []pendingCall{{origins: Batch{origin(fmt.Sprint(n), time.Minute)}}}))
		l.late = nil
		require.LessOrEqual(t, len(w.slots), maxSlots)
	}
}
