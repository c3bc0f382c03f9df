package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/router"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Request is a request that asks to be admitted.
type Request struct {
	// ID spreads the times to come back.
	ID       string
	Customer string
	Class    recordv1.RequestClass
	// Weight is the weight of the customer's contract; 0 means 1.
	Weight float64
	// Target is what the request needs, such as a model with an adapter.
	Target   string
	Deadline time.Time
}

// Waiter is a request in a Table.
type Waiter struct {
	Request

	seq    uint64
	answer chan answer
	choose func([]router.Candidate) int
}

func compareWaiters(a, b *Waiter) int {
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// flowKey names the requests that are served in the order of their deadlines.
type flowKey struct {
	class    recordv1.RequestClass
	customer string
}

// flow holds the waiting requests of one customer and class for one target.
type flow struct {
	flowKey
	weight  float64
	waiters []*Waiter // by deadline
}

func (f *flow) add(w *Waiter) {
	i, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	f.waiters = slices.Insert(f.waiters, i, w)
}

func (f *flow) remove(w *Waiter) bool {
	i, ok := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	if !ok {
		return false
	}
	if i == 0 {
		f.waiters[0] = nil
		f.waiters = f.waiters[1:]
		return true
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	return true
}

// ahead returns how many requests of the flow have an earlier deadline.
func (f *flow) ahead(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	return i
}

// excess returns how much of the queue the flow holds for its weight.
func (f *flow) excess() float64 {
	return float64(len(f.waiters)) / (f.weight * classWeight(f.class))
}

// serviceShare is the share of the newest sample in the mean service time.
const serviceShare = 0.1

// line holds what waits for one target.
type line struct {
	target  string
	flows   map[flowKey]*flow
	waiting int
	slots   int           // slots of the target's upstreams, as last seen
	service time.Duration // mean time that a request holds a slot, 0 for unknown
	// booked is the next time to come back, dropped when nothing waits.
	booked map[flowKey]time.Time
}

func (l *line) ended(took time.Duration) {
	took = max(took, time.Microsecond)
	if l.service == 0 {
		l.service = took
		return
	}
	l.service += time.Duration(serviceShare * float64(took-l.service))
}

// perGrant returns the mean time between two grants, 0 if it is unknown.
func (l *line) perGrant() time.Duration {
	if l.slots == 0 {
		return 0
	}
	return l.service / time.Duration(l.slots)
}

// wait estimates how long the request would wait, 0 if it is unknown.
func (l *line) wait(w *Waiter) time.Duration {
	per := l.perGrant()
	if per == 0 {
		return 0
	}
	own := flowKey{w.Class, w.Customer}
	place := 1
	if f := l.flows[own]; f != nil {
		place += f.ahead(w)
	}
	before := float64(place)
	for k, f := range l.flows {
		if k == own {
			continue
		}
		ratio := f.weight / w.Weight
		if k.class != w.Class {
			ratio = classWeight(k.class) / classWeight(w.Class)
		}
		before += min(float64(len(f.waiters)), float64(place)*ratio)
	}
	return time.Duration(before * float64(per))
}
