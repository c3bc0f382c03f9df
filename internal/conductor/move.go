package conductor

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// orderTimeout limits the wait for the response to an order, which an upstream
	// sends at once.
	orderTimeout = 400 * time.Millisecond
	// stateTimeout limits the wait for the state of an upstream.
	stateTimeout = 500 * time.Millisecond
	// orderRetryInterval is the time between two attempts to send an order, for
	// instance while another one is in flight.
	orderRetryInterval = 40 * time.Millisecond
	// connectRetryDelay is added to orderRetryInterval while an order cannot be
	// sent at all. After maxConnectFailures such attempts the move is aborted and
	// the state of the upstream is requested.
	connectRetryDelay  = 150 * time.Millisecond
	maxConnectFailures = 4
	// minLoadPollInterval is the initial interval between the state requests that
	// check whether a load is done. It doubles up to maxLoadPollInterval.
	minLoadPollInterval = 150 * time.Millisecond
	maxLoadPollInterval = 1200 * time.Millisecond
	// maxReportLag is how far an upstream's report may be behind its state.
	maxReportLag = 200 * time.Millisecond
	// conflictsPerStateRequest is the number of conflicts after which the state of
	// the upstream is requested to find the cause.
	conflictsPerStateRequest = 4
	// maxStateLag is how old the state that an upstream reports may be. It may still lack
	// orders that the upstream has accepted since.
	maxStateLag = 600 * time.Millisecond
	// maxRegistrationLag is how old what a registration says of an upstream's weights may be
	// when it is read: they are written every 1.2 s.
	maxRegistrationLag = 2 * time.Second
	// maxAcceptWait limits the time until an order is accepted, that is, until
	// another order ends: an unload waits for running requests, and a load from the
	// store may take this long.
	maxAcceptWait = 20 * time.Second
	// localLoadSlack is added to the load duration from disk or host memory.
	localLoadSlack = 40 * time.Millisecond
	// adapterLoadDuration is how long the load of an adapter takes.
	adapterLoadDuration = 8 * time.Millisecond
	// maxLoadWait limits the wait for a load from the store, which takes longer the
	// more loads run at once.
	maxLoadWait = time.Minute
	// failedMoveDelay is how long an upstream gets no orders after a failed move.
	failedMoveDelay = time.Second
)

// errMoveAborted is returned when a move cannot continue.
var errMoveAborted = errors.New("move aborted")

// errLeaseEnded is returned when this instance may not send an order any more.
var errLeaseEnded = errors.Wrap(errMoveAborted, "lease ended")

// checkLease returns an error if no order may be sent now. Opening the connection takes up to
// hundreds of milliseconds, and the process may be paused for longer, so the lease is checked
// again after it.
func (c *Conductor) checkLease() error {
	if _, ok := c.Token(); !ok {
		return errLeaseEnded
	}
	return nil
}

// startLocked marks the upstream as busy and returns a function that starts the
// move.
func (c *Conductor) startLocked(ctx context.Context, svc matcher.Service, m arranger.Move, token int64) func() {
	e := c.engines[m.Upstream]
	e.isBusy, e.isMoving = true, true
	if last := m.Orders[len(m.Orders)-1]; last.Adapter == "" {
		e.drain = drain{}
	}
	if last := m.Orders[len(m.Orders)-1]; last.Adapter == "" {
		e.target = last.Model
		e.doneAt = time.Now().Add(last.LoadDuration + maxReportLag)
	}
	c.moves.Add(1)
	return func() {
		go func() {
			defer c.moves.Done()
			err := c.executeMove(ctx, e, m)
			c.mu.Lock()
			e.isBusy, e.isMoving, e.isStoreLoading, e.target = false, false, false, ""
			if err != nil {
				// Any of the orders may have taken effect or may still be in flight.
				e.isKnown = false
				e.retryAt = time.Now().Add(failedMoveDelay)
			}
			c.viewsChanged = true
			c.mu.Unlock()
			if err != nil {
				c.Log.Warn("move failed", zap.String("upstream", m.Upstream), zap.Int64("token", token), logger.Error(err))
			}
			c.Wake()
		}()
	}
}

