package conductor

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// engineStub is an upstream that accepts orders and injects faults.
type engineStub struct {
	mu             sync.Mutex
	orders         int64
	models         []string
	startedAtMs    int64 // that it states, 0 for none
	received       []string
	exceededMemory bool
	// replyFault reports whether the reply to the nth call is lost, and whether the
	// order is still applied, at once (isDone) or later (isLate).
	replyFault func(n int) (isLost, isDone, isLate bool)
	delayed    []func()
	refuses    bool
	conflicts  int // number of calls that return Conflict
	calls      int
	// onConnected, if set, is called before maySend. Without it maySend is not called.
	onConnected func()
}

// maxModels is how many models fit into the memory of an engine.
const maxModels = 2

func (s *engineStub) order(_ context.Context, _ *registrar.Upstream, o arranger.Order, _, expect int64) (OrderStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.received = append(s.received, fmt.Sprintf("%s %s", o.Operation, o.Model))
	if s.refuses {
		return Refused, nil
	}
	var isLost, isDone, isLate bool
	if s.replyFault != nil {
		isLost, isDone, isLate = s.replyFault(s.calls)
	}
	if isLate {
		s.delayed = append(s.delayed, func() { s.apply(o, expect) })
	}
	if isLost && !isDone {
		return Unknown, errors.New("no response")
	}
	if s.conflicts > 0 {
		s.conflicts--
		return Conflict, nil
	}
	a := s.apply(o, expect)
	if isLost {
		return Unknown, errors.New("no response")
	}
	return a, nil
}

// reply returns the response to an order.
func (s *engineStub) reply(ctx context.Context, u *registrar.Upstream, o arranger.Order, token, expect int64, maySend func() error) (OrderReply, error) {
	if s.onConnected != nil {
		s.onConnected()
		if err := maySend(); err != nil {
			return OrderReply{}, err
		}
	}
	status, err := s.order(ctx, u, o, token, expect)
	return OrderReply{Status: status}, err
}

func (s *engineStub) apply(o arranger.Order, expect int64) OrderStatus {
	if expect != s.orders {
		return Conflict
	}
	s.orders++
	switch {
	case o.Operation == arranger.Unload:
		s.models = slices.DeleteFunc(s.models, func(m string) bool { return m == o.Model })
	case !slices.Contains(s.models, o.Model):
		s.models = append(s.models, o.Model)
	}
	s.exceededMemory = s.exceededMemory || len(s.models) > maxModels
	return Accepted
}

func (s *engineStub) state(context.Context, *registrar.Upstream) (State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{StartedAtMs: s.startedAtMs, NumOrders: s.orders}
	for _, m := range s.models {
		st.Models = append(st.Models, registrar.Model{Name: m})
	}
	return st, nil
}

// applyDelayed applies the orders that arrive late.
func (s *engineStub) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.delayed {
		f()
	}
	s.delayed = nil
}

func newConductor(t *testing.T, s *engineStub) (*Conductor, func()) {
	t.Helper()
	models := make(map[string]matcher.Model)
	for i := range 4 {
		name := fmt.Sprintf("m%d", i)
		models[name] = matcher.Model{Name: name, SizeMB: 100, StoreLoadDuration: time.Millisecond, DiskLoadDuration: time.Millisecond, HostLoadDuration: time.Millisecond}
	}
	cfg := matcher.New(1, nil, map[string]matcher.Service{
		"lm": {Name: "lm", Engine: &matcher.Engine{Slots: 4, MemoryMB: 200, AdapterSlots: 2, Models: models}},
	}, matcher.Limits{})
	upstreams := &registrar.Table{}
	upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"e1": {ID: "e1", Service: "lm", StartedAtMs: 1, Slots: 4, OnDisk: []string{"m0", "m1", "m2", "m3"}}}, time.Now())
	c := &Conductor{
		Remote: Remote{Order: s.reply, State: s.state}, Upstreams: upstreams, Config: func() *matcher.Config { return cfg },
		Token: func() (int64, bool) { return 1, true }, IsHolder: func() bool { return true },
		OnViews: func(v []registrar.View) { upstreams.ApplyViews(v, time.Now()) },
		Log:     zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	return c, sync.OnceFunc(func() {
		go func() { c.Run(ctx); close(done) }()
		t.Cleanup(func() { cancel(); <-done })
	})
}

// waitForModel waits until the model is published as loaded on the engine.
func waitForModel(c *Conductor, model string) {
	for {
		s := c.Upstreams.Snapshot()
		if u := s.ByID["e1"]; u != nil && u.Holds(model, "") {
			return
		}
		<-s.Changed
	}
}

func (c *Conductor) reportWaiting(model string, waiting int) {
	c.Report("i1", []Demand{{Service: "lm", Model: model, Arrived: waiting, Waiting: waiting}}, time.Now())
}

