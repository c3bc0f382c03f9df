package conductor

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/estimator"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// engine is the conductor's state of an upstream that loads models.
type engine struct {
	up             *registrar.Upstream
	isKnown        bool  // the upstream has reported its state
	numOrders      int64 // number of accepted orders
	models         []registrar.Model
	isBusy         bool                 // a move or a state request is in flight
	isMoving       bool                 // a move is in flight
	isSuspected    bool                 // the process may have restarted
	suspectedFrom  time.Time            // when the state may be requested because of that
	isUnsettled    bool                 // an order of an earlier move or holder is in flight
	stateAt        time.Time            // when the last state was requested
	target         string               // model that the move in flight will load
	isStoreLoading bool                 // a load from the store is in flight
	storeLoads     int                  // loads from the store in flight when this one started, itself included
	loadedAt       map[string]time.Time // by model, zero if unknown
	lastUsed       map[string]time.Time // by model/adapter
	onDisk         []string
	weightsAt      time.Time // when an unload last changed inHostMemory
	inHostMemory   []string
	retryAt        time.Time // no move or state request before then
	doneAt         time.Time // expected end of the move in flight
	failures       estimator.Estimate
	drain          drain

	// last is the order of the move in flight that was accepted last. conflicts and
	// acceptedIn are logged with the order in flight.
	last       accepted
	acceptedAt time.Time // when the upstream last accepted an order
	conflicts  int
	acceptedIn time.Duration
}

// drain is a set of models that get no new requests at an engine, so that another
// model can be loaded in their place. It expires after drainTTL unless a plan
// requests it again.
type drain struct {
	models      []string
	replacement string    // model to be loaded
	requestedAt time.Time // time of the last plan that requested the drain
}

// draining returns the models that get no new requests.
func (e *engine) draining(now time.Time) []string {
	if now.Sub(e.drain.requestedAt) > drainTTL {
		return nil
	}
	return e.drain.models
}

// syncEnginesLocked updates the engines from the upstreams' registrations.
func (c *Conductor) syncEnginesLocked(now time.Time) {
	s := c.Upstreams.Snapshot()
	cfg := c.Config()
	for id, u := range s.ByID {
		if svc, ok := cfg.Services[u.Service]; !ok || svc.Engine == nil {
			continue
		}
		e := c.engines[id]
		c.hostSlots[u.Service] = max(c.hostSlots[u.Service], len(u.InHostMemory))
		if e != nil && e.isBusy {
			continue // the move in flight checks the registration itself
		}
		if e != nil && e.up.StartedAtMs == u.StartedAtMs {
			e.up, e.onDisk = u, u.OnDisk
			if now.Sub(e.weightsAt) > maxRegistrationLag {
				e.inHostMemory = u.InHostMemory
			}
			continue
		}
		c.engines[id] = &engine{
			up: u, numOrders: u.NumOrders, loadedAt: make(map[string]time.Time), lastUsed: make(map[string]time.Time), onDisk: u.OnDisk, inHostMemory: u.InHostMemory,
		}
	}
	for id, e := range c.engines {
		if s.ByID[id] == nil && !e.isBusy {
			delete(c.engines, id)
			c.viewsChanged = true
		}
	}
}

// requestStatesLocked returns functions that request the states of the upstreams
// whose state is unknown. An order of a former holder may still be in flight there: the
// upstream counts with what it holds and loads, gets no orders, and its state is requested
// again after stateRetryInterval.
func (c *Conductor) requestStatesLocked(ctx context.Context, now time.Time) []func() {
	var out []func()
	for _, e := range c.engines {
		if e.isKnown && !e.isSuspected && !e.isUnsettled || e.isBusy || now.Before(e.retryAt) || e.up.IsPaused(now) {
			continue
		}
		if e.isKnown && !e.isUnsettled && now.Before(e.suspectedFrom) {
			continue // it is only suspected, and its state is too new
		}
		e.isBusy = true
		up := e.up // a plan may replace it once e is not busy any more
		c.moves.Add(1)
		if e.isSuspected {
			i := e.up.Incarnation()
			e.doneAt = now
			out = append(out, func() {
				go func() {
					defer c.moves.Done()
					c.checkSuspected(ctx, e, i)
				}()
			})
			continue
		}
		out = append(out, func() {
			go func() {
				defer c.moves.Done()
				requestedAt := time.Now()
				s, err := c.requestState(ctx, e)
				c.mu.Lock()
				e.isBusy = false
				hasRestarted := err == nil && e.hasRestarted(s, time.Now())
				if err != nil || s.IsBusy || hasRestarted {
					e.retryAt = time.Now().Add(stateRetryInterval)
				}
				if err == nil && !hasRestarted {
					e.isKnown, e.stateAt, e.isUnsettled = true, requestedAt, s.IsBusy
					e.setState(s, time.Time{})
					c.adoptLoadsLocked(e, up, s, time.Now())
					c.viewsChanged = true
				}
				c.mu.Unlock()
				if hasRestarted {
					c.Upstreams.ConfirmRestart(up.Incarnation(), time.Now())
				}
				c.Log.Info("upstream state requested", zap.String("upstream", up.ID), zap.Int64("orders", s.NumOrders),
					zap.Bool("busy", s.IsBusy), zap.Int("models", len(s.Models)), logger.Error(err))
				c.Wake()
			}()
		})
	}
	return out
}

// setWeights updates what the engine has in host memory and on disk from the state that the
// upstream reports, if it lists any.
func (e *engine) setWeights(s State) {
	if len(s.OnDisk) > 0 {
		e.onDisk, e.inHostMemory, e.weightsAt = s.OnDisk, s.InHostMemory, time.Now()
	}
}

// recordUnload records that the weights of an unloaded model are in host memory now, in place of
// the oldest ones there.
func (e *engine) recordUnload(model string, slots int, now time.Time) {
	if slots == 0 {
		return // no upstream has shown weights in host memory
	}
	list := slices.DeleteFunc(slices.Clone(e.inHostMemory), func(m string) bool { return m == model })
	list = append(list, model)
	e.inHostMemory, e.weightsAt = list[max(0, len(list)-slots):], now
}

// adoptLoadsLocked adds the loads of an earlier move or holder that are in flight at a busy
// upstream. Its state does not say what is being loaded, but the last view does. Otherwise the load would be
// started again at another upstream.
func (c *Conductor) adoptLoadsLocked(e *engine, up *registrar.Upstream, s State, now time.Time) {
	e.isStoreLoading = false
	if !s.IsBusy || up.NumOrders != s.NumOrders {
		return
	}
	for _, m := range up.Models {
		if m.ReadyAt.IsZero() || hasModel(s, m.Name) {
			continue
		}
		e.setModel(m)
		e.doneAt = m.ReadyAt
		if svc := c.Config().Services[up.Service]; svc.Engine != nil {
			e.isStoreLoading = m.ReadyAt.Sub(now) > svc.Engine.Models[m.Name].DiskLoadDuration
			e.storeLoads = c.storeLoadsLocked()
		}
	}
}

// setState updates the engine from the state that the upstream reports. Models that
// were not known before count as loaded at the given time, zero if it is unknown.
func (e *engine) setState(s State, loadedAt time.Time) {
	e.numOrders, e.models = s.NumOrders, slices.Clone(s.Models)
	e.setWeights(s)
	for _, m := range s.Models {
		if _, ok := e.loadedAt[m.Name]; !ok {
			e.loadedAt[m.Name] = loadedAt
		}
	}
}
