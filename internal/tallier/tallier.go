// Package tallier counts the waiting and running requests of each model, and
// sends the counts to the instances that plan the models' replicas.
//
// Every entry instance counts its own requests. The holder of a model's shard
// adds up the counts of all instances. Counts that are not renewed expire, so
// that an instance that has failed soon adds no demand.
package tallier

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Defaults of a Tallier.
const (
	// DefaultSendInterval is the time between two renewals of the counts.
	DefaultSendInterval = 200 * time.Millisecond
	// DefaultCoalesceDelay is how long new demand is collected before it is sent.
	DefaultCoalesceDelay = 5 * time.Millisecond
	// remoteTTL is how long the counts of a peer are valid.
	remoteTTL   = 3 * time.Second
	sendTimeout = time.Second
	// idleTargetTTL is how long a target without requests is kept.
	idleTargetTTL = time.Hour
)

// Target is a model, or one of its adapters if Adapter is set.
type Target struct {
	Model   string
	Adapter string
}

// Demand is the demand of all instances for a target.
type Demand struct {
	Waiting int
	Running int
	// Arrived counts the requests since the last call of TakeDemand.
	Arrived int
	// Deadline is the earliest deadline of a waiting request, zero for none.
	Deadline time.Time
	// Class is the most urgent class of the waiting requests, zero for none.
	Class recordv1.RequestClass
	// LastUsed is the latest time at which a request is known to have arrived,
	// waited or run.
	LastUsed time.Time
}

// Tallier counts requests by target. Send and Holder must be set before Run.
type Tallier struct {
	Instance string
	// Holder returns the instance that holds a model's shard, "" for none.
	Holder func(model string) string
	// Send sends demands to a holder. It is not called for the own instance.
	Send func(ctx context.Context, holder string, req *peerv1.WantRequest) error
	// OnDemandChange, if set, is called when the demand for a shard of this instance
	// may have changed.
	OnDemandChange func()

	mu     sync.Mutex
	local  map[Target]*localCounts
	remote map[string]map[Target]remoteCounts // by peer
	wake   chan struct{}
	// sending holds the holders to which a message is in flight.
	sending map[string]bool
	// numRequests counts the waiting and running requests, by model.
	numRequests map[string]int
}

type localCounts struct {
	waiting, running, arrived int
	deadlines                 deadlines
	classes                   map[recordv1.RequestClass]int // of the waiting requests
	isSent                    bool                          // whether the counts were sent since their last change
	lastUsed                  time.Time
}

type remoteCounts struct {
	waiting, running, arrived int
	deadline                  time.Time
	class                     recordv1.RequestClass
	receivedAt                time.Time
	lastUsed                  time.Time
}

// Ticket is one counted request.
type Ticket struct {
	t       *Tallier
	target  Target
	running bool

	class    recordv1.RequestClass
	deadline time.Time
	index    int // in the deadlines heap
}

// Add adds a waiting request. The caller must call the ticket's Done.
func (t *Tallier) Add(target Target, class recordv1.RequestClass, deadline time.Time) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.localLocked(target)
	k := &Ticket{t: t, target: target, class: class, deadline: deadline}
	t.addRequestsLocked(target.Model, 1)
	l.waiting++
	l.arrived++
	l.classes[class]++
	heap.Push(&l.deadlines, k)
	l.isSent = false
	l.lastUsed = time.Now()
	t.wakeLocked()
	return k
}

// MarkRunning changes the request from waiting to running.
func (k *Ticket) MarkRunning() {
	k.t.mu.Lock()
	defer k.t.mu.Unlock()
	if k.running {
		return
	}
	l := k.t.localLocked(k.target)
	k.running = true
	l.running++
	l.removeWaiting(k)
	l.isSent = false
}

// MarkWaiting changes the request back to waiting after its attempt failed.
func (k *Ticket) MarkWaiting(deadline time.Time) {
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
	l.isSent = false
	k.t.wakeLocked()
}

// Done removes the request from the counts.
func (k *Ticket) Done() {
	k.t.mu.Lock()
	defer k.t.mu.Unlock()
	l := k.t.localLocked(k.target)
	k.t.addRequestsLocked(k.target.Model, -1)
	if k.running {
		l.running--
	} else {
		l.removeWaiting(k)
	}
	l.isSent = false
	l.lastUsed = time.Now()
}

