package conductor

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/rater"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// planInterval is the longest time between two plans.
	planInterval = 100 * time.Millisecond
	// planPause is the least time between two plans.
	planPause = 5 * time.Millisecond
	// reportLife is how long an instance's report counts.
	reportLife = 3 * time.Second
	// priorCopyRate is the rate that a copy beyond the first stands for until
	// requests have arrived.
	priorCopyRate = 13.0
	// inspectPause is the time between two questions what an upstream holds.
	inspectPause = 400 * time.Millisecond
	// StoreLanes is how many loads from the weight store run at full speed.
	StoreLanes = 4
)

// Answer is how an upstream took an order.
type Answer uint8

// Answers. Unknown means that there was none.
const (
	Unknown Answer = iota
	Accepted
	Holds    // what is ordered is so already
	Conflict // another order is under way, or the number of orders differs
	Refused
	Gone // another upstream answers at the address
)

// State is what an upstream says that it holds.
type State struct {
	Orders  int64 // that it has accepted
	IsBusy  bool  // an order is under way
	Models  []registrar.Model
	Running int
	OnHost  []string
	OnDisk  []string
}

// Remote speaks to upstreams.
type Remote struct {
	// Order sends one order. The number of orders that the upstream must have
	// accepted before is expect.
	Order func(ctx context.Context, u *registrar.Upstream, o arranger.Order, token, expect int64) (Answer, error)
	// State asks what the upstream holds.
	State func(ctx context.Context, u *registrar.Upstream) (State, error)
}

// Use is what one instance asks of a model or adapter.
type Use struct {
	Service, Model, Adapter string
	Arrived, Waiting        int
	Running                 map[string]int // by upstream
}

// Conductor gives orders while Token says that it may. Its exported fields must
// be set before Run.
type Conductor struct {
	Remote  Remote
	Beliefs *registrar.Table
	Config  func() *matcher.Config
	// Token returns the fencing token if an order may be given now.
	Token func() (int64, bool)
	// IsHolder reports whether this instance holds the lease.
	IsHolder func() bool
	// OnViews hears what the upstreams hold whenever that has changed.
	OnViews func([]registrar.View)
	Log     *zap.Logger
	Metrics *Metrics

	mu      sync.Mutex
	reports map[string]report
	engines map[string]*engine
	rates   map[key]*rater.Rate
	wake    chan struct{}
	changed bool
	seen    bool        // a request has arrived
	priors  map[key]int // most copies of a model before that
	moves   sync.WaitGroup
}

// key names a model or adapter of a service.
type key struct{ service, model, adapter string }

// report is what an instance reported last.
type report struct {
	at   time.Time
	uses []Use
}

// engine is an upstream that holds models, as the conductor knows it.
type engine struct {
	up     *registrar.Upstream
	known  bool  // it has said what it holds
	orders int64 // that it has accepted
	models []registrar.Model
	busy   bool   // a move or a question is under way
	target string // model that the move under way will load
	store  bool   // a load from the store is under way
	since  map[string]time.Time
	used   map[string]time.Time // adapters, as model/name
	onDisk []string
	onHost []string
	retry  time.Time // no move before then
	doneAt time.Time // when the move under way should be done

	// Of the order under way, for its log line.
	conflicts  int
	acceptedIn time.Duration
}

// Report takes over what an instance reported.
func (c *Conductor) Report(instance string, uses []Use, now time.Time) {
	c.mu.Lock()
	c.initLocked()
	c.reports[instance] = report{now, uses}
	urgent := false
	for _, u := range uses {
		c.seen = c.seen || u.Arrived > 0
		c.rateLocked(u).Add(u.Arrived, now)
		if u.Adapter != "" {
			c.rateLocked(Use{Service: u.Service, Model: u.Model}).Add(u.Arrived, now)
			c.noteUsedLocked(u, now)
		}
		urgent = urgent || u.Waiting > 0
	}
	c.mu.Unlock()
	if urgent {
		c.Wake()
	}
}

// Forget drops the report of an instance that has left.
func (c *Conductor) Forget(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reports, instance)
}

func (c *Conductor) noteUsedLocked(u Use, now time.Time) {
	for _, e := range c.engines {
		holds := slices.ContainsFunc(e.models, func(m registrar.Model) bool {
			return m.Name == u.Model && slices.Contains(m.Adapters, u.Adapter)
		})
		if holds && (u.Arrived > 0 || u.Running[e.up.ID] > 0) {
			e.used[u.Model+"/"+u.Adapter] = now
		}
	}
}

