package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/router"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Request is a request for admission.
type Request struct {
	// ID spreads the retry delays of refused requests.
	ID       string
	Customer string
	Class    recordv1.RequestClass
	// Weight is the weight of the contract of the customer; 0 means 1.
	Weight float64
	// Target identifies what the request needs, such as a model with an adapter.
	Target   string
	Deadline time.Time
	// NeedsWholeResponse says that the whole response must be complete before the
	// deadline, and not only start before it.
	NeedsWholeResponse bool
}

// Waiter is a waiting request in a Table. It must be granted by its Deadline.
type Waiter struct {
	Request

	seq     uint64
	decided chan decision
	choose  func([]router.Candidate) int
}

func compareWaiters(a, b *Waiter) int {
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// flowKey identifies a flow.
type flowKey struct {
	class    recordv1.RequestClass
	customer string
}

// flow holds the waiting requests of one customer and class for one target. They
// are served in the order of their deadlines.
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

// ahead returns the number of requests of the flow with an earlier deadline.
func (f *flow) ahead(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	return i
}

// excess returns the length of the flow relative to its weight.
func (f *flow) excess() float64 {
	return float64(len(f.waiters)) / (f.weight * classWeight(f.class))
}

// serviceMargin is the number of mean service times reserved for a whole response.
const serviceMargin = 2

// serviceSampleWeight is the weight of a new sample in the mean service time.
const serviceSampleWeight = 0.1

// targetQueue holds the waiting requests for one target.
type targetQueue struct {
	target      string
	flows       map[flowKey]*flow
	waiting     int
	slots       int           // slots of the upstreams of the target at the latest request or round
	meanService time.Duration // mean time for which a request holds its slot, 0 if unknown
	// nextRetry holds the next retry time to assign. It is dropped when no
	// request waits.
	nextRetry map[flowKey]time.Time
}

func (q *targetQueue) recordService(took time.Duration) {
	took = max(took, time.Microsecond)
	if q.meanService == 0 {
		q.meanService = took
		return
	}
	q.meanService += time.Duration(serviceSampleWeight * float64(took-q.meanService))
}

// latestStart returns the latest start of a request whose whole response must
// meet the deadline. It leaves at least half of the remaining time for the wait.
// Otherwise an overestimated service time would refuse every request and never
// be measured again.
func (q *targetQueue) latestStart(deadline, now time.Time) time.Time {
	return deadline.Add(-min(serviceMargin*q.meanService, max(0, deadline.Sub(now)/2)))
}

// grantInterval returns the mean time between two grants, 0 if it is unknown.
func (q *targetQueue) grantInterval() time.Duration {
	if q.slots == 0 {
		return 0
	}
	return q.meanService / time.Duration(q.slots)
}

// estimateWait returns the estimated wait of the request, 0 if it is unknown.
func (q *targetQueue) estimateWait(w *Waiter) time.Duration {
	interval := q.grantInterval()
	if interval == 0 {
		return 0
	}
	own := flowKey{w.Class, w.Customer}
	place := 1
	if f := q.flows[own]; f != nil {
		place += f.ahead(w)
	}
	before := float64(place)
	for k, f := range q.flows {
		if k == own {
			continue
		}
		ratio := f.weight / w.Weight
		if k.class != w.Class {
			ratio = classWeight(k.class) / classWeight(w.Class)
		}
		before += min(float64(len(f.waiters)), float64(place)*ratio)
	}
	return time.Duration(before * float64(interval))
}
