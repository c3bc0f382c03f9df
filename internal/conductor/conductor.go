package conductor

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/limiter"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/rater"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// maxPlanInterval is the longest time between two plans.
	maxPlanInterval = 100 * time.Millisecond
	// minPlanInterval is the shortest time between two plans.
	minPlanInterval = 5 * time.Millisecond
	// reportTTL is how long an instance's report is valid.
	reportTTL = 3 * time.Second
	// priorReplicaRate is the rate, in requests per second, that is assumed for each
	// replica of a model beyond the first until requests have arrived.
	priorReplicaRate = 13.0
	// minKeptRate is the rate, in requests per second, below which the rate of a model
	// or adapter without requests is dropped. The rate after a single request falls
	// below it within about a minute.
	minKeptRate = 1e-7
	// maxFailureProbability is the failure probability above which plans ignore an
	// upstream. The registration of an upstream that has ended disappears only
	// seconds later, and its models must be loaded elsewhere at once.
	maxFailureProbability = 0.5
	// stateRetryInterval is the time after which the state of an upstream that did
	// not respond or was busy is requested again.
	stateRetryInterval = 400 * time.Millisecond
	// drainTTL is how long a drain lasts after the last plan that requested it:
	// plans skip an upstream while it loads an adapter.
	drainTTL = 300 * time.Millisecond
)

// OrderStatus is the response of an upstream to an order.
type OrderStatus uint8

// Order statuses. Unknown means that there was no response.
const (
	Unknown OrderStatus = iota
	Accepted
	AlreadyDone // the ordered state is in effect already
	Conflict    // another order is in flight, or the number of accepted orders differs
	Refused
	WrongUpstream // another upstream or incarnation responded at the address
)

// OrderReply is the response of an upstream to an order.
type OrderReply struct {
	Status OrderStatus
	registrar.Notice
}

// State is the state that an upstream reports.
type State struct {
	registrar.Notice
	// StartedAtMs is the start time of the process that responds in Unix milliseconds, 0 if it
	// does not state it.
	StartedAtMs  int64
	NumOrders    int64 // number of accepted orders
	IsBusy       bool  // an order is in flight
	Models       []registrar.Model
	Running      int
	InHostMemory []string
	OnDisk       []string
	// Requests are the ids of the requests that run and have sent events.
	Requests []string
}

// Remote sends requests to upstreams.
type Remote struct {
	// Order sends one order with the fencing token of the lease. The upstream
	// accepts it only if it has accepted exactly expect orders before. The reply is
	// valid also with an error. maySend is called when the connection is open, and an
	// error of it is returned without sending anything.
	Order func(ctx context.Context, u *registrar.Upstream, o arranger.Order, token, expect int64, maySend func() error) (OrderReply, error)
	// State requests the state of an upstream. The notice is valid also with an error.
	State func(ctx context.Context, u *registrar.Upstream) (State, error)
}

// Demand is what one instance reports for a model or adapter: the requests that
// arrived since its last report, those that wait, and those that run.
type Demand struct {
	Service, Model, Adapter string
	Arrived, Waiting        int
	Running                 map[string]int // by upstream ID
	// Software, if not nil, is the only software version at which the requests may run.
	Software *string
}

// Conductor sends orders while Token returns a fencing token. Its exported fields
// must be set before Run.
type Conductor struct {
	Remote    Remote
	Upstreams *registrar.Table
	Config    func() *matcher.Config
	// Token returns the fencing token of the lease, and whether an order may be
	// sent now.
	Token func() (int64, bool)
	// IsHolder reports whether this instance holds the lease.
	IsHolder func() bool
	// OnViews is called with the state of all upstreams whenever it has changed.
	OnViews func([]registrar.View)
	// OnRequests, if set, is called with the requests that the registered process of an upstream runs.
	OnRequests func(u *registrar.Upstream, requests []string)
	Log        *zap.Logger
	Metrics    *Metrics

	mu            sync.Mutex
	reports       map[string]report  // by instance
	totals        totals             // of the reports
	engines       map[string]*engine // by upstream ID
	rates         map[key]*rater.Rate
	lastArrival   map[key]time.Time // of requests for an adapter
	wake          chan struct{}
	viewsChanged  bool
	hasRequests   bool        // a request has arrived
	priorReplicas map[key]int // largest number of a model's replicas before the first request
	unloadTime    unloadTime
	hostSlots     map[string]int // by service, see arranger.Fleet
	storeLimit    limiter.Limit
	hasStoreLimit bool
	streams       map[string]*arranger.Streams // by service
	skippedAt     map[boundKey]time.Time       // when a load for the rest of streams was last logged as skipped
	moves         sync.WaitGroup
}

// key identifies a model or adapter of a service.
type key struct{ service, model, adapter string }

// report is the last report of an instance.
type report struct {
	at      time.Time
	demands []Demand
}

// Report stores the report of an instance. Waiting requests cause a new plan at
// once.
func (c *Conductor) Report(instance string, demands []Demand, now time.Time) {
	c.mu.Lock()
	c.initLocked()
	c.totals.add(c.reports[instance].demands, -1)
	c.totals.add(demands, 1)
	c.reports[instance] = report{now, demands}
	hasWaiting := false
	for _, d := range demands {
		c.hasRequests = c.hasRequests || d.Arrived > 0
		c.rateLocked(d).Add(d.Arrived, now)
		if d.Adapter != "" {
			c.rateLocked(Demand{Service: d.Service, Model: d.Model}).Add(d.Arrived, now)
			c.touchAdapterLocked(d, now)
		}
		hasWaiting = hasWaiting || d.Waiting > 0
	}
	c.mu.Unlock()
	if hasWaiting {
		c.Wake()
	}
}

