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

// queue is what the driver drives: the Table, or a baseline.
type queue interface {
	join(Request, time.Time) (*Waiter, *Refused)
	pop() *Waiter
	expire(*Waiter, time.Time) *Refused
	ended(target string, took time.Duration)
	waiting() int
}

type tableQueue struct {
	Table

	slots int
}

func (q *tableQueue) join(r Request, now time.Time) (*Waiter, *Refused) {
	return q.Join(r, q.slots, now)
}

func (q *tableQueue) pop() *Waiter {
	w := q.Pick("up", anyTarget)
	if w != nil {
		q.Grant(w, "up")
	}
	return w
}

func (q *tableQueue) expire(w *Waiter, now time.Time) *Refused {
	return q.Expire(w, now, verdict.ReasonDeadline)
}

func (q *tableQueue) ended(target string, took time.Duration) { q.Ended(target, took) }
func (q *tableQueue) waiting() int                            { return q.Waiting() }

// fifoQueue is the baseline: one bounded queue in the order of arrival.
type fifoQueue struct {
	list []*Waiter
	in   map[*Waiter]bool
}

func (q *fifoQueue) join(r Request, _ time.Time) (*Waiter, *Refused) {
	w := &Waiter{Request: r}
	if len(q.in) >= DefaultMaxPerTarget {
		return w, &Refused{w, verdict.Refuse(verdict.ReasonQueueFull, time.Second, "full")}
	}
	q.list = append(q.list, w)
	q.in[w] = true
	return w, nil
}

func (q *fifoQueue) pop() *Waiter {
	for len(q.list) > 0 {
		w := q.list[0]
		q.list = q.list[1:]
		if q.in[w] {
			delete(q.in, w)
			return w
		}
	}
	return nil
}

func (q *fifoQueue) expire(w *Waiter, _ time.Time) *Refused {
	if !q.in[w] {
		return nil
	}
	delete(q.in, w)
	return &Refused{w, verdict.Refuse(verdict.ReasonDeadline, time.Second, "late")}
}

func (q *fifoQueue) ended(string, time.Duration) {}
func (q *fifoQueue) waiting() int                { return len(q.in) }

// stream is an open-loop stream of requests.
type stream struct {
	name     string
	customer string
	class    recordv1.RequestClass
	perSec   func(at time.Duration) float64
	service  time.Duration // mean
	slack    time.Duration
	// retries is how often a refused caller comes back; ignores is the part of
	// the callers that come back after 100 ms whatever they are told.
	retries int
	ignores float64
}

// call is one caller's request with its retries.
type call struct {
	s       *stream
	first   time.Duration
	tries   int
	ignores bool
	arrived time.Duration
	w       *Waiter
}

// result is what the driver saw of a stream.
type result struct {
	calls, served, refused int
	wait                   *hdrhistogram.Histogram // of every verdict, in microseconds
}

// driver drives a queue in virtual time.
type driver struct {
	q      queue
	slots  int
	rng    *rand.Rand
	now    time.Duration
	events events
	seq    int
	busy   int
	byWait map[*Waiter]*call

	results     map[string]*result
	work        func(from, to time.Duration) // hears of every service
	refusedAt   func(c *call, at time.Duration)
	mostWaiting int
}

func newDriver(seed uint64, slots int, q queue) *driver {
	return &driver{
		q: q, slots: slots, rng: rand.New(rand.NewPCG(seed, 7)), byWait: make(map[*Waiter]*call), results: make(map[string]*result),
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
	rate := s.perSec(d.now)
	at := d.now + time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second))
	if at > end {
		return
	}
	d.at(at, func() {
		d.results[s.name].calls++
		d.arrive(&call{s: s, first: d.now, ignores: d.rng.Float64() < s.ignores})
		d.next(s, end)
	})
}

func (d *driver) clock() time.Time { return epoch.Add(d.now) }

func (d *driver) arrive(c *call) {
	c.arrived = d.now
	w, out := d.q.join(Request{
		ID: fmt.Sprint(c.s.name, c.first, c.tries), Customer: c.s.customer, Class: c.s.class, Target: "x", Deadline: d.clock().Add(c.s.slack),
	}, d.clock())
	c.w = w
	d.byWait[w] = c
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
	d.mostWaiting = max(d.mostWaiting, d.q.waiting())
	d.grant()
}

func (d *driver) grant() {
	for d.busy < d.slots {
		w := d.q.pop()
		if w == nil {
			return
		}
		c := d.byWait[w]
		delete(d.byWait, w)
		d.busy++
		r := d.results[c.s.name]
		r.served++
		_ = r.wait.RecordValue((d.now - c.arrived).Microseconds())
		took := time.Duration(d.rng.ExpFloat64() * float64(c.s.service))
		d.work(d.now, d.now+took)
		d.at(d.now+took, func() {
			d.busy--
			d.q.ended("x", took)
			d.grant()
		})
	}
}