// executeMove executes the orders of a move one after the other.
func (c *Conductor) executeMove(ctx context.Context, e *engine, m arranger.Move) error {
	e.last = accepted{}
	if err := c.checkBeforeFirstOrder(ctx, e); err != nil {
		return err
	}
	for _, o := range m.Orders {
		start := time.Now()
		e.conflicts, e.acceptedIn = 0, 0
		c.awaitUnload(ctx, e.last)
		waited := time.Since(start)
		err := c.executeOrder(ctx, e, o)
		c.Log.Info("order", zap.String("upstream", m.Upstream), zap.String("operation", string(o.Operation)),
			zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.String("from", string(o.Tier)),
			zap.Int64("orders", e.numOrders), zap.String("why", m.Reason), zap.String("software", e.up.Software), zap.Int("bound-waiting", m.BoundWaiting), zap.Int("conflicts", e.conflicts),
			zap.Duration("waited", waited), zap.Duration("accepted-in", e.acceptedIn), zap.Duration("took", time.Since(start)), logger.Error(err))
		c.Metrics.record(o, err, time.Since(start))
		if err != nil {
			return err
		}
	}
	return nil
}

// executeOrder sends one order until the upstream accepts it, and waits until it
// is done.
func (c *Conductor) executeOrder(ctx context.Context, e *engine, o arranger.Order) error {
	start := time.Now()
	deadline := start.Add(maxAcceptWait)
	connectFailures := 0
	for ctx.Err() == nil && time.Now().Before(deadline) {
		token, ok := c.Token()
		if !ok {
			return errLeaseEnded
		}
		u := c.present(e)
		if u == nil {
			return errors.Wrap(errMoveAborted, "upstream is gone or leaving")
		}
		if now := time.Now(); u.IsPaused(now) {
			sleeper.Sleep(ctx, min(u.PausedUntil.Sub(now), deadline.Sub(now)))
			continue
		}
		sentAt := time.Now()
		octx, cancel := context.WithTimeout(ctx, orderTimeout)
		reply, err := c.Remote.Order(octx, e.up, o, token, e.numOrders, c.checkLease)
		cancel()
		if errors.Is(err, errLeaseEnded) {
			return err // nothing was sent
		}
		c.Upstreams.ApplyNotice(e.up.ID, e.up.StartedAtMs, reply.Notice, time.Now())
		switch reply.Status {
		case Accepted, AlreadyDone:
			now := time.Now()
			e.acceptedIn = now.Sub(start)
			c.recordUnloadTime(e.last, e.conflicts, now)
			e.last = newAccepted(o, sentAt, now)
			e.acceptedAt = now
			return c.applyOrder(ctx, e, o, reply.Status)
		case Conflict:
			// The previous order may not be done yet. The first conflicts need no
			// state request.
			if e.conflicts++; e.conflicts%conflictsPerStateRequest != 0 {
				if c.awaitRuns(ctx, e) {
					continue
				}
				break
			}
			done, err := c.resolveConflict(ctx, e, o)
			if done || err != nil {
				return err
			}
		case WrongUpstream:
			return errors.Wrap(errMoveAborted, "another upstream responded")
		case Refused:
			return errors.Wrapf(errMoveAborted, "order refused: %v", err)
		case Unknown:
			// The order is sent again with the same number, so that only one of the
			// two can take effect.
			c.Log.Info("order result unknown", zap.String("upstream", e.up.ID), zap.String("operation", string(o.Operation)),
				zap.String("model", o.Model), zap.Int64("orders", e.numOrders), logger.Error(err))
			if courier.WasSent(err) {
				break
			}
			if connectFailures++; connectFailures >= maxConnectFailures {
				return errors.Wrap(errMoveAborted, "cannot connect to upstream")
			}
			sleeper.Sleep(ctx, connectRetryDelay)
		}
		sleeper.Sleep(ctx, orderRetryInterval)
	}
	return errors.Wrap(errMoveAborted, "order not accepted in time")
}

// present returns the incarnation's present state, nil if it is not registered or is
// leaving.
func (c *Conductor) present(e *engine) *registrar.Upstream {
	u := c.Upstreams.Snapshot().ByID[e.up.ID]
	if u == nil || u.StartedAtMs != e.up.StartedAtMs || u.IsLeaving {
		return nil
	}
	return u
}

