package conductor

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

// awaitLoad waits until a load is done. For a load from the store the upstream
// reports that; other loads are done when their expected time is over.
func (c *Conductor) awaitLoad(ctx context.Context, e *engine, o arranger.Order) error {
	start := time.Now()
	before, _ := c.Upstreams.Registration(e.up.ID)
	nextPoll, interval := start.Add(o.LoadDuration+maxReportLag), minLoadPollInterval
	if o.Tier != arranger.FromStore {
		return c.awaitLocalLoad(ctx, e, o, start)
	}
	if o.OtherDuration > 0 {
		nextPoll = start.Add(o.OtherDuration + localLoadSlack)
	}
	isMissing := false // the upstream is not registered
	for ctx.Err() == nil && time.Since(start) < maxLoadWait {
		s := c.Upstreams.Snapshot()
		u := s.ByID[e.up.ID]
		if u != nil && u.StartedAtMs != e.up.StartedAtMs {
			return errors.Wrap(errMoveAborted, "upstream is gone")
		}
		if u == nil && !isMissing {
			nextPoll = time.Now() // it may only be late to register itself
		}
		isMissing = u == nil
		// A registration from before the order may list the model, too.
		if reg, ok := c.Upstreams.Registration(e.up.ID); ok && reg != before && time.Since(start) > o.LoadDuration/2 && reg.Holds(o.Model, "") {
			c.recordLoadDuration(e, o, time.Since(start))
			return c.markLoaded(e, o.Model, nil)
		}
		if !time.Now().Before(nextPoll) {
			st, err := c.requestState(ctx, e)
			switch {
			case isMissing && (err != nil || st.NumOrders < e.numOrders):
				return errors.Wrap(errMoveAborted, "upstream is gone")
			case err != nil:
			case hasModel(st, o.Model):
				c.recordLoadDuration(e, o, time.Since(start))
				return c.markLoaded(e, o.Model, &st)
			case !st.IsBusy && st.NumOrders >= e.numOrders:
				return errors.Wrap(errMoveAborted, "load ended without the model")
			default:
				if err := c.abortIfRestarted(e, st); err != nil {
					return err
				}
			}
			interval = min(2*interval, maxLoadPollInterval)
			nextPoll = time.Now().Add(interval)
		}
		select {
		case <-ctx.Done():
		case <-s.Changed:
		case <-time.After(max(time.Millisecond, time.Until(nextPoll))):
		}
	}
	return errors.Wrap(errMoveAborted, "load timed out")
}

// awaitLocalLoad waits until a load from disk or host memory is done. It takes a known time,
// and the upstream's report would come later than that. A request that arrives too early is
// refused as not run, and so is an order. If the weights may be elsewhere, the state is requested
// when the shorter of the two possible times is over.
func (c *Conductor) awaitLocalLoad(ctx context.Context, e *engine, o arranger.Order, start time.Time) error {
	longest := o.LoadDuration
	if o.OtherDuration > 0 {
		sleeper.Sleep(ctx, min(o.LoadDuration, o.OtherDuration)+localLoadSlack)
		st, err := c.requestState(ctx, e)
		if err == nil && !st.IsBusy && hasModel(st, o.Model) {
			return c.markLoaded(e, o.Model, &st)
		}
		longest = max(o.LoadDuration, o.OtherDuration)
		if longest > o.LoadDuration {
			c.mu.Lock()
			e.setModel(registrar.Model{Name: o.Model, ReadyAt: start.Add(longest)})
			e.doneAt, c.viewsChanged = start.Add(longest+maxReportLag), true
			c.mu.Unlock()
			c.publish()
		}
	}
	sleeper.Sleep(ctx, time.Until(start.Add(longest+localLoadSlack)))
	return c.markLoaded(e, o.Model, nil)
}

// storeLoadsLocked returns how many loads from the store are in flight.
func (c *Conductor) storeLoadsLocked() int {
	n := 0
	for _, e := range c.engines {
		if e.isStoreLoading {
			n++
		}
	}
	return n
}

// recordLoadDuration updates the limit of concurrent store loads with the duration
// of a load.
func (c *Conductor) recordLoadDuration(e *engine, o arranger.Order, took time.Duration) {
	c.mu.Lock()
	before := c.storeLimit
	c.storeLimit = c.storeLimit.WithLoad(took, o.LoadDuration, e.storeLoads)
	after := c.storeLimit
	c.mu.Unlock()
	if before != after {
		c.Log.Info("lanes of the weight store", zap.Int("lanes", after.Loads()), zap.Int("before", before.Loads()),
			zap.Duration("took", took), zap.Duration("alone", o.LoadDuration), zap.Int("under-way", e.storeLoads))
	}
}

func hasModel(s State, model string) bool {
	return slices.ContainsFunc(s.Models, func(m registrar.Model) bool { return m.Name == model })
}

// markLoaded marks the model as loaded, and updates the local weights from the
// upstream's state if there is one.
func (c *Conductor) markLoaded(e *engine, model string, s *State) error {
	c.mu.Lock()
	e.setModel(registrar.Model{Name: model})
	e.loadedAt[model] = time.Now()
	e.isStoreLoading = false
	if s != nil {
		e.setWeights(*s)
	}
	c.viewsChanged = true
	c.mu.Unlock()
	c.publish()
	return nil
}
