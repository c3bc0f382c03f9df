package recorder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// faultyLog is a log that loses replies, refuses appends, hangs, and applies some
// appends late.
type faultyLog struct {
	mu          sync.Mutex
	rnd         *rand.Rand
	isDown      bool
	payloads    [][]byte
	lateAppends sync.WaitGroup
}

var errNoReply = errors.New("no reply")

func (l *faultyLog) add(payload []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.payloads = append(l.payloads, payload)
}

func (l *faultyLog) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rnd.IntN(n)
}

func (l *faultyLog) append(ctx context.Context, payload []byte) error {
	time.Sleep(time.Duration(l.draw(20)) * time.Millisecond)
	kind := l.draw(8)
	l.mu.Lock()
	isDown := l.isDown
	l.mu.Unlock()
	switch {
	case isDown && kind < 4:
		return errNoReply
	case isDown:
		<-ctx.Done()
		return ctx.Err()
	case kind == 0:
		return errNoReply
	case kind == 1:
		l.add(payload)
		return errNoReply
	case kind == 2:
		l.lateAppends.Go(func() {
			time.Sleep(time.Duration(l.draw(20000)) * time.Millisecond)
			l.add(payload)
		})
		return errNoReply
	}
	l.add(payload)
	return nil
}

// tail applies the log to s and passes the events to the recorder until ctx ends.
func (l *faultyLog) tail(ctx context.Context, s *applier.State, r *Recorder) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1+l.draw(100)) * time.Millisecond)
		l.mu.Lock()
		rest := l.payloads[s.NextOffset:]
		l.mu.Unlock()
		for _, p := range rest {
			r.OnEvents(s.Apply(s.NextOffset, p))
		}
	}
}

// countRecords returns how often each record is in the log, by id.
func (l *faultyLog) countRecords(t *testing.T) map[string]int {
	out := make(map[string]int)
	for _, p := range l.payloads {
		var b recordv1.Batch
		require.NoError(t, proto.Unmarshal(p, &b))
		for _, rec := range b.GetRecords() {
			out[rec.GetId()]++
		}
	}
	return out
}

type submitResult struct {
	id    string
	event applier.Event
	err   error
}

// runSubmitters submits records during lost replies, late appends and outages.
// It returns a description of the first wrong result, or "".
func runSubmitters(t *testing.T, seed uint64, assumeNotWritten bool) string {
	log := &faultyLog{rnd: rand.New(rand.NewPCG(seed, 1))}
	r := &Recorder{Append: log.append, Incarnation: "run-1", MaxPending: 40, assumeNotWritten: assumeNotWritten}
	r.Jitter = func(d time.Duration) time.Duration { return d/2 + time.Duration(log.draw(int(d))) }
	abandoned := make(map[string]bool)
	r.OnAbandonedRead = func(e applier.Event) { abandoned[e.Record.GetId()] = true }
	var state applier.State
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	maxPending := 0
	var background sync.WaitGroup
	background.Go(func() { r.Run(ctx) })
	background.Go(func() { log.tail(ctx, &state, r) })

	results := make(chan submitResult, 400)
	var posted []string
	var submitters sync.WaitGroup
	for i := range 300 {
		if log.draw(30) == 0 {
			log.mu.Lock()
			log.isDown = !log.isDown
			log.mu.Unlock()
		}
		rec := &recordv1.Record{Id: fmt.Sprintf("%04d", i), Kind: &recordv1.Record_Release{Release: &recordv1.Release{}}}
		if log.draw(6) == 0 {
			if r.Post(rec) {
				posted = append(posted, rec.GetId())
			}
			continue
		}
		timeout := time.Duration(1+log.draw(3000)) * time.Millisecond
		submitters.Go(func() {
			sctx, stop := context.WithTimeout(ctx, timeout)
			defer stop()
			e, err := r.Submit(sctx, rec)
			results <- submitResult{rec.GetId(), e, err}
		})
		time.Sleep(time.Duration(log.draw(60)) * time.Millisecond)
		maxPending = max(maxPending, r.NumPending())
	}
	log.mu.Lock()
	log.isDown = false
	log.mu.Unlock()
	submitters.Wait()
	time.Sleep(time.Minute)
	log.lateAppends.Wait()
	time.Sleep(time.Second)
	cancel()
	background.Wait()
	close(results)
	if maxPending > 40 {
		return "too many records are pending"
	}
	if r.NumPending() > 0 {
		return "records stay pending forever"
	}
	return checkResults(log.countRecords(t), results, posted, abandoned)
}

