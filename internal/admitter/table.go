package admitter

import (
	"slices"
	"time"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Bounds of a Table.
const (
	DefaultMaxWaiting   = 4096
	DefaultMaxPerTarget = 1024
	// maxIdleLines is how many targets are remembered.
	maxIdleLines = 8192
	// leastCost is the least slot time that a grant is charged.
	leastCost = time.Millisecond
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

// classOf returns the class that a request without one is served in.
func classOf(c recordv1.RequestClass) recordv1.RequestClass {
	if c == recordv1.RequestClass_REQUEST_CLASS_UNSPECIFIED {
		return recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE
	}
	return c
}

// share is the fair clock of one upstream.
type share struct {
	classes   clock[recordv1.RequestClass]
	customers map[recordv1.RequestClass]*clock[string]
}

func (s *share) of(c recordv1.RequestClass) *clock[string] {
	if s.customers == nil {
		s.customers = make(map[recordv1.RequestClass]*clock[string])
	}
	k := s.customers[c]
	if k == nil {
		k = &clock[string]{}
		s.customers[c] = k
	}
	return k
}

// Table holds the waiting requests of an instance. Its zero value is ready; it
// is not safe for concurrent use.
type Table struct {
	MaxWaiting   int
	MaxPerTarget int

	lines   map[string]*line
	busy    map[string]*line  // those where requests wait
	shares  map[string]*share // by upstream
	waiting int
	seq     uint64
}

// Waiting returns how many requests wait.
func (t *Table) Waiting() int {
	return t.waiting
}

// WaitingOf returns how many requests of the customer wait.
func (t *Table) WaitingOf(customer string) int {
	n := 0
	for _, l := range t.busy {
		for _, f := range l.flows {
			if f.customer == customer {
				n += len(f.waiters)
			}
		}
	}
	return n
}

// Refused is a request that the Table refused.
type Refused struct {
	Waiter  *Waiter
	Refusal verdict.Refusal
}

// Join adds a request that waits for one of slots slots. It returns what is
// refused for it: nothing, the request itself, or one that gives way to it.
func (t *Table) Join(req Request, slots int, now time.Time) (*Waiter, *Refused) {
	req.Class = classOf(req.Class)
	if req.Weight <= 0 {
		req.Weight = 1
	}
	t.seq++
	w := &Waiter{Request: req, seq: t.seq}
	l := t.line(req.Target)
	l.slots = slots
	if !req.Deadline.After(now) {
		return w, t.refuse(l, w, now, verdict.ReasonDeadline, "the deadline has passed")
	}
	if wait := l.wait(w); wait > req.Deadline.Sub(now) {
		return w, t.refuse(l, w, now, verdict.ReasonDeadline, "the requests before it take longer than its deadline allows")
	}
	t.add(l, w)
	if f := t.overfull(l); f != nil {
		out := f.last()
		t.Leave(out)
		return w, t.refuse(t.line(out.Target), out, now, verdict.ReasonQueueFull, "the queue is full")
	}
	return w, nil
}

func (t *Table) line(target string) *line {
	l := t.lines[target]
	if l != nil {
		return l
	}
	if t.lines == nil {
		t.lines = make(map[string]*line)
	}
	if len(t.lines) >= maxIdleLines {
		t.dropIdle()
	}
	l = &line{target: target, flows: make(map[flowKey]*flow)}
	t.lines[target] = l
	return l
}

func (t *Table) dropIdle() {
	for k, l := range t.lines {
		if l.waiting == 0 {
			delete(t.lines, k)
		}
	}
}

func (t *Table) add(l *line, w *Waiter) {
	k := flowKey{w.Class, w.Customer}
	f := l.flows[k]
	if f == nil {
		f = &flow{flowKey: k}
		l.flows[k] = f
	}
	f.weight = w.Weight
	f.add(w)
	l.waiting++
	t.waiting++
	if t.busy == nil {
		t.busy = make(map[string]*line)
	}
	t.busy[l.target] = l
}

// Leave removes a request and reports whether it waited.
func (t *Table) Leave(w *Waiter) bool {
	l := t.lines[w.Target]
	if l == nil {
		return false
	}
	f := l.flows[flowKey{w.Class, w.Customer}]
	if f == nil || !f.remove(w) {
		return false
	}
	if len(f.waiters) == 0 {
		delete(l.flows, f.flowKey)
	}
	l.waiting--
	t.waiting--
	if l.waiting == 0 {
		delete(t.busy, l.target)
		l.booked = nil
	}
	if t.waiting == 0 {
		t.shares = nil // without waiting requests nobody has had more than a share
	}
	return true
}

// overfull returns the flow that must give way, nil for none.
func (t *Table) overfull(l *line) *flow {
	perTarget, total := t.MaxPerTarget, t.MaxWaiting
	if perTarget == 0 {
		perTarget = DefaultMaxPerTarget
	}
	if total == 0 {
		total = DefaultMaxWaiting
	}
	var most *flow
	switch {
	case l.waiting > perTarget:
		most = l.fullest(nil)
	case t.waiting > total:
		for _, other := range t.busy {
			most = other.fullest(most)
		}
	}
	return most
}

// fullest returns the flow with the most excess, of the line's flows and f.
func (l *line) fullest(f *flow) *flow {
	for _, g := range l.flows {
		if f == nil || g.excess() > f.excess() || g.excess() == f.excess() && g.last().seq > f.last().seq {
			f = g
		}
	}
	return f
}

func (f *flow) last() *Waiter {
	return f.waiters[len(f.waiters)-1]
}

// Room says who may get a slot of an upstream.
type Room struct {
	// Serves reports whether the target has room there and the customer may run more.
	Serves func(target, customer string) bool
	// Skip holds requests that take no slot now.
	Skip map[*Waiter]bool
}

func (r Room) takes(w *Waiter) bool {
	return !r.Skip[w]
}

// Pick returns the request that gets the next free slot of the upstream, of
// those that there is room for. It returns nil if there is none.
func (t *Table) Pick(upstream string, room Room) *Waiter {
	s := t.share(upstream)
	var best *Waiter
	for target, l := range t.busy {
		for _, f := range l.flows {
			if !room.Serves(target, f.customer) {
				continue
			}
			i := slices.IndexFunc(f.waiters, room.takes)
			if i >= 0 && (best == nil || s.isBefore(f.waiters[i], best)) {
				best = f.waiters[i]
			}
		}
	}
	return best
}

func (s *share) isBefore(a, b *Waiter) bool {
	if a.Class != b.Class {
		x, y := s.classes.start(a.Class), s.classes.start(b.Class)
		return x < y || x == y && a.Class < b.Class
	}
	if a.Customer != b.Customer {
		c := s.of(a.Class)
		if x, y := c.start(a.Customer), c.start(b.Customer); x != y {
			return x < y
		}
	}
	return compareWaiters(a, b) < 0
}

func (t *Table) share(upstream string) *share {
	s := t.shares[upstream]
	if s == nil {
		s = &share{}
		if t.shares == nil {
			t.shares = make(map[string]*share)
		}
		t.shares[upstream] = s
	}
	return s
}

// Grant removes a request that got a slot of the upstream, and charges its
// class and customer.
func (t *Table) Grant(w *Waiter, upstream string) bool {
	cost := max(t.line(w.Target).service, leastCost).Seconds()
	s := t.share(upstream)
	s.classes.charge(w.Class, cost, classWeight(w.Class))
	s.of(w.Class).charge(w.Customer, cost, w.Weight)
	return t.Leave(w)
}

// Ended takes over how long a request of the target held its slot.
func (t *Table) Ended(target string, took time.Duration) {
	t.line(target).ended(took)
}
