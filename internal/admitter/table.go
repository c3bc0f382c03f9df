package admitter

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/apportioner"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Limits of a Table.
const (
	DefaultMaxWaiting   = 4096
	DefaultMaxPerTarget = 1024
	// maxTargets is the number of targets above which those without waiting
	// requests are dropped, with their mean service time.
	maxTargets = 8192
	// minGrantCost is the minimum slot time charged for a grant.
	minGrantCost = time.Millisecond
)

// classWeight returns the weight of a class in slot time.
func classWeight(c recordv1.RequestClass) float64 {
	switch c {
	case recordv1.RequestClass_REQUEST_CLASS_URGENT:
		return 64
	case recordv1.RequestClass_REQUEST_CLASS_BATCH:
		return 1
	default:
		return 8
	}
}

// classOf returns the class in which a request is served. Without a class it is
// interactive.
func classOf(c recordv1.RequestClass) recordv1.RequestClass {
	if c == recordv1.RequestClass_REQUEST_CLASS_UNSPECIFIED {
		return recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE
	}
	return c
}

// upstreamClock is the fair clock of one upstream.
type upstreamClock struct {
	classes   apportioner.Clock[recordv1.RequestClass]
	customers map[recordv1.RequestClass]*apportioner.Clock[string]
}

func (s *upstreamClock) customersOf(c recordv1.RequestClass) *apportioner.Clock[string] {
	if s.customers == nil {
		s.customers = make(map[recordv1.RequestClass]*apportioner.Clock[string])
	}
	k := s.customers[c]
	if k == nil {
		k = &apportioner.Clock[string]{}
		s.customers[c] = k
	}
	return k
}

// Table holds the waiting requests of an instance. Its zero value is ready to
// use; it is not safe for concurrent use.
type Table struct {
	MaxWaiting   int // 0 means DefaultMaxWaiting
	MaxPerTarget int // 0 means DefaultMaxPerTarget

	queues        map[string]*targetQueue
	waitingQueues map[string]*targetQueue   // queues with waiting requests
	clocks        map[string]*upstreamClock // by upstream
	waiting       int
	seq           uint64
}

// Waiting returns the number of waiting requests.
func (t *Table) Waiting() int {
	return t.waiting
}

// WaitingOf returns the number of waiting requests of the customer.
func (t *Table) WaitingOf(customer string) int {
	n := 0
	for _, q := range t.waitingQueues {
		for _, f := range q.flows {
			if f.customer == customer {
				n += len(f.waiters)
			}
		}
	}
	return n
}

// RefusedRequest is a request that the Table refused.
type RefusedRequest struct {
	Waiter  *Waiter
	Refusal verdict.Refusal
}

// Enqueue adds a request for a target whose upstreams have the given slots. It
// returns the waiter and the request that is refused as a result: nil, the
// request itself, or one that is evicted for it.
func (t *Table) Enqueue(req Request, slots int, now time.Time) (*Waiter, *RefusedRequest) {
	req.Class = classOf(req.Class)
	if req.Weight <= 0 {
		req.Weight = 1
	}
	t.seq++
	q := t.queueOf(req.Target)
	if req.NeedsWholeResponse {
		req.Deadline = q.latestStart(req.Deadline, now)
	}
	w := &Waiter{Request: req, seq: t.seq}
	q.slots = slots
	if !req.Deadline.After(now) {
		return w, t.refuse(q, w, now, verdict.ReasonDeadline, "the deadline has passed")
	}
	if wait := q.estimateWait(w); wait > req.Deadline.Sub(now) {
		return w, t.refuse(q, w, now, verdict.ReasonDeadline, "the requests before it take longer than its deadline allows")
	}
	t.add(q, w)
	if f := t.overLimit(q); f != nil {
		out := f.latest()
		t.Remove(out)
		return w, t.refuse(t.queueOf(out.Target), out, now, verdict.ReasonQueueFull, "the queue is full")
	}
	return w, nil
}

func (t *Table) queueOf(target string) *targetQueue {
	q := t.queues[target]
	if q != nil {
		return q
	}
	if t.queues == nil {
		t.queues = make(map[string]*targetQueue)
	}
	if len(t.queues) >= maxTargets {
		t.dropEmpty()
	}
	q = &targetQueue{target: target, flows: make(map[flowKey]*flow)}
	t.queues[target] = q
	return q
}

func (t *Table) dropEmpty() {
	for k, q := range t.queues {
		if q.waiting == 0 {
			delete(t.queues, k)
		}
	}
}

