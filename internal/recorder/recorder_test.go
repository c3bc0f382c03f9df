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

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// faultyLog loses replies, refuses, hangs, and lets appends take effect late.
type faultyLog struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	out     bool
	payload [][]byte
	late    sync.WaitGroup
}

var errReply = errors.New("no reply")

func (l *faultyLog) add(payload []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.payload = append(l.payload, payload)
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
	out := l.out
	l.mu.Unlock()
	switch {
	case out && kind < 4:
		return errReply
	case out:
		<-ctx.Done()
		return ctx.Err()
	case kind == 0:
		return errReply
	case kind == 1:
		l.add(payload)
		return errReply
	case kind == 2:
		l.late.Go(func() {
			time.Sleep(time.Duration(l.draw(20000)) * time.Millisecond)
			l.add(payload)
		})
		return errReply
	}
	l.add(payload)
	return nil
}

// tail gives the log to the recorder until ctx ends.
func (l *faultyLog) tail(ctx context.Context, s *folder.State, r *Recorder) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1+l.draw(100)) * time.Millisecond)
		l.mu.Lock()
		rest := l.payload[s.Next:]
		l.mu.Unlock()
		for _, p := range rest {
			r.OnEvents(s.Apply(s.Next, p))
		}
	}
}

// ids returns how often each record is in the log.
func (l *faultyLog) ids(t *testing.T) map[string]int {
	out := make(map[string]int)
	for _, p := range l.payload {
		var b recordv1.Batch
		require.NoError(t, proto.Unmarshal(p, &b))
		for _, rec := range b.GetRecords() {
			out[rec.GetId()]++
		}
	}
	return out
}

type answer struct {
	id    string
	event folder.Event
	err   error
}

// runSubmitters submits through lost replies, late appends and outages and
// returns the first answer of Submit that was false.
func runSubmitters(t *testing.T, seed uint64, forgetful bool) string {
	log := &faultyLog{rnd: rand.New(rand.NewPCG(seed, 1))}
	r := &Recorder{Append: log.append, Incarnation: "run-1", MaxPending: 40, forgetful: forgetful}
	r.Jitter = func(d time.Duration) time.Duration { return d/2 + time.Duration(log.draw(int(d))) }
	abandoned := make(map[string]bool)
	r.Abandoned = func(e folder.Event) { abandoned[e.Record.GetId()] = true }
	var state folder.State
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	most := 0
	var parts sync.WaitGroup
	parts.Go(func() { r.Run(ctx) })
	parts.Go(func() { log.tail(ctx, &state, r) })

	answers := make(chan answer, 400)
	var posted []string
	var submitters sync.WaitGroup
	for i := range 300 {
		if log.draw(30) == 0 {
			log.mu.Lock()
			log.out = !log.out
			log.mu.Unlock()
		}
		rec := &recordv1.Record{Id: fmt.Sprintf("%04d", i), Kind: &recordv1.Record_Release{Release: &recordv1.Release{}}}
		if log.draw(6) == 0 {
			if r.Post(rec) {
				posted = append(posted, rec.GetId())
			}
			continue
		}
		patience := time.Duration(1+log.draw(3000)) * time.Millisecond
		submitters.Go(func() {
			sctx, stop := context.WithTimeout(ctx, patience)
			defer stop()
			e, err := r.Submit(sctx, rec)
			answers <- answer{rec.GetId(), e, err}
		})
		time.Sleep(time.Duration(log.draw(60)) * time.Millisecond)
		most = max(most, r.Pending())
	}
	log.mu.Lock()
	log.out = false
	log.mu.Unlock()
	submitters.Wait()
	time.Sleep(time.Minute)
	log.late.Wait()
	time.Sleep(time.Second)
	cancel()
	parts.Wait()
	close(answers)
	if most > 40 {
		return "too many records are pending"
	}
	if r.Pending() > 0 {
		return "records are pending for ever"
	}
	return checkAnswers(log.ids(t), answers, posted, abandoned)
}