func TestWaitingModelIsLoaded(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, run := newConductor(t, s)
	run()
	c.reportWaiting("m2", 1)
	waitForModel(c, "m2")
	require.False(t, s.exceededMemory)
}

// Lost replies and orders that are applied late must not make an engine exceed its
// memory, and the model must be loaded in the end.
func TestLostRepliesAndLateOrdersKeepWithinMemory(t *testing.T) {
	tests := map[string]func(n int) (isLost, isDone, isLate bool){
		"order lost":         func(n int) (bool, bool, bool) { return n%2 == 1, false, false },
		"reply lost":         func(n int) (bool, bool, bool) { return n%2 == 1, true, false },
		"order applied late": func(n int) (bool, bool, bool) { return n%3 != 0, false, true },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			s := &engineStub{models: []string{"m0", "m1"}, replyFault: fault}
			c, run := newConductor(t, s)
			run()
			for _, m := range []string{"m2", "m3", "m0"} {
				c.reportWaiting(m, 3)
				waitForModel(c, m)
				s.applyDelayed()
			}
			require.False(t, s.exceededMemory)
		})
	}
}

func TestConflictIsRetried(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}, conflicts: 5}
	c, run := newConductor(t, s)
	run()
	c.reportWaiting("m2", 1)
	waitForModel(c, "m2")
	require.False(t, s.exceededMemory)
}

// An order of a former holder that is applied after the state request changes the
// number of accepted orders. So the next order has no effect, and the state is
// requested again.
func TestLateOrderOfFormerHolderVoidsNextOrder(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, run := newConductor(t, s)
	first := true
	s.replyFault = func(int) (bool, bool, bool) {
		if first {
			first = false
			s.apply(arranger.Order{Operation: arranger.Unload, Model: "m0"}, s.orders)
			s.apply(arranger.Order{Operation: arranger.Load, Model: "m3"}, s.orders)
		}
		return false, false, false
	}
	run()
	c.reportWaiting("m2", 1)
	waitForModel(c, "m2")
	require.False(t, s.exceededMemory)
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, _ := newConductor(t, s)
	c.Token = func() (int64, bool) { return 1, false }
	c.reportWaiting("m2", 1)
	c.plan(t.Context(), time.Now())
	c.moves.Wait() // the state request
	c.plan(t.Context(), time.Now())
	c.moves.Wait()
	require.Empty(t, s.received)
}

// A failed move may still have changed the models of the engine, so its state is
// requested again before the next order.
func TestStateIsRequestedAfterFailedMove(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, _ := newConductor(t, s)
	c.reportWaiting("m2", 1)
	c.plan(t.Context(), time.Now())
	c.moves.Wait()
	require.True(t, c.engines["e1"].isKnown)
	s.refuses = true
	c.plan(t.Context(), time.Now())
	c.moves.Wait()
	require.False(t, c.engines["e1"].isKnown)
	require.Empty(t, c.Views(time.Now()), "the state is not published meanwhile")
}

// The lease is checked before each order, not once for a move.
func TestLeaseIsCheckedBeforeEachOrder(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, _ := newConductor(t, s)
	var mu sync.Mutex
	checks := 0
	c.Token = func() (int64, bool) {
		mu.Lock()
		defer mu.Unlock()
		checks++
		return 1, checks <= 3
	}
	c.reportWaiting("m2", 1)
	c.plan(t.Context(), time.Now()) // requests the state of the engine
	c.moves.Wait()
	c.plan(t.Context(), time.Now()) // unloads; the lease ends before the load
	c.moves.Wait()
	require.Equal(t, []string{"unload m0"}, s.received)
}

// TestLeaseIsCheckedWhenTheConnectionIsOpen guards against an order of a process that was paused
// while it connected to the upstream, longer than its lease.
func TestLeaseIsCheckedWhenTheConnectionIsOpen(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, _ := newConductor(t, s)
	var hasExpired atomic.Bool
	s.onConnected = func() { hasExpired.Store(true) }
	c.Token = func() (int64, bool) { return 1, !hasExpired.Load() }
	c.reportWaiting("m2", 1)
	c.plan(t.Context(), time.Now()) // requests the state of the engine
	c.moves.Wait()
	c.plan(t.Context(), time.Now())
	c.moves.Wait()
	require.True(t, hasExpired.Load(), "an order was about to be sent")
	require.Empty(t, s.received)
}