func (t *Table) add(q *targetQueue, w *Waiter) {
	k := flowKey{w.Class, w.Customer}
	f := q.flows[k]
	if f == nil {
		f = &flow{flowKey: k}
		q.flows[k] = f
	}
	f.weight = w.Weight
	f.add(w)
	q.waiting++
	t.waiting++
	if t.waitingQueues == nil {
		t.waitingQueues = make(map[string]*targetQueue)
	}
	t.waitingQueues[q.target] = q
}

// Remove removes a request and reports whether it was waiting.
func (t *Table) Remove(w *Waiter) bool {
	q := t.queues[w.Target]
	if q == nil {
		return false
	}
	f := q.flows[flowKey{w.Class, w.Customer}]
	if f == nil || !f.remove(w) {
		return false
	}
	if len(f.waiters) == 0 {
		delete(q.flows, f.flowKey)
	}
	q.waiting--
	t.waiting--
	if q.waiting == 0 {
		delete(t.waitingQueues, q.target)
		q.nextRetry = nil
	}
	if t.waiting == 0 {
		t.clocks = nil // no request waits, so no class or customer has had more than its share
	}
	return true
}

// overLimit returns the flow that must lose a request because a limit is
// exceeded, nil for none.
func (t *Table) overLimit(q *targetQueue) *flow {
	perTarget, total := t.MaxPerTarget, t.MaxWaiting
	if perTarget == 0 {
		perTarget = DefaultMaxPerTarget
	}
	if total == 0 {
		total = DefaultMaxWaiting
	}
	var most *flow
	switch {
	case q.waiting > perTarget:
		most = q.mostExcess(nil)
	case t.waiting > total:
		for _, other := range t.waitingQueues {
			most = other.mostExcess(most)
		}
	}
	return most
}

// mostExcess returns the flow with the most excess among the flows of the queue
// and f.
func (q *targetQueue) mostExcess(f *flow) *flow {
	for _, g := range q.flows {
		if f == nil || g.excess() > f.excess() || g.excess() == f.excess() && g.latest().seq > f.latest().seq {
			f = g
		}
	}
	return f
}

func (f *flow) latest() *Waiter {
	return f.waiters[len(f.waiters)-1]
}

// SlotFilter selects the requests that may get a slot of an upstream.
type SlotFilter struct {
	// Allows reports whether the target has a free slot there and the customer may
	// run one more request.
	Allows func(target, customer string) bool
	// Skipped holds requests that cannot use a slot now.
	Skipped map[*Waiter]bool
}

func (f SlotFilter) accepts(w *Waiter) bool {
	return !f.Skipped[w]
}

// Pick returns the request that gets the next free slot of the upstream, nil if
// the filter accepts none.
func (t *Table) Pick(upstream string, filter SlotFilter) *Waiter {
	s := t.clockOf(upstream)
	var best *Waiter
	for target, q := range t.waitingQueues {
		for _, f := range q.flows {
			if !filter.Allows(target, f.customer) {
				continue
			}
			i := slices.IndexFunc(f.waiters, filter.accepts)
			if i >= 0 && (best == nil || s.isBefore(f.waiters[i], best)) {
				best = f.waiters[i]
			}
		}
	}
	return best
}

func (s *upstreamClock) isBefore(a, b *Waiter) bool {
	if a.Class != b.Class {
		x, y := s.classes.Start(a.Class), s.classes.Start(b.Class)
		return x < y || x == y && a.Class < b.Class
	}
	if a.Customer != b.Customer {
		c := s.customersOf(a.Class)
		if x, y := c.Start(a.Customer), c.Start(b.Customer); x != y {
			return x < y
		}
	}
	return compareWaiters(a, b) < 0
}

func (t *Table) clockOf(upstream string) *upstreamClock {
	s := t.clocks[upstream]
	if s == nil {
		s = &upstreamClock{}
		if t.clocks == nil {
			t.clocks = make(map[string]*upstreamClock)
		}
		t.clocks[upstream] = s
	}
	return s
}

// Grant removes a request that got a slot of the upstream, and charges its
// class and customer.
func (t *Table) Grant(w *Waiter, upstream string) bool {
	cost := max(t.queueOf(w.Target).meanService, minGrantCost).Seconds()
	s := t.clockOf(upstream)
	s.classes.Charge(w.Class, cost, classWeight(w.Class))
	s.customersOf(w.Class).Charge(w.Customer, cost, w.Weight)
	return t.Remove(w)
}

// RecordService updates the mean service time of the target with the time for
// which a request held its slot.
func (t *Table) RecordService(target string, took time.Duration) {
	t.queueOf(target).recordService(took)
}