// RecordOutcomes adds the outcomes of an instance's attempts at an upstream to its
// failure estimate.
func (c *Conductor) RecordOutcomes(upstream string, startedAtMs int64, attempts, failures int, now time.Time) {
	c.mu.Lock()
	e := c.engines[upstream]
	if e == nil || e.up.StartedAtMs != startedAtMs {
		c.mu.Unlock()
		return // not an engine, or another incarnation
	}
	e.failures = e.failures.WithCounts(attempts, failures, now)
	c.viewsChanged = true
	c.mu.Unlock()
	c.publish()
}

// RemoveInstance drops the report of an instance that is no longer a member.
func (c *Conductor) RemoveInstance(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeReportLocked(instance)
}

func (c *Conductor) removeReportLocked(instance string) {
	c.totals.add(c.reports[instance].demands, -1)
	delete(c.reports, instance)
}

// expireReportsLocked removes the reports that are too old to be valid.
func (c *Conductor) expireReportsLocked(now time.Time) {
	for instance, r := range c.reports {
		if now.Sub(r.at) > reportTTL {
			c.removeReportLocked(instance)
		}
	}
}

// touchAdapterLocked updates the time of last use of an adapter: where requests use
// it, and everywhere if requests arrived.
func (c *Conductor) touchAdapterLocked(d Demand, now time.Time) {
	if d.Arrived > 0 {
		c.lastArrival[key{d.Service, d.Model, d.Adapter}] = now
	}
	for id, n := range d.Running {
		if e := c.engines[id]; e != nil && n > 0 {
			e.lastUsed[d.Model+"/"+d.Adapter] = now
		}
	}
}

func (c *Conductor) initLocked() {
	if c.reports != nil {
		return
	}
	c.reports = make(map[string]report)
	c.totals = newTotals()
	c.engines = make(map[string]*engine)
	c.rates = make(map[key]*rater.Rate)
	c.lastArrival = make(map[key]time.Time)
	c.hostSlots = make(map[string]int)
	c.streams = make(map[string]*arranger.Streams)
	c.wake = make(chan struct{}, 1)
}

func (c *Conductor) rateLocked(d Demand) *rater.Rate {
	k := key{d.Service, d.Model, d.Adapter}
	r := c.rates[k]
	if r == nil {
		r = &rater.Rate{}
		c.rates[k] = r
	}
	return r
}

// Wake makes Run plan again without waiting for the next tick.
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

// Run plans and sends orders until ctx ends, and waits for moves in flight.
func (c *Conductor) Run(ctx context.Context) {
	c.mu.Lock()
	c.initLocked()
	c.mu.Unlock()
	tick := time.NewTicker(maxPlanInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if c.IsHolder() {
			c.plan(ctx, time.Now())
		} else {
			c.dropEngines()
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-c.wake:
			time.Sleep(minPlanInterval) // one plan for reports that arrive together
		}
	}
	c.moves.Wait()
}

// dropEngines drops the state of engines without a move in flight. It is called
// while the instance does not hold the lease, when that state can be out of date.
func (c *Conductor) dropEngines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, e := range c.engines {
		if !e.isBusy {
			delete(c.engines, id)
		}
	}
}

// plan updates the engines, requests unknown states, and starts the moves and
// drains of a new plan.
func (c *Conductor) plan(ctx context.Context, now time.Time) {
	cfg := c.Config()
	if cfg == nil {
		return
	}
	c.mu.Lock()
	c.syncEnginesLocked(now)
	c.expireReportsLocked(now)
	c.expireDrainsLocked(now)
	token, canOrder := c.Token()
	starts := c.requestStatesLocked(ctx, now)
	if canOrder {
		for _, svc := range cfg.Services {
			if svc.Engine == nil {
				continue
			}
			moves, skipped := arranger.PlanWithSkipped(c.fleetLocked(svc, now))
			c.logSkippedLocked(svc.Name, skipped, now)
			for _, m := range moves {
				if len(m.ModelsToDrain) > 0 {
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

// drainLocked stops new requests to the models that a move will unload.
func (c *Conductor) drainLocked(m arranger.Move, now time.Time) {
	e := c.engines[m.Upstream]
	if !slices.Equal(e.draining(now), m.ModelsToDrain) {
		c.viewsChanged = true
		c.Log.Info("models drain", zap.String("upstream", m.Upstream), zap.Strings("models", m.ModelsToDrain),
			zap.String("for", m.LoadedModel()), zap.String("why", m.Reason), zap.String("software", e.up.Software), zap.Int("bound-waiting", m.BoundWaiting))
	}
	e.drain = drain{models: m.ModelsToDrain, replacement: m.LoadedModel(), requestedAt: now}
}

// expireDrainsLocked ends the drains that no recent plan has requested.
func (c *Conductor) expireDrainsLocked(now time.Time) {
	for _, e := range c.engines {
		if e.drain.models != nil && e.draining(now) == nil {
			e.drain = drain{}
			c.viewsChanged = true
		}
	}
}