func (c *Conductor) initLocked() {
	if c.reports != nil {
		return
	}
	c.reports = make(map[string]report)
	c.engines = make(map[string]*engine)
	c.rates = make(map[key]*rater.Rate)
	c.wake = make(chan struct{}, 1)
}

func (c *Conductor) rateLocked(u Use) *rater.Rate {
	k := key{u.Service, u.Model, u.Adapter}
	r := c.rates[k]
	if r == nil {
		r = &rater.Rate{}
		c.rates[k] = r
	}
	return r
}

// Wake makes Run plan again.
func (c *Conductor) Wake() {
	c.mu.Lock()
	c.initLocked()
	w := c.wake
	c.mu.Unlock()
	select {
	case w <- struct{}{}:
	default:
	}
}

// Run plans and gives orders until ctx ends.
func (c *Conductor) Run(ctx context.Context) {
	c.mu.Lock()
	c.initLocked()
	c.mu.Unlock()
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if c.IsHolder() {
			c.plan(ctx, time.Now())
		} else {
			c.rest()
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-c.wake:
			time.Sleep(planPause) // joins what comes together
		}
	}
	c.moves.Wait()
}

// rest forgets what only a holder knows.
func (c *Conductor) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, e := range c.engines {
		if !e.busy {
			delete(c.engines, id)
		}
	}
}

// plan takes over the beliefs and starts the moves that are worth making.
func (c *Conductor) plan(ctx context.Context, now time.Time) {
	cfg := c.Config()
	if cfg == nil {
		return
	}
	c.mu.Lock()
	c.adoptLocked(now)
	token, may := c.Token()
	starts := c.inspectLocked(ctx, now)
	if may {
		for _, svc := range cfg.Services {
			if svc.Engine == nil {
				continue
			}
			for _, m := range arranger.Plan(c.fleetLocked(svc, now)) {
				starts = append(starts, c.startLocked(ctx, svc, m, token))
			}
		}
	}
	c.mu.Unlock()
	for _, start := range starts {
		start()
	}
	c.publish()
}

// adoptLocked takes over what the platform's entries say.
func (c *Conductor) adoptLocked(now time.Time) {
	s := c.Beliefs.Now()
	cfg := c.Config()
	for id, u := range s.ByID {
		if svc, ok := cfg.Services[u.Service]; !ok || svc.Engine == nil {
			continue
		}
		e := c.engines[id]
		if e != nil && e.busy {
			continue // its move sees what has changed
		}
		if e != nil && e.up.Born == u.Born {
			e.up, e.onDisk, e.onHost = u, u.OnDisk, u.OnHost
			continue
		}
		c.engines[id] = &engine{
			up: u, since: make(map[string]time.Time), used: make(map[string]time.Time), onDisk: u.OnDisk, onHost: u.OnHost,
		}
	}
	for id, e := range c.engines {
		if s.ByID[id] == nil && !e.busy {
			delete(c.engines, id)
			c.changed = true
		}
	}
}

// inspectLocked returns what asks the upstreams that have not said yet what
// they hold. A former holder's order may still be under way there.
func (c *Conductor) inspectLocked(ctx context.Context, now time.Time) []func() {
	var out []func()
	for _, e := range c.engines {
		if e.known || e.busy || now.Before(e.retry) {
			continue
		}
		e.busy = true
		c.moves.Add(1)
		out = append(out, func() {
			go func() {
				defer c.moves.Done()
				s, err := c.state(ctx, e)
				c.mu.Lock()
				e.busy = false
				if err != nil || s.IsBusy {
					e.retry = time.Now().Add(inspectPause)
				} else {
					e.known = true
					e.adopt(s, time.Time{})
					c.changed = true
				}
				c.mu.Unlock()
				c.Log.Info("upstream asked what it holds", zap.String("upstream", e.up.ID), zap.Int64("orders", s.Orders),
					zap.Bool("busy", s.IsBusy), zap.Int("models", len(s.Models)), logger.Error(err))
				c.Wake()
			}()
		})
	}
	return out
}

// adopt takes over what the upstream says that it holds.
func (e *engine) adopt(s State, now time.Time) {
	e.orders, e.models = s.Orders, slices.Clone(s.Models)
	for _, m := range s.Models {
		if _, ok := e.since[m.Name]; !ok {
			e.since[m.Name] = now
		}
	}
}