func checkAnswers(written map[string]int, answers <-chan answer, posted []string, abandoned map[string]bool) string {
	for a := range answers {
		n := written[a.id]
		switch {
		case errors.Is(a.err, ErrNotWritten) && n > 0:
			return "a record that was not written is in the log: " + a.id
		case a.err == nil && (n == 0 || a.event.Record.GetId() != a.id):
			return "a record that was read back is not in the log: " + a.id
		case errors.Is(a.err, ErrUnknown) && n > 0 && !abandoned[a.id]:
			return "nobody heard that an abandoned record was read back: " + a.id
		}
	}
	for _, id := range posted {
		if written[id] == 0 {
			return "a posted record is not in the log: " + id
		}
	}
	return ""
}

// What Submit answers is true, now and after late appends, through lost
// replies, refusals, hangs and outages; memory is bounded; everything posted
// is written in the end.
func TestAnswersAreTrue(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			require.Empty(t, runSubmitters(t, seed, false), "seed %d", seed)
		})
	}
}

// Without the rule for records that were part of an append the answer is false.
func TestAnswersAreTrueNegative(t *testing.T) {
	found := ""
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			found += runSubmitters(t, seed, true)
		})
	}
	require.Contains(t, found, "a record that was not written is in the log")
}

// During an outage Submit refuses at once, also those that wait already, and
// the log is tried at growing pauses; afterwards it works by itself again.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out atomic.Bool
		var tries atomic.Int64
		out.Store(true)
		r := &Recorder{Incarnation: "run-1"}
		r.Append = func(_ context.Context, payload []byte) error {
			tries.Add(1)
			if out.Load() {
				return errReply
			}
			var b recordv1.Batch
			require.NoError(t, proto.Unmarshal(payload, &b))
			for _, rec := range b.GetRecords() {
				go r.OnEvents([]folder.Event{{Record: rec}})
			}
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		require.True(t, r.Post(&recordv1.Record{}))
		synctest.Wait()
		require.True(t, r.IsFailing())
		for range 100 {
			start := time.Now()
			_, err := r.Submit(ctx, &recordv1.Record{})
			require.ErrorIs(t, err, ErrNotWritten)
			require.Equal(t, start, time.Now())
		}
		time.Sleep(time.Hour)
		require.Less(t, tries.Load(), int64(4000))
		require.Greater(t, tries.Load(), int64(1000))
		out.Store(false)
		time.Sleep(2 * maxBackoff)
		require.False(t, r.IsFailing())
		require.Zero(t, r.Pending())
		_, err := r.Submit(ctx, &recordv1.Record{})
		require.NoError(t, err)
	})
}

// A record that cannot be written does not stop the ones behind it.
func TestInvalidRecord(t *testing.T) {
	r := &Recorder{}
	_, err := r.Submit(t.Context(), &recordv1.Record{Id: "\xff"})
	require.ErrorIs(t, err, ErrNotWritten)
	_, err = r.Submit(t.Context(), &recordv1.Record{Kind: &recordv1.Record_CheckpointChunk{
		CheckpointChunk: &recordv1.CheckpointChunk{Data: make([]byte, MaxRecordBytes)},
	}})
	require.ErrorIs(t, err, ErrNotWritten)
	require.Zero(t, r.Pending())
}

// Abandoned records do not fill the table.
func TestAbandonedAreBounded(t *testing.T) {
	var a abandonedRecords
	for i := range 3 * maxAbandoned {
		a.add(fmt.Sprint(i))
	}
	require.Len(t, a.ids, maxAbandoned)
	require.False(t, a.take("0"))
	require.True(t, a.take(fmt.Sprint(3*maxAbandoned-1)))
}

// A record whose place in the log was passed over has an unknown fate.
func TestReset(t *testing.T) {
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
		require.Zero(t, r.Pending())
	})
}
