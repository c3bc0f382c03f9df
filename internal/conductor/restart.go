package conductor

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// minSuspicionAge is the least time between two state requests because of suspicions.
const minSuspicionAge = 100 * time.Millisecond

// Suspect makes the conductor request the state of an upstream whose process may have
// restarted, minSuspicionAge after the last one at the earliest: all connections of all instances
// to an upstream that lives may break at once, and again and again. Suspicions from before
// the last state are ignored.
func (c *Conductor) Suspect(i registrar.Incarnation, at time.Time) {
	c.mu.Lock()
	e := c.engines[i.ID]
	isNew := e != nil && e.up.StartedAtMs == i.StartedAtMs && e.isKnown && !e.isSuspected && at.After(e.stateAt)
	if isNew {
		e.isSuspected = true
		if next := e.stateAt.Add(minSuspicionAge); at.Before(next) {
			e.suspectedFrom = next
		}
	}
	c.mu.Unlock()
	if isNew {
		c.Wake()
	}
}

// MayHaveRestarted reports whether no order of the conductor explains that a model is missing
// at an upstream, according to a view with a number of accepted orders.
func (c *Conductor) MayHaveRestarted(r registrar.Restart) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[r.ID]
	return e == nil || e.up.StartedAtMs == r.StartedAtMs && e.numOrders == r.NumOrders && !e.isMoving
}

// hasRestarted reports whether a state is that of another process than the one that the
// engine is of. If it does not state when its process started, it is that of another one if it has
// accepted no order, and the one before had, or a loaded model is missing.
// A smaller number other than 0 shows that an order was counted that the upstream does not
// count, and a missing model alone that a load has failed. Within maxStateLag after an order the
// state may be older than the order and shows nothing.
func (e *engine) hasRestarted(s State, now time.Time) bool {
	switch {
	case s.StartedAtMs != 0:
		return s.StartedAtMs != e.up.StartedAtMs
	case s.IsBusy || s.NumOrders > 0 || e.mayBeOutdated(now):
		return false
	case e.numOrders > 0:
		return true
	}
	reported := modelNames(s.Models)
	return slices.ContainsFunc(e.models, func(m registrar.Model) bool {
		return m.ReadyAt.IsZero() && !slices.Contains(reported, m.Name)
	})
}

// mayBeOutdated reports whether a state that is requested now may lack the last order.
func (e *engine) mayBeOutdated(now time.Time) bool { return now.Sub(e.acceptedAt) < maxStateLag }

// checkSuspected requests the state of a suspected engine. What it reports is in force at
// once if the process is the same. A process that has restarted gets no orders until its
// registration has been read: it may be of another software version.
func (c *Conductor) checkSuspected(ctx context.Context, e *engine, i registrar.Incarnation) {
	requestedAt := time.Now()
	s, err := c.requestState(ctx, e)
	now := time.Now()
	c.mu.Lock()
	hasRestarted := err == nil && e.hasRestarted(s, time.Now())
	before, isOutdated := e.numOrders, e.mayBeOutdated(now)
	e.isBusy = false
	switch {
	case hasRestarted:
		e.isSuspected, e.isKnown = false, false
	case err != nil || s.IsBusy || isOutdated:
		e.retryAt = now.Add(stateRetryInterval)
	default:
		e.isSuspected, e.stateAt = false, requestedAt
		if !sameModels(e.models, s.Models) || e.numOrders != s.NumOrders {
			e.setState(s, now)
			c.viewsChanged = true
		}
	}
	c.mu.Unlock()
	c.Log.Info("suspected upstream state requested", zap.String("upstream", i.ID), zap.Int64("born", i.StartedAtMs), zap.Int64("reported-born", s.StartedAtMs), zap.Bool("restarted", hasRestarted),
		zap.Int64("orders", s.NumOrders), zap.Int64("orders-before", before), zap.Int("models", len(s.Models)), zap.Bool("busy", s.IsBusy),
		zap.Duration("took", now.Sub(requestedAt)), logger.Error(err))
	switch {
	case hasRestarted:
		c.Upstreams.ConfirmRestart(i, now)
	case err == nil && !s.IsBusy && !isOutdated:
		c.Upstreams.RefuteRestart(i, now)
	}
	c.Wake()
}

// abortIfRestarted returns an error if a state shows that the process of the engine of a move
// has restarted.
func (c *Conductor) abortIfRestarted(e *engine, s State) error {
	if !e.hasRestarted(s, time.Now()) {
		return nil
	}
	c.Upstreams.ConfirmRestart(e.up.Incarnation(), time.Now())
	return errors.Wrap(errMoveAborted, "upstream has restarted")
}

// maxStateAge is how old the state of an upstream may be when it gets its first order.
const maxStateAge = 200 * time.Millisecond

// checkBeforeFirstOrder returns an error if the upstream's process has restarted before it has
// accepted an order. The next process accepts an order that states the number 0, too, and
// requests would run there by the registration of the last one.
func (c *Conductor) checkBeforeFirstOrder(ctx context.Context, e *engine) error {
	if e.numOrders > 0 || time.Since(e.stateAt) < maxStateAge {
		return nil
	}
	s, err := c.requestState(ctx, e)
	if err != nil {
		return nil // the order shows whether the upstream can be reached
	}
	return c.abortIfRestarted(e, s)
}