func checkResults(written map[string]int, results <-chan submitResult, posted []string, abandoned map[string]bool) string {
	for res := range results {
		n := written[res.id]
		switch {
		case errors.Is(res.err, ErrNotWritten) && n > 0:
			return "a record that was not written is in the log: " + res.id
		case res.err == nil && (n == 0 || res.event.Record.GetId() != res.id):
			return "a record that was read back is not in the log: " + res.id
		case errors.Is(res.err, ErrUnknown) && n > 0 && !abandoned[res.id]:
			return "OnAbandonedRead was not called for a record that was read back: " + res.id
		}
	}
	for _, id := range posted {
		if written[id] == 0 {
			return "a posted record is not in the log: " + id
		}
	}
	return ""
}

// With lost replies, refusals, hangs, outages and late appends, the results of
// Submit are correct and stay so, the pending records are bounded, and every
// posted record is written eventually.
func TestSubmitResultsAreCorrect(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			require.Empty(t, runSubmitters(t, seed, false), "seed %d", seed)
		})
	}
}

// If Submit returned ErrNotWritten also for records that were part of an append,
// some results would be wrong.
func TestErrNotWrittenAfterAppendIsWrong(t *testing.T) {
	found := ""
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			found += runSubmitters(t, seed, true)
		})
	}
	require.Contains(t, found, "a record that was not written is in the log")
}

// During an outage Submit refuses at once, also for records that are queued
// already, and the log is probed with increasing delays. After the outage the
// recorder resumes on its own.
func TestSubmitFailsFastDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isDown atomic.Bool
		var numAppends atomic.Int64
		isDown.Store(true)
		r := &Recorder{Incarnation: "run-1"}
		r.Append = func(_ context.Context, payload []byte) error {
			numAppends.Add(1)
			if isDown.Load() {
				return errNoReply
			}
			var b recordv1.Batch
			require.NoError(t, proto.Unmarshal(payload, &b))
			for _, rec := range b.GetRecords() {
				go r.OnEvents([]applier.Event{{Record: rec}})
			}
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		require.True(t, r.Post(&recordv1.Record{}))
		time.Sleep(2 * unavailableAfter)
		require.True(t, r.IsLogUnavailable())
		for range 100 {
			start := time.Now()
			_, err := r.Submit(ctx, &recordv1.Record{})
			require.ErrorIs(t, err, ErrNotWritten)
			require.Equal(t, start, time.Now())
		}
		time.Sleep(time.Hour)
		require.Less(t, numAppends.Load(), int64(4000))
		require.Greater(t, numAppends.Load(), int64(1000))
		isDown.Store(false)
		time.Sleep(2 * maxBackoff)
		require.False(t, r.IsLogUnavailable())
		require.Zero(t, r.NumPending())
		_, err := r.Submit(ctx, &recordv1.Record{})
		require.NoError(t, err)
	})
}

// A record that cannot be written is rejected and does not block later records.
func TestInvalidRecordsAreRejected(t *testing.T) {
	r := &Recorder{}
	_, err := r.Submit(t.Context(), &recordv1.Record{Id: "\xff"})
	require.ErrorIs(t, err, ErrNotWritten)
	_, err = r.Submit(t.Context(), &recordv1.Record{Kind: &recordv1.Record_CheckpointChunk{
		CheckpointChunk: &recordv1.CheckpointChunk{Data: make([]byte, MaxRecordBytes)},
	}})
	require.ErrorIs(t, err, ErrNotWritten)
	require.Zero(t, r.NumPending())
}

// The number of abandoned records that are kept is bounded.
func TestAbandonedAreBounded(t *testing.T) {
	var a abandonedRecords
	for i := range 3 * maxAbandoned {
		a.add(fmt.Sprint(i))
	}
	require.Len(t, a.ids, maxAbandoned)
	require.False(t, a.remove("0"))
	require.True(t, a.remove(fmt.Sprint(3*maxAbandoned-1)))
}

// After Reset the result of a record that was part of an append is unknown, since
// its position in the log may be skipped.
func TestResetMakesResultsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Recorder{Append: func(context.Context, []byte) error { return nil }}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		go func() {
			synctest.Wait()
			r.Reset()
		}()
		_, err := r.Submit(ctx, &recordv1.Record{})
		require.ErrorIs(t, err, ErrUnknown)
		require.Zero(t, r.NumPending())
	})
}

// An append that hangs means that the log is unavailable, also if the submitters
// of all its records stop waiting: such records must not be mistaken for records
// that were read back.
func TestHangingAppendIsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Recorder{Append: func(ctx context.Context, _ []byte) error {
			<-ctx.Done()
			return ctx.Err()
		}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		short, stop := context.WithTimeout(ctx, DefaultAppendTimeout/2)
		defer stop()
		_, err := r.Submit(short, &recordv1.Record{})
		require.ErrorIs(t, err, ErrUnknown)
		time.Sleep(DefaultAppendTimeout)
		require.True(t, r.IsLogUnavailable())
	})
}
