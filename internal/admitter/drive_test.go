package admitter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// queue is the queue under test: a Table or a baseline.
type queue interface {
	enqueue(Request, time.Time) (*Waiter, *RefusedRequest)
	pop() *Waiter
	expire(*Waiter, time.Time) *RefusedRequest
	recordService(target string, took time.Duration)
	waiting() int
}

type tableQueue struct {
	Table

	slots int
}

func (q *tableQueue) enqueue(r Request, now time.Time) (*Waiter, *RefusedRequest) {
	return q.Enqueue(r, q.slots, now)
}

func (q *tableQueue) pop() *Waiter {
	w := q.Pick("up", anyTarget)
	if w != nil {
		q.Grant(w, "up")
	}
	return w
}

func (q *tableQueue) expire(w *Waiter, now time.Time) *RefusedRequest {
	return q.Expire(w, now, verdict.ReasonDeadline)
}

func (q *tableQueue) recordService(target string, took time.Duration) { q.RecordService(target, took) }
func (q *tableQueue) waiting() int                                    { return q.Waiting() }

// fifoQueue is the baseline: one bounded queue in the order of arrival.
type fifoQueue struct {
	order   []*Waiter
	waiters map[*Waiter]bool
}

func (q *fifoQueue) enqueue(r Request, _ time.Time) (*Waiter, *RefusedRequest) {
	w := &Waiter{Request: r}
	if len(q.waiters) >= DefaultMaxPerTarget {
		return w, &RefusedRequest{w, verdict.Refuse(verdict.ReasonQueueFull, time.Second, "queue full")}
	}
	q.order = append(q.order, w)
	q.waiters[w] = true
	return w, nil
}

func (q *fifoQueue) pop() *Waiter {
	for len(q.order) > 0 {
		w := q.order[0]
		q.order = q.order[1:]
		if q.waiters[w] {
			delete(q.waiters, w)
			return w
		}
	}
	return nil
}

func (q *fifoQueue) expire(w *Waiter, _ time.Time) *RefusedRequest {
	if !q.waiters[w] {
		return nil
	}
	delete(q.waiters, w)
	return &RefusedRequest{w, verdict.Refuse(verdict.ReasonDeadline, time.Second, "deadline passed")}
}

func (q *fifoQueue) recordService(string, time.Duration) {}
func (q *fifoQueue) waiting() int                        { return len(q.waiters) }

// stream is an open-loop stream of requests.
type stream struct {
	name     string
	customer string
	class    recordv1.RequestClass
	rate     func(at time.Duration) float64
	service  time.Duration // mean
	slack    time.Duration // from arrival to deadline
	// retries is the number of times that a refused caller retries. ignoreShare is
	// the share of the callers that ignore the retry delay and retry after 100 ms.
	retries     int
	ignoreShare float64
}

// call is the request of one caller with its retries.
type call struct {
	s                 *stream
	first             time.Duration
	tries             int
	ignoresRetryDelay bool
	arrived           time.Duration
	w                 *Waiter
}

// result holds the measurements of a stream.
type result struct {
	calls, served, refused int
	wait                   *hdrhistogram.Histogram // until the verdict, in microseconds
}

// driver runs a queue in virtual time.
type driver struct {
	q      queue
	slots  int
	rng    *rand.Rand
	now    time.Duration
	events events
	seq    int
	busy   int
	calls  map[*Waiter]*call

	results    map[string]*result
	work       func(from, to time.Duration) // called for every service
	refusedAt  func(c *call, at time.Duration)
	maxWaiting int
}

func newDriver(seed uint64, slots int, q queue) *driver {
	return &driver{
		q: q, slots: slots, rng: rand.New(rand.NewPCG(seed, 7)), calls: make(map[*Waiter]*call), results: make(map[string]*result),
		work: func(time.Duration, time.Duration) {}, refusedAt: func(*call, time.Duration) {},
	}
}

