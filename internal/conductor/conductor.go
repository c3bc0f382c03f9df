package conductor

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/gauger"
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
	// lostRisk is the share of failed attempts beyond which an upstream does not
	// count in a plan: its entry goes some seconds after it, and its models are
	// missed at once.
	lostRisk = 0.5
	// inspectPause is the time between two questions what an upstream holds.
	inspectPause = 400 * time.Millisecond
	// drainLife is how long a drain goes on after the last plan that asked for it:
	// plans pass over an upstream while it loads an adapter.
	drainLife = 300 * time.Millisecond
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
	lanes   gauger.Limit
	moves   sync.WaitGroup
}

// key names a model or adapter of a service.
type key struct{ service, model, adapter string }

// report is what an instance reported last.
type report struct {
	at   time.Time
	uses []Use
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

// NoteOutcomes takes over how an instance's attempts at an upstream went.
func (c *Conductor) NoteOutcomes(upstream string, born int64, attempts, failures int, now time.Time) {
	c.mu.Lock()
	e := c.engines[upstream]
	if e == nil || e.up.Born != born {
		c.mu.Unlock()
		return // a plain upstream, or one of its former runs
	}
	e.trust = e.trust.WithCounts(attempts, failures, now)
	c.changed = true
	c.mu.Unlock()
	c.publish()
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
	c.lapseLocked(now)
	token, may := c.Token()
	starts := c.inspectLocked(ctx, now)
	if may {
		for _, svc := range cfg.Services {
			if svc.Engine == nil {
				continue
			}
			for _, m := range arranger.Plan(c.fleetLocked(svc, now)) {
				if len(m.Drains) > 0 {
					c.drainLocked(m, now)
					continue
				}
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

// drainLocked keeps new requests from models whose place is wanted.
func (c *Conductor) drainLocked(m arranger.Move, now time.Time) {
	e := c.engines[m.Upstream]
	if !slices.Equal(e.drains(now), m.Drains) {
		c.changed = true
		c.Log.Info("models drain", zap.String("upstream", m.Upstream), zap.Strings("models", m.Drains),
			zap.String("for", m.Loads()), zap.String("why", m.Reason))
	}
	e.drain = drain{models: m.Drains, takes: m.Loads(), asked: now}
}

// lapseLocked ends the drains that no plan asks for any more.
func (c *Conductor) lapseLocked(now time.Time) {
	for _, e := range c.engines {
		if e.drain.models != nil && e.drains(now) == nil {
			e.drain = drain{}
			c.changed = true
		}
	}
}