func (t *Tallier) localLocked(target Target) *localCounts {
	if t.local == nil {
		t.local = make(map[Target]*localCounts)
	}
	l := t.local[target]
	if l == nil {
		l = &localCounts{classes: make(map[recordv1.RequestClass]int)}
		t.local[target] = l
	}
	return l
}

// removeWaiting removes a ticket from the waiting requests.
func (l *localCounts) removeWaiting(k *Ticket) {
	l.waiting--
	heap.Remove(&l.deadlines, k.index)
	l.classes[k.class]--
	if l.classes[k.class] == 0 {
		delete(l.classes, k.class)
	}
}

// class returns the most urgent class of the waiting requests.
func (l *localCounts) class() recordv1.RequestClass {
	var mostUrgent recordv1.RequestClass
	for c := range l.classes {
		if mostUrgent == 0 || c < mostUrgent {
			mostUrgent = c
		}
	}
	return mostUrgent
}

// NumRequests returns the number of waiting and running requests to the model:
// those of this instance and, if it holds the model's shard, those of its peers.
func (t *Tallier) NumRequests(model string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.numRequests[model]
}

func (t *Tallier) addRequestsLocked(model string, n int) {
	if t.numRequests == nil {
		t.numRequests = make(map[string]int)
	}
	t.numRequests[model] += n
	if t.numRequests[model] == 0 {
		delete(t.numRequests, model)
	}
}

// setRemoteLocked replaces a peer's counts for a target.
func (t *Tallier) setRemoteLocked(m map[Target]remoteCounts, target Target, r remoteCounts) {
	old := m[target]
	t.addRequestsLocked(target.Model, r.waiting+r.running-old.waiting-old.running)
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

// Receive replaces the counts of a peer for the targets in req.
func (t *Tallier) Receive(req *peerv1.WantRequest, now time.Time) {
	t.mu.Lock()
	if t.remote == nil {
		t.remote = make(map[string]map[Target]remoteCounts)
	}
	m := t.remote[req.GetInstance()]
	if m == nil {
		m = make(map[Target]remoteCounts)
		t.remote[req.GetInstance()] = m
	}
	for _, d := range req.GetDemands() {
		target := Target{d.GetModel(), d.GetAdapter()}
		r := remoteCounts{
			waiting: int(d.GetWaiting()), running: int(d.GetRunning()),
			arrived: m[target].arrived + int(d.GetArrived()), class: recordv1.RequestClass(d.GetClass()),
			receivedAt: now, lastUsed: now,
		}
		if r.waiting > 0 {
			r.deadline = now.Add(time.Duration(d.GetSlackMs()) * time.Millisecond)
		}
		t.setRemoteLocked(m, target, r)
	}
	t.mu.Unlock()
	if t.OnDemandChange != nil {
		t.OnDemandChange()
	}
}

// TakeDemand returns the demand of all instances for the targets whose models
// include accepts, and resets their counts of arrivals.
func (t *Tallier) TakeDemand(now time.Time, include func(model string) bool) map[Target]Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Target]Demand)
	for target, l := range t.local {
		if include(target.Model) {
			out[target] = l.demand()
			l.arrived = 0
		}
	}
	for _, m := range t.remote {
		for target, r := range m {
			if now.Sub(r.receivedAt) > remoteTTL {
				r.waiting, r.running, r.deadline = 0, 0, time.Time{}
			}
			if !include(target.Model) {
				continue
			}
			out[target] = out[target].add(r)
			r.arrived = 0
			t.setRemoteLocked(m, target, r)
		}
	}
	return out
}

func (l *localCounts) demand() Demand {
	d := Demand{Waiting: l.waiting, Running: l.running, Arrived: l.arrived, Class: l.class(), LastUsed: l.lastUsed}
	if len(l.deadlines) > 0 {
		d.Deadline = l.deadlines[0].deadline
	}
	return d
}

func (d Demand) add(r remoteCounts) Demand {
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

// HolderOf returns a Holder function that reads the replicated state through
// view.
func HolderOf(view func(func(*applier.State))) func(string) string {
	return func(model string) string {
		holder := ""
		view(func(s *applier.State) {
			if sh := s.Shard(applier.ShardOf(model)); !sh.IsReleased {
				holder = sh.Holder.Instance
			}
		})
		return holder
	}
}