func (d *driver) at(t time.Duration, f func()) {
	d.seq++
	heap.Push(&d.events, event{t, d.seq, f})
}

func (d *driver) run(end time.Duration, streams ...*stream) {
	for _, s := range streams {
		d.results[s.name] = &result{wait: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
		d.next(s, end)
	}
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		e.f()
	}
}

func (d *driver) next(s *stream, end time.Duration) {
	rate := s.rate(d.now)
	at := d.now + time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second))
	if at > end {
		return
	}
	d.at(at, func() {
		d.results[s.name].calls++
		d.arrive(&call{s: s, first: d.now, ignoresRetryDelay: d.rng.Float64() < s.ignoreShare})
		d.next(s, end)
	})
}

func (d *driver) clock() time.Time { return epoch.Add(d.now) }

func (d *driver) arrive(c *call) {
	c.arrived = d.now
	w, out := d.q.enqueue(Request{
		ID: fmt.Sprint(c.s.name, c.first, c.tries), Customer: c.s.customer, Class: c.s.class, Target: "x", Deadline: d.clock().Add(c.s.slack),
	}, d.clock())
	c.w = w
	d.calls[w] = c
	if out != nil {
		d.refused(out)
	}
	if out == nil || out.Waiter != w {
		d.at(d.now+c.s.slack, func() {
			if out := d.q.expire(w, d.clock()); out != nil {
				d.refused(out)
			}
		})
	}
	d.maxWaiting = max(d.maxWaiting, d.q.waiting())
	d.grant()
}

func (d *driver) grant() {
	for d.busy < d.slots {
		w := d.q.pop()
		if w == nil {
			return
		}
		c := d.calls[w]
		delete(d.calls, w)
		d.busy++
		r := d.results[c.s.name]
		r.served++
		_ = r.wait.RecordValue((d.now - c.arrived).Microseconds())
		took := time.Duration(d.rng.ExpFloat64() * float64(c.s.service))
		d.work(d.now, d.now+took)
		d.at(d.now+took, func() {
			d.busy--
			d.q.recordService("x", took)
			d.grant()
		})
	}
}