func TestPriorRatesLastUntilRequestsArrive(t *testing.T) {
	s := &engineStub{models: []string{"m0"}}
	c, _ := newConductor(t, s)
	c.initLocked()
	for i := range 3 {
		id := fmt.Sprintf("e%d", i+2)
		c.engines[id] = &engine{up: &registrar.Upstream{ID: id, Service: "lm"}, models: []registrar.Model{{Name: "m0"}}}
	}
	now := time.Unix(1000, 0)
	c.setPriorRatesLocked("lm", now)
	require.InDelta(t, 2*priorReplicaRate, c.rates[key{"lm", "m0", ""}].At(now), 0.1)
	c.engines = map[string]*engine{}
	c.setPriorRatesLocked("lm", now.Add(time.Minute))
	require.InDelta(t, 2*priorReplicaRate, c.rates[key{"lm", "m0", ""}].At(now.Add(time.Minute)), 0.1, "no decay before the first request")
	c.reportWaiting("m1", 1)
	c.setPriorRatesLocked("lm", now.Add(2*time.Minute))
	require.Less(t, c.rates[key{"lm", "m0", ""}].At(now.Add(2*time.Minute)), 0.1)
}

// A model that another one replaces is removed from the views at once, and
// unloaded when its requests have ended. It returns to the views if it need not be
// replaced any more.
func TestModelDrainsBeforeItIsUnloaded(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, run := newConductor(t, s)
	run()
	waitForModel(c, "m0")
	waitForModel(c, "m1")
	busy := []Demand{
		{Service: "lm", Model: "m0", Arrived: 1, Running: map[string]int{"e1": 1}},
		{Service: "lm", Model: "m1", Arrived: 9, Running: map[string]int{"e1": 3}},
	}
	waiting := Demand{Service: "lm", Model: "m2", Arrived: 1, Waiting: 1}
	drained := func() bool {
		u := c.Upstreams.Snapshot().ByID["e1"]
		return !u.Holds("m0", "") && u.Holds("m1", "")
	}
	report := func(demands ...Demand) { c.Report("i1", demands, time.Now()) }
	reportUntil := func(cond func() bool, demands ...Demand) {
		for !cond() {
			report(demands...)
			runtime.Gosched()
		}
	}
	reportUntil(drained, append(busy, waiting)...)
	s.mu.Lock()
	require.Empty(t, s.received, "no order while a request runs")
	s.mu.Unlock()
	reportUntil(func() bool { return !drained() }, busy...)

	reportUntil(drained, append(busy, waiting)...)
	report(busy[1], waiting)
	waitForModel(c, "m2")
	require.Equal(t, []string{"unload m0", "load m2"}, s.received)
}

// Plans ignore an upstream that fails most attempts, until its failure estimate
// has decayed.
func TestFailingUpstreamIsIgnoredInPlans(t *testing.T) {
	c, _ := newConductor(t, &engineStub{})
	now := time.Now()
	c.mu.Lock()
	c.initLocked()
	c.syncEnginesLocked(now)
	c.engines["e1"].isKnown = true
	c.mu.Unlock()
	svc := c.Config().Services["lm"]
	require.Len(t, c.fleetLocked(svc, now).Upstreams, 1)
	c.RecordOutcomes("e1", 1, 20, 20, now)
	require.Empty(t, c.fleetLocked(svc, now).Upstreams)
	require.Len(t, c.fleetLocked(svc, now.Add(10*time.Second)).Upstreams, 1)
	c.RecordOutcomes("e1", 2, 20, 20, now.Add(10*time.Second))
	require.Len(t, c.fleetLocked(svc, now.Add(10*time.Second)).Upstreams, 1, "outcomes of another incarnation are ignored")
}

// A move to an unreachable upstream ends after a limited number of attempts.
func TestMoveIsAbortedWithoutConnection(t *testing.T) {
	tries := 0
	c, _ := newConductor(t, &engineStub{})
	c.Remote.Order = func(context.Context, *registrar.Upstream, arranger.Order, int64, int64, func() error) (OrderReply, error) {
		tries++
		return OrderReply{}, &courier.Error{Err: errors.New("refused"), IsDial: true}
	}
	e := &engine{up: c.Upstreams.Snapshot().ByID["e1"], isKnown: true, loadedAt: make(map[string]time.Time), lastUsed: make(map[string]time.Time)}
	err := c.executeOrder(t.Context(), e, arranger.Order{Operation: arranger.Unload, Model: "m0"})
	require.ErrorIs(t, err, errMoveAborted)
	require.Equal(t, maxConnectFailures, tries)
}

// The rates of models that are no longer requested are dropped.
func TestRatesOfIdleModelsAreDropped(t *testing.T) {
	c, _ := newConductor(t, &engineStub{})
	now := time.Now()
	c.Report("i1", []Demand{{Service: "lm", Model: "m0", Adapter: "a1", Arrived: 1}}, now)
	demands := func(at time.Time) int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.demandsLocked("lm", at))
	}
	require.Equal(t, 2, demands(now))
	require.Zero(t, demands(now.Add(2*time.Minute)))
	require.Empty(t, c.rates)
}