func (d *driver) refused(out *Refused) {
	c := d.byWait[out.Waiter]
	delete(d.byWait, out.Waiter)
	_ = d.results[c.s.name].wait.RecordValue((d.now - c.arrived).Microseconds())
	d.refusedAt(c, d.now)
	c.tries++
	if c.tries > c.s.retries {
		d.results[c.s.name].refused++
		return
	}
	back := out.Refusal.ComeBack
	if c.ignores {
		back = 100 * time.Millisecond
	}
	d.at(d.now+back, func() { d.arrive(c) })
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

func constant(perSec float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSec }
}

// TestUrgentUnderFlood measures the wait of status checks while batch summaries
// flood at ten times the capacity, against a queue in the order of arrival.
func TestUrgentUnderFlood(t *testing.T) {
	t.Parallel()
	const slots = 8
	measure := func(seed uint64, q queue, flood float64) (check, summary *result) {
		d := newDriver(seed, slots, q)
		d.run(30*time.Second,
			&stream{name: "check", customer: "officers", class: urgent, perSec: constant(100), service: 20 * time.Millisecond, slack: time.Second},
			&stream{name: "summary", customer: "offices", class: batch, perSec: constant(flood), service: 100 * time.Millisecond, slack: 10 * time.Second},
		)
		return d.results["check"], d.results["summary"]
	}
	for seed := range uint64(3) {
		quiet, _ := measure(seed, &tableQueue{slots: slots}, 1)
		fair, summaries := measure(seed, &tableQueue{slots: slots}, 800)
		fifo, _ := measure(seed, &fifoQueue{in: make(map[*Waiter]bool)}, 800)
		for name, r := range map[string]*result{"no flood": quiet, "flood": fair, "flood, order of arrival": fifo} {
			t.Logf("seed %d, %s: checks served %d of %d, wait p50 %d, p99 %d, p99.9 %d µs", seed, name, r.served, r.calls,
				r.wait.ValueAtQuantile(50), r.wait.ValueAtQuantile(99), r.wait.ValueAtQuantile(99.9))
		}
		t.Logf("seed %d: summaries served %d of %d", seed, summaries.served, summaries.calls)
		require.Equal(t, fair.calls, fair.served, "every check is served")
		require.Less(t, fair.wait.ValueAtQuantile(99.9), int64(150_000))
		require.Less(t, fifo.served, fifo.calls/2, "the baseline shows what the fair shares are for")
		require.Greater(t, summaries.served, 1000, "summaries go on")
	}
}

// overload drives ten times the load for 30 s, between 10 s and 20 s of half
// the load. It returns the goodput during it, and when after its end the last
// new request was refused.
func overload(seed uint64, q queue, retries int, ignores float64) (d *driver, goodput float64, last time.Duration) {
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
			last = max(last, at-end)
		}
	}
	d.run(total, &stream{
		name: "call", customer: "a", class: interactive, service: overloadService, slack: 500 * time.Millisecond,
		retries: retries, ignores: ignores,
		perSec: func(at time.Duration) float64 {
			if at >= begin && at < end {
				return 10 * capacity
			}
			return capacity / 2
		},
	})
	return d, float64(work) / float64(overloadSlots*(end-begin)), last
}

const (
	overloadSlots   = 4
	overloadService = 20 * time.Millisecond
)

// TestOverload measures goodput under ten times the load, with callers who come
// back as told and some who do not, and how soon service is normal.
func TestOverload(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		retries int
		ignores float64
	}{
		{"no retries", 0, 0},
		{"come back as told, 3 times", 3, 0},
		{"a fifth ignores it, 10 times", 10, 0.2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				d, goodput, last := overload(seed, &tableQueue{slots: overloadSlots}, tc.retries, tc.ignores)
				r := d.results["call"]
				t.Logf("seed %d: goodput %.1f%%, last refusal of a new request %.2f s after, at most %d wait, %d of %d served",
					seed, 100*goodput, last.Seconds(), d.mostWaiting, r.served, r.calls)
				require.GreaterOrEqual(t, goodput, 0.9)
				require.LessOrEqual(t, last, 2*time.Second)
				require.LessOrEqual(t, d.mostWaiting, DefaultMaxPerTarget)
				require.Equal(t, r.calls, r.served+r.refused, "every caller got a final verdict")
				require.Empty(t, d.byWait)
			}
		})
	}
}

// TestOverloadNegative shows what the booked times to come back are for: told
// to come back after a second, the refused callers keep the overload up.
func TestOverloadNegative(t *testing.T) {
	t.Parallel()
	_, goodput, last := overload(0, &fifoQueue{in: make(map[*Waiter]bool)}, 10, 0)
	t.Logf("goodput %.1f%%, last refusal of a new request %.2f s after", 100*goodput, last.Seconds())
	require.Greater(t, last, 2*time.Second)
}