func (d *driver) refused(out *RefusedRequest) {
	c := d.calls[out.Waiter]
	delete(d.calls, out.Waiter)
	_ = d.results[c.s.name].wait.RecordValue((d.now - c.arrived).Microseconds())
	d.refusedAt(c, d.now)
	c.tries++
	if c.tries > c.s.retries {
		d.results[c.s.name].refused++
		return
	}
	retryAfter := out.Refusal.RetryAfter
	if c.ignoresRetryDelay {
		retryAfter = 100 * time.Millisecond
	}
	d.at(d.now+retryAfter, func() { d.arrive(c) })
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestUrgentRequestsAreServedUnderBatchFlood measures the wait of status checks
// while batch summaries arrive at ten times the capacity, compared with a queue in
// the order of arrival.
func TestUrgentRequestsAreServedUnderBatchFlood(t *testing.T) {
	t.Parallel()
	const slots = 8
	measure := func(seed uint64, q queue, flood float64) (check, summary *result) {
		d := newDriver(seed, slots, q)
		d.run(30*time.Second,
			&stream{name: "check", customer: "officers", class: urgent, rate: constant(100), service: 20 * time.Millisecond, slack: time.Second},
			&stream{name: "summary", customer: "offices", class: batch, rate: constant(flood), service: 100 * time.Millisecond, slack: 10 * time.Second},
		)
		return d.results["check"], d.results["summary"]
	}
	for seed := range uint64(3) {
		quiet, _ := measure(seed, &tableQueue{slots: slots}, 1)
		fair, summaries := measure(seed, &tableQueue{slots: slots}, 800)
		fifo, _ := measure(seed, &fifoQueue{waiters: make(map[*Waiter]bool)}, 800)
		for name, r := range map[string]*result{"no flood": quiet, "flood": fair, "flood, order of arrival": fifo} {
			t.Logf("seed %d, %s: checks served %d of %d, wait p50 %d, p99 %d, p99.9 %d µs", seed, name, r.served, r.calls,
				r.wait.ValueAtQuantile(50), r.wait.ValueAtQuantile(99), r.wait.ValueAtQuantile(99.9))
		}
		t.Logf("seed %d: summaries served %d of %d", seed, summaries.served, summaries.calls)
		require.Equal(t, fair.calls, fair.served, "every check is served")
		require.Less(t, fair.wait.ValueAtQuantile(99.9), int64(150_000))
		require.Less(t, fifo.served, fifo.calls/2, "the baseline serves less than half of the checks")
		require.Greater(t, summaries.served, 1000, "summaries are still served")
	}
}

// overload runs 30 s of ten times the capacity, with 10 s of half the capacity
// before and 20 s after. It returns the goodput during the overload, and the time
// from its end to the last refusal of a new request.
func overload(seed uint64, q queue, retries int, ignoreShare float64) (d *driver, goodput float64, lastRefusal time.Duration) {
	const (
		begin = 10 * time.Second
		end   = begin + 30*time.Second
		total = end + 20*time.Second
	)
	capacity := overloadSlots * float64(time.Second) / float64(overloadService)
	d = newDriver(seed, overloadSlots, q)
	var work time.Duration
	d.work = func(from, to time.Duration) { work += max(0, min(to, end)-max(from, begin)) }
	d.refusedAt = func(c *call, at time.Duration) {
		if c.tries == 0 && c.arrived >= end {
			lastRefusal = max(lastRefusal, at-end)
		}
	}
	d.run(total, &stream{
		name: "call", customer: "a", class: interactive, service: overloadService, slack: 500 * time.Millisecond,
		retries: retries, ignoreShare: ignoreShare,
		rate: func(at time.Duration) float64 {
			if at >= begin && at < end {
				return 10 * capacity
			}
			return capacity / 2
		},
	})
	return d, float64(work) / float64(overloadSlots*(end-begin)), lastRefusal
}

const (
	overloadSlots   = 4
	overloadService = 20 * time.Millisecond
)

// TestGoodputUnderOverload measures the goodput under ten times the capacity, with
// callers of which some ignore the retry delay, and the time until new requests
// are no longer refused.
func TestGoodputUnderOverload(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name        string
		retries     int
		ignoreShare float64
	}{
		{"no retries", 0, 0},
		{"callers follow the retry delay, 3 retries", 3, 0},
		{"a fifth ignores the retry delay, 10 retries", 10, 0.2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				d, goodput, lastRefusal := overload(seed, &tableQueue{slots: overloadSlots}, tc.retries, tc.ignoreShare)
				r := d.results["call"]
				t.Logf("seed %d: goodput %.1f%%, last refusal of a new request %.2f s after the overload, at most %d waiting, %d of %d served",
					seed, 100*goodput, lastRefusal.Seconds(), d.maxWaiting, r.served, r.calls)
				require.GreaterOrEqual(t, goodput, 0.9)
				require.LessOrEqual(t, lastRefusal, 2*time.Second)
				require.LessOrEqual(t, d.maxWaiting, DefaultMaxPerTarget)
				require.Equal(t, r.calls, r.served+r.refused, "every caller got a final verdict")
				require.Empty(t, d.calls)
			}
		})
	}
}

// TestFixedRetryDelayProlongsOverload is the counterpart without assigned retry
// times: if all refused callers retry after one second, the overload continues.
func TestFixedRetryDelayProlongsOverload(t *testing.T) {
	t.Parallel()
	_, goodput, lastRefusal := overload(0, &fifoQueue{waiters: make(map[*Waiter]bool)}, 10, 0)
	t.Logf("goodput %.1f%%, last refusal of a new request %.2f s after the overload", 100*goodput, lastRefusal.Seconds())
	require.Greater(t, lastRefusal, 2*time.Second)
}
