// Package tallier counts the requests that wait and run for each model, and
// brings the counts to the instances that plan the models' replicas.
//
// Every entry instance tallies its own requests. The holder of a model's shard
// sums what all instances sent. A tally that is not renewed expires, so that a
// lost instance wants nothing for long.
package tallier

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Defaults of a Tallier.
const (
	DefaultInterval = 200 * time.Millisecond
	// DefaultCoalesce is how long the first waiting request waits for company.
	DefaultCoalesce = 5 * time.Millisecond
	expiry          = 3 * time.Second
	sendTimeout     = time.Second
	// forgetAfter is how long an unused target is remembered.
	forgetAfter = time.Hour
)

// Target is a model, or an adapter on its model.
type Target struct {
	Model   string
	Adapter string
}

// Demand is what all instances want of a target.
type Demand struct {
	Waiting int
	Running int
	// Arrived counts the requests since the last call of Take.
	Arrived int
	// Deadline is the earliest deadline of a waiting request, zero for none.
	Deadline time.Time
	// Class is the most urgent class of a waiting request.
	Class recordv1.RequestClass
	// LastUsed is when a request last arrived, waited or ran.
	LastUsed time.Time
}

// Tallier counts. Send and Holder must be set before Run.
type Tallier struct {
	Instance string
	// Holder returns the instance that holds a model's shard, "" for none.
	Holder func(model string) string
	// Send brings demands to a holder. The own instance is never sent to.
	Send func(ctx context.Context, holder string, req *peerv1.WantRequest) error
	// OnWant, if set, is called when a demand for an own shard grows.
	OnWant func()

	mu    sync.Mutex
	local map[Target]*local
	remot map[string]map[Target]remote
	wake  chan struct{}
	// sending holds the holders to which a message is on its way.
	sending map[string]bool
	// heat counts what waits and runs, by model.
	heat map[string]int
}

type local struct {
	waiting, running, arrived int
	deadlines                 deadlines
	classes                   map[recordv1.RequestClass]int // of those that wait
	sent                      bool                          // the last count was sent
	lastUsed                  time.Time
}

type remote struct {
	waiting, running, arrived int
	deadline                  time.Time
	class                     recordv1.RequestClass
	heard                     time.Time
	lastUsed                  time.Time
}

// Ticket is one request in the tally.
type Ticket struct {
	t       *Tallier
	target  Target
	running bool

	class    recordv1.RequestClass
	deadline time.Time
	index    int // in the heap of deadlines
}

// Wait adds a waiting request.
func (t *Tallier) Wait(target Target, class recordv1.RequestClass, deadline time.Time) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.localLocked(target)
	k := &Ticket{t: t, target: target, class: class, deadline: deadline}
	t.addHeatLocked(target.Model, 1)
	l.waiting++
	l.arrived++
	l.classes[class]++
	heap.Push(&l.deadlines, k)
	l.sent = false
	l.lastUsed = time.Now()
	t.wakeLocked()
	return k
}

// Run says that the request runs now.
func (k *Ticket) Run() {
	k.t.mu.Lock()
	defer k.t.mu.Unlock()
	if k.running {
		return
	}
	l := k.t.localLocked(k.target)
	k.running = true
	l.running++
	l.leave(k)
	l.sent = false
}

// Again says that the attempt broke off and the request waits once more.
func (k *Ticket) Again(deadline time.Time) {
	k.t.mu.Lock()
	defer k.t.mu.Unlock()
	if !k.running {
		return
	}
	l := k.t.localLocked(k.target)
	k.running = false
	k.deadline = deadline
	l.running--
	l.waiting++
	l.classes[k.class]++
	heap.Push(&l.deadlines, k)
	l.sent = false
	k.t.wakeLocked()
}

// Done takes the request out of the tally.
func (k *Ticket) Done() {
	k.t.mu.Lock()
	defer k.t.mu.Unlock()
	l := k.t.localLocked(k.target)
	k.t.addHeatLocked(k.target.Model, -1)
	if k.running {
		l.running--
	} else {
		l.leave(k)
	}
	l.sent = false
	l.lastUsed = time.Now()
}

func (t *Tallier) localLocked(target Target) *local {
	if t.local == nil {
		t.local = make(map[Target]*local)
	}
	l := t.local[target]
	if l == nil {
		l = &local{classes: make(map[recordv1.RequestClass]int)}
		t.local[target] = l
	}
	return l
}

