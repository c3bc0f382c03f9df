// Package tallier counts the requests that wait and run for each model, and
// brings the counts to the instances that plan the models' replicas.
//
// Every entry instance tallies its own requests. The holder of a model's shard
// sums what all instances sent. A tally that is not renewed expires, so that a
// lost instance wants nothing for long.
package tallier

import (
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
}

type local struct {
	waiting, running, arrived int
	deadlines                 map[*Ticket]time.Time
	class                     recordv1.RequestClass
	sent                      bool // the last count was sent
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
}

// Wait adds a waiting request.
func (t *Tallier) Wait(target Target, class recordv1.RequestClass, deadline time.Time) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.localLocked(target)
	k := &Ticket{t: t, target: target}
	l.waiting++
	l.arrived++
	if l.class == 0 || class < l.class {
		l.class = class
	}
	l.deadlines[k] = deadline
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
	l.waiting--
	l.running++
	delete(l.deadlines, k)
	l.sent = false
}

// Done takes the request out of the tally.
func (k *Ticket) Done() {
	k.t.mu.Lock()
	defer k.t.mu.Unlock()
	l := k.t.localLocked(k.target)
	if k.running {
		l.running--
	} else {
		l.waiting--
		delete(l.deadlines, k)
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
		l = &local{deadlines: make(map[*Ticket]time.Time)}
		t.local[target] = l
	}
	return l
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
		m[target] = r
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
			m[target] = r
		}
	}
	return out
}

func (l *local) demand() Demand {
	d := Demand{Waiting: l.waiting, Running: l.running, Arrived: l.arrived, Class: l.class, LastUsed: l.lastUsed}
	for _, at := range l.deadlines {
		if d.Deadline.IsZero() || at.Before(d.Deadline) {
			d.Deadline = at
		}
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

// Run brings the counts to the holders until ctx ends.
func (t *Tallier) Run(ctx context.Context) {
	t.mu.Lock()
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	wake := t.wake
	t.mu.Unlock()
	tick := time.NewTicker(DefaultInterval)
	defer tick.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			all = true
		case <-wake:
			time.Sleep(DefaultCoalesce)
		}
		t.send(ctx, all)
	}
}

// send brings new demands to the holders, or all that are not idle.
func (t *Tallier) send(ctx context.Context, all bool) {
	own := false
	byHolder := make(map[string]*peerv1.WantRequest)
	now := time.Now()
	holders := t.holders(all)
	t.mu.Lock()
	for target, holder := range holders {
		l := t.localLocked(target)
		l.sent = true
		if holder == t.Instance {
			own = true
			continue
		}
		req := byHolder[holder]
		if req == nil {
			req = &peerv1.WantRequest{Instance: t.Instance}
			byHolder[holder] = req
		}
		req.Demands = append(req.Demands, l.message(target, now))
		l.arrived = 0
	}
	t.mu.Unlock()
	if own && t.OnWant != nil {
		t.OnWant()
	}
	for holder, req := range byHolder {
		go func() {
			sctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := t.Send(sctx, holder, req); err != nil {
				t.unsend(req)
			}
		}()
	}
}

// holders returns the holder of every target that has something to send. It
// asks without the lock, since those who view the state take the tally.
func (t *Tallier) holders(all bool) map[Target]string {
	t.mu.Lock()
	due := make(map[Target]string)
	for target, l := range t.local {
		if !l.sent || all && l.waiting+l.running > 0 {
			due[target] = ""
		}
	}
	t.mu.Unlock()
	for target := range due {
		holder := t.Holder(target.Model)
		if holder == "" {
			delete(due, target)
			continue
		}
		due[target] = holder
	}
	return due
}

// unsend makes the next round send the demands again.
func (t *Tallier) unsend(req *peerv1.WantRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range req.GetDemands() {
		l := t.localLocked(Target{d.GetModel(), d.GetAdapter()})
		l.sent = false
		l.arrived += int(d.GetArrived())
	}
}

func (l *local) message(target Target, now time.Time) *peerv1.Demand {
	d := l.demand()
	m := &peerv1.Demand{
		Model: target.Model, Adapter: target.Adapter, Waiting: uint32(d.Waiting),
		Running: uint32(d.Running), Arrived: uint32(d.Arrived), Class: uint32(d.Class),
	}
	if !d.Deadline.IsZero() {
		m.SlackMs = uint32(max(0, d.Deadline.Sub(now).Milliseconds()))
	}
	return m
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