// An upstream that responds that it is leaving gets no further orders, and plans leave
// it out.
func TestNoOrdersToLeavingUpstream(t *testing.T) {
	s := &engineStub{models: []string{"m0"}}
	c, _ := newConductor(t, s)
	c.Remote.State = func(ctx context.Context, u *registrar.Upstream) (State, error) {
		st, err := s.state(ctx, u)
		st.IsLeaving = true
		return st, err
	}
	e := &engine{up: c.Upstreams.Snapshot().ByID["e1"], isKnown: true, loadedAt: make(map[string]time.Time), lastUsed: make(map[string]time.Time)}
	_, err := c.requestState(t.Context(), e)
	require.NoError(t, err)
	require.ErrorIs(t, c.executeOrder(t.Context(), e, arranger.Order{Operation: arranger.Load, Model: "m1"}), errMoveAborted)
	require.Empty(t, s.received)
	c.initLocked()
	c.syncEnginesLocked(time.Now())
	c.engines["e1"].isKnown = true
	require.Empty(t, c.fleetLocked(c.Config().Services["lm"], time.Now()).Upstreams)
}

// An upstream that refuses an order with a retry delay gets no orders and no state
// requests until the delay is over, and then the order.
func TestOrderWaitsForRetryDelayOfUpstream(t *testing.T) {
	s := &engineStub{models: []string{"m0"}}
	c, _ := newConductor(t, s)
	const delay = 300 * time.Millisecond
	var sentAt []time.Time
	c.Remote.Order = func(ctx context.Context, u *registrar.Upstream, o arranger.Order, token, expect int64, maySend func() error) (OrderReply, error) {
		sentAt = append(sentAt, time.Now())
		if len(sentAt) == 1 {
			return OrderReply{Notice: registrar.Notice{RetryAfter: delay}}, errors.New("status 503")
		}
		return s.reply(ctx, u, o, token, expect, maySend)
	}
	e := &engine{up: c.Upstreams.Snapshot().ByID["e1"], isKnown: true, loadedAt: make(map[string]time.Time), lastUsed: make(map[string]time.Time)}
	require.NoError(t, c.executeOrder(t.Context(), e, arranger.Order{Operation: arranger.Load, Model: "m1", LoadDuration: time.Millisecond}))
	require.Len(t, sentAt, 2)
	require.GreaterOrEqual(t, sentAt[1].Sub(sentAt[0]), delay)

	c.Upstreams.ApplyNotice("e1", 1, registrar.Notice{RetryAfter: time.Hour}, time.Now())
	_, err := c.requestState(t.Context(), e)
	require.Error(t, err)
}

// The sums over the reports follow each report and each instance that is lost.
func TestTotalsFollowReports(t *testing.T) {
	c, _ := newConductor(t, &engineStub{})
	now := time.Now()
	running := func(n int) []Demand {
		return []Demand{{Service: "lm", Model: "m0", Adapter: "a1", Waiting: n, Running: map[string]int{"e1": n}}}
	}
	c.Report("i1", running(2), now)
	c.Report("i2", running(3), now.Add(2*time.Second))
	c.Report("i1", running(1), now)
	require.Equal(t, 4, c.totals.runningAt["e1"])
	require.Equal(t, 4, c.totals.running[runKey{"e1", "m0", "a1"}])
	require.Equal(t, 4, c.totals.runningByModel[key{"lm", "m0", ""}])
	require.Equal(t, 4, c.totals.waiting[key{"lm", "m0", ""}])
	c.expireReportsLocked(now.Add(reportTTL + time.Millisecond))
	require.Equal(t, 3, c.totals.runningAt["e1"], "the report of i1 is too old")
	c.RemoveInstance("i2")
	c.RemoveInstance("i2")
	require.Equal(t, newTotals(), c.totals)
}

// TestStateRequestsDoNotRaceWithRegistrations guards against a state request that reads its
// upstream after the next plan may replace it. It fails under the race detector only.
func TestStateRequestsDoNotRaceWithRegistrations(t *testing.T) {
	c, run := newConductor(t, &engineStub{})
	var numRequests atomic.Int32
	c.Remote.State = func(context.Context, *registrar.Upstream) (State, error) {
		numRequests.Add(1)
		return State{}, nil
	}
	run()
	const numUpstreams = 200
	for incarnation := int64(1); incarnation <= 20; incarnation++ {
		for numRequests.Store(0); numRequests.Load() < numUpstreams; {
			all := make(map[string]*registrar.Upstream)
			for n := range numUpstreams {
				id := fmt.Sprint("u", n)
				all[id] = &registrar.Upstream{ID: id, Service: "lm", StartedAtMs: incarnation, Slots: 4}
			}
			c.Upstreams.ApplyRegistrations(all, time.Now())
			c.Wake()
			for range 20 { // as plans do, but more often
				c.mu.Lock()
				c.syncEnginesLocked(time.Now())
				c.mu.Unlock()
			}
		}
	}
}