// leave takes a ticket out of those that wait.
func (l *local) leave(k *Ticket) {
	l.waiting--
	heap.Remove(&l.deadlines, k.index)
	l.classes[k.class]--
	if l.classes[k.class] == 0 {
		delete(l.classes, k.class)
	}
}

// class returns the most urgent class of those that wait.
func (l *local) class() recordv1.RequestClass {
	var most recordv1.RequestClass
	for c := range l.classes {
		if most == 0 || c < most {
			most = c
		}
	}
	return most
}

// Heat returns how many requests to the model wait and run, as far as this
// instance knows: its own, and those of its peers if it holds the model's shard.
func (t *Tallier) Heat(model string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heat[model]
}

func (t *Tallier) addHeatLocked(model string, n int) {
	if t.heat == nil {
		t.heat = make(map[string]int)
	}
	t.heat[model] += n
	if t.heat[model] == 0 {
		delete(t.heat, model)
	}
}

// setRemoteLocked takes over what a peer wants of a target.
func (t *Tallier) setRemoteLocked(m map[Target]remote, target Target, r remote) {
	old := m[target]
	t.addHeatLocked(target.Model, r.waiting+r.running-old.waiting-old.running)
	m[target] = r
}

func (t *Tallier) wakeLocked() {
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Receive takes over what a peer wants.
func (t *Tallier) Receive(req *peerv1.WantRequest, now time.Time) {
	t.mu.Lock()
	if t.remot == nil {
		t.remot = make(map[string]map[Target]remote)
	}
	m := t.remot[req.GetInstance()]
	if m == nil {
		m = make(map[Target]remote)
		t.remot[req.GetInstance()] = m
	}
	for _, d := range req.GetDemands() {
		target := Target{d.GetModel(), d.GetAdapter()}
		r := remote{
			waiting: int(d.GetWaiting()), running: int(d.GetRunning()),
			arrived: m[target].arrived + int(d.GetArrived()), class: recordv1.RequestClass(d.GetClass()),
			heard: now, lastUsed: now,
		}
		if r.waiting > 0 {
			r.deadline = now.Add(time.Duration(d.GetSlackMs()) * time.Millisecond)
		}
		t.setRemoteLocked(m, target, r)
	}
	t.mu.Unlock()
	if t.OnWant != nil {
		t.OnWant()
	}
}

// Take returns the demand of all instances for the targets that keep accepts,
// and sets the count of arrivals to zero.
func (t *Tallier) Take(now time.Time, keep func(model string) bool) map[Target]Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Target]Demand)
	for target, l := range t.local {
		if keep(target.Model) {
			out[target] = l.demand()
			l.arrived = 0
		}
	}
	for _, m := range t.remot {
		for target, r := range m {
			if now.Sub(r.heard) > expiry {
				r.waiting, r.running, r.deadline = 0, 0, time.Time{}
			}
			if !keep(target.Model) {
				continue
			}
			out[target] = out[target].plus(r)
			r.arrived = 0
			t.setRemoteLocked(m, target, r)
		}
	}
	return out
}

func (l *local) demand() Demand {
	d := Demand{Waiting: l.waiting, Running: l.running, Arrived: l.arrived, Class: l.class(), LastUsed: l.lastUsed}
	if len(l.deadlines) > 0 {
		d.Deadline = l.deadlines[0].deadline
	}
	return d
}

func (d Demand) plus(r remote) Demand {
	d.Waiting += r.waiting
	d.Running += r.running
	d.Arrived += r.arrived
	if !r.deadline.IsZero() && (d.Deadline.IsZero() || r.deadline.Before(d.Deadline)) {
		d.Deadline = r.deadline
	}
	if d.Class == 0 || r.class != 0 && r.class < d.Class {
		d.Class = r.class
	}
	if r.lastUsed.After(d.LastUsed) {
		d.LastUsed = r.lastUsed
	}
	return d
}

// HolderOf returns a Holder function over folded state.
func HolderOf(view func(func(*folder.State))) func(string) string {
	return func(model string) string {
		holder := ""
		view(func(s *folder.State) {
			if sh := s.Shard(folder.ShardOf(model)); !sh.Released {
				holder = sh.Current.Instance
			}
		})
		return holder
	}
}