// fleetLocked returns what a plan for the service is made from.
func (c *Conductor) fleetLocked(svc matcher.Service, now time.Time) arranger.Fleet {
	f := arranger.Fleet{Engine: *svc.Engine, StoreLanes: StoreLanes, IsIdle: !c.seen, Now: now}
	running := c.runningLocked(now)
	for _, e := range c.engines {
		if e.up.Service != svc.Name || !e.known {
			continue
		}
		if e.store {
			f.StoreLoads++
		}
		if !e.up.IsLeaving {
			f.Upstreams = append(f.Upstreams, c.viewLocked(e, running, now))
		}
	}
	slices.SortFunc(f.Upstreams, func(a, b arranger.Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.Demands = c.demandsLocked(svc.Name, running, now)
	return f
}

func (c *Conductor) viewLocked(e *engine, running map[runKey]int, now time.Time) arranger.Upstream {
	u := arranger.Upstream{
		ID: e.up.ID, DataCentre: e.up.DataCentre, IsBusy: e.busy || now.Before(e.retry),
		BusyFor: max(e.doneAt.Sub(now), e.retry.Sub(now)), OnHost: e.onHost, OnDisk: e.onDisk,
	}
	for _, m := range e.models {
		r := arranger.Resident{Model: m.Name, Since: e.since[m.Name], Running: running[runKey{e.up.ID, m.Name, ""}]}
		for _, a := range m.Adapters {
			n := running[runKey{e.up.ID, m.Name, a}]
			r.Adapters = append(r.Adapters, arranger.Adapter{Name: a, Running: n, LastUsed: e.used[m.Name+"/"+a]})
			r.Running += n
		}
		u.Running += r.Running
		u.Models = append(u.Models, r)
	}
	if e.target != "" && !slices.ContainsFunc(e.models, func(m registrar.Model) bool { return m.Name == e.target }) {
		u.Models = append(u.Models, arranger.Resident{Model: e.target, Since: now})
	}
	return u
}

type runKey struct{ upstream, model, adapter string }

// runningLocked counts the requests that run, over all instances.
func (c *Conductor) runningLocked(now time.Time) map[runKey]int {
	out := make(map[runKey]int)
	for _, r := range c.reports {
		if now.Sub(r.at) > reportLife {
			continue
		}
		for _, u := range r.uses {
			for id, n := range u.Running {
				out[runKey{id, u.Model, u.Adapter}] += n
			}
		}
	}
	return out
}

// demandsLocked joins what all instances ask of a service.
func (c *Conductor) demandsLocked(service string, running map[runKey]int, now time.Time) []arranger.Demand {
	waiting, runs := make(map[key]int), make(map[key]int)
	for k, n := range running {
		runs[key{service, k.model, ""}] += n
	}
	for _, r := range c.reports {
		if now.Sub(r.at) > reportLife {
			continue
		}
		for _, u := range r.uses {
			waiting[key{u.Service, u.Model, u.Adapter}] += u.Waiting
			if u.Adapter != "" {
				waiting[key{u.Service, u.Model, ""}] += u.Waiting
			}
		}
	}
	c.priorsLocked(service, now)
	var out []arranger.Demand
	for k, r := range c.rates {
		if k.service != service || k.model == "" {
			continue
		}
		out = append(out, arranger.Demand{Model: k.model, Adapter: k.adapter, Rate: r.Forecast(now), Waiting: waiting[k], Running: runs[k]})
	}
	return out
}

// priorsLocked lets the copies that the upstreams began with stand for rates
// that no request has shown yet.
func (c *Conductor) priorsLocked(service string, now time.Time) {
	if c.seen {
		return
	}
	copies := make(map[key]int)
	for _, e := range c.engines {
		if e.up.Service == service {
			for _, m := range e.models {
				copies[key{service, m.Name, ""}]++
			}
		}
	}
	if c.priors == nil {
		c.priors = make(map[key]int)
	}
	for k, n := range copies {
		c.priors[k] = max(c.priors[k], n)
	}
	for k, n := range c.priors {
		if n > 1 {
			r := c.rateLocked(Use{Service: k.service, Model: k.model})
			r.Assume(priorCopyRate*float64(n-1), now)
		}
	}
}