// requestState requests the state of an upstream, unless the upstream accepts
// nothing from this instance at present.
func (c *Conductor) requestState(ctx context.Context, e *engine) (State, error) {
	if u := c.Upstreams.Snapshot().ByID[e.up.ID]; u != nil && u.IsPaused(time.Now()) {
		return State{}, errors.Newf("upstream %s accepts no requests until %v", u.ID, u.PausedUntil)
	}
	sctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	c.Metrics.states.Inc()
	requestedAt := time.Now()
	s, err := c.Remote.State(sctx, e.up)
	if err == nil && s.StartedAtMs == e.up.StartedAtMs {
		c.Upstreams.RecordAlive(e.up.Incarnation(), requestedAt)
		if c.OnRequests != nil && len(s.Requests) > 0 {
			c.OnRequests(e.up, s.Requests)
		}
	}
	c.Upstreams.ApplyNotice(e.up.ID, e.up.StartedAtMs, s.Notice, time.Now())
	return s, err
}

// applyOrder updates the engine with the effect of an accepted order and waits
// for the load of a model.
func (c *Conductor) applyOrder(ctx context.Context, e *engine, o arranger.Order, status OrderStatus) error {
	if status == Accepted && o.Operation == arranger.Load && o.Adapter != "" {
		sleeper.Sleep(ctx, adapterLoadDuration) // requests for the adapter are refused until then
	}
	c.mu.Lock()
	if status == Accepted {
		e.numOrders++
	}
	switch {
	case o.Operation == arranger.Unload:
		e.models = registrar.WithoutModel(e.models, o.Model, o.Adapter)
		if o.Adapter == "" && status == Accepted {
			e.recordUnload(o.Model, c.hostSlots[e.up.Service], time.Now())
		}
	case o.Adapter != "":
		e.models = registrar.WithAdapter(e.models, o.Model, o.Adapter)
		e.lastUsed[o.Model+"/"+o.Adapter] = time.Now()
	case status == AlreadyDone:
		e.setModel(registrar.Model{Name: o.Model})
	default:
		e.setModel(registrar.Model{Name: o.Model, ReadyAt: time.Now().Add(o.LoadDuration)})
		e.isStoreLoading = o.Tier == arranger.FromStore
		e.storeLoads = c.storeLoadsLocked()
	}
	c.viewsChanged = true
	c.mu.Unlock()
	c.publish()
	if status == Accepted && o.Operation == arranger.Load && o.Adapter == "" {
		return c.awaitLoad(ctx, e, o)
	}
	return nil
}

// setModel adds the model or updates it, keeping its adapters and version.
func (e *engine) setModel(m registrar.Model) {
	e.models = slices.Clone(e.models)
	if i := slices.IndexFunc(e.models, func(x registrar.Model) bool { return x.Name == m.Name }); i >= 0 {
		m.Adapters, m.Version = e.models[i].Adapters, e.models[i].Version
		e.models[i] = m
		return
	}
	e.models = append(e.models, m)
}

// publish calls OnViews if the state of the upstreams has changed.
func (c *Conductor) publish() {
	c.mu.Lock()
	if !c.viewsChanged {
		c.mu.Unlock()
		return
	}
	c.viewsChanged = false
	views := c.viewsLocked(time.Now())
	c.mu.Unlock()
	c.OnViews(views)
}

func (c *Conductor) viewsLocked(now time.Time) []registrar.View {
	out := make([]registrar.View, 0, len(c.engines))
	for id, e := range c.engines {
		if !e.isKnown {
			continue
		}
		models := e.models
		for _, m := range e.draining(now) {
			models = registrar.WithoutModel(models, m, "")
		}
		out = append(out, registrar.View{ID: id, StartedAtMs: e.up.StartedAtMs, NumOrders: e.numOrders, Models: models, Running: c.totals.runningAt[id], FailureEstimate: e.failures})
	}
	return out
}

// Views returns the models and the running requests of all upstreams whose state
// is known. Models that drain are left out.
func (c *Conductor) Views(now time.Time) []registrar.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.viewsLocked(now)
}

// RunningOf returns how many requests of an instance run on each upstream, by its
// ID.
func (c *Conductor) RunningOf(instance string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int)
	for _, d := range c.reports[instance].demands {
		for id, n := range d.Running {
			out[id] += n
		}
	}
	return out
}
