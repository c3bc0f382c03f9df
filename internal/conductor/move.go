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
	// orderTimeout bounds the wait for the answer to an order, which an upstream
	// gives at once.
	orderTimeout = 400 * time.Millisecond
	// stateTimeout bounds the question what an upstream holds.
	stateTimeout = 500 * time.Millisecond
	// busyPause is the time between two tries while another order is under way.
	busyPause = 40 * time.Millisecond
	// unreachedPause is the time between two tries while an upstream cannot be
	// reached, and maxUnreached how many there are before the move is given up and
	// the upstream is asked what it holds.
	unreachedPause = 150 * time.Millisecond
	maxUnreached   = 4
	// conflictsToAsk is how many conflicts there are to a question why.
	conflictsToAsk = 4
	// donePause is the time between two questions whether a load is done. It
	// doubles up to maxDonePause.
	donePause    = 150 * time.Millisecond
	maxDonePause = 1200 * time.Millisecond
	// reportLag is how far an upstream's report may lag behind.
	reportLag = 200 * time.Millisecond
	// maxBusy bounds the wait for another order to end: an unload waits for its
	// runs, and a load from the store may take this long.
	maxBusy = 20 * time.Second
	// loadSlack is added to the time of a load from disk or host memory.
	loadSlack = 40 * time.Millisecond
	// adapterLoad is how long an adapter takes to be loaded.
	adapterLoad = 8 * time.Millisecond
	// maxLoad bounds the wait for a load, which takes longer the more there are.
	maxLoad = time.Minute
	// failedPause is how long an upstream is left alone after a failed move.
	failedPause = time.Second
)

// errStop says that a move cannot go on.
var errStop = errors.New("move given up")

// startLocked marks the upstream as busy and returns what carries the move out.
func (c *Conductor) startLocked(ctx context.Context, svc matcher.Service, m arranger.Move, token int64) func() {
	e := c.engines[m.Upstream]
	e.busy = true
	if last := m.Orders[len(m.Orders)-1]; last.Adapter == "" {
		e.drain = drain{}
	}
	if last := m.Orders[len(m.Orders)-1]; last.Adapter == "" {
		e.target = last.Model
		e.doneAt = time.Now().Add(last.Takes + reportLag)
	}
	c.moves.Add(1)
	return func() {
		go func() {
			defer c.moves.Done()
			err := c.carryOut(ctx, e, m)
			c.mu.Lock()
			e.busy, e.store, e.target = false, false, ""
			if err != nil {
				// The upstream may hold anything that was ordered, or still load it.
				e.known = false
				e.retry = time.Now().Add(failedPause)
			}
			c.changed = true
			c.mu.Unlock()
			if err != nil {
				c.Log.Warn("move failed", zap.String("upstream", m.Upstream), zap.Int64("token", token), logger.Error(err))
			}
			c.Wake()
		}()
	}
}

// carryOut gives the orders of a move one after the other.
func (c *Conductor) carryOut(ctx context.Context, e *engine, m arranger.Move) error {
	for _, o := range m.Orders {
		began := time.Now()
		e.conflicts, e.acceptedIn = 0, 0
		err := c.give(ctx, e, o)
		c.Log.Info("order", zap.String("upstream", m.Upstream), zap.String("operation", string(o.Operation)),
			zap.String("model", o.Model), zap.String("adapter", o.Adapter), zap.String("from", string(o.Tier)),
			zap.Int64("orders", e.orders), zap.String("why", m.Reason), zap.Int("conflicts", e.conflicts),
			zap.Duration("accepted-in", e.acceptedIn), zap.Duration("took", time.Since(began)), logger.Error(err))
		c.Metrics.note(o, err, time.Since(began))
		if err != nil {
			return err
		}
	}
	return nil
}

// give gives one order and waits until it is carried out.
func (c *Conductor) give(ctx context.Context, e *engine, o arranger.Order) error {
	began := time.Now()
	until := began.Add(maxBusy)
	unreached := 0
	for ctx.Err() == nil && time.Now().Before(until) {
		token, ok := c.Token()
		if !ok {
			return errors.Wrap(errStop, "lease ended")
		}
		if !c.isPresent(e) {
			return errors.Wrap(errStop, "upstream is gone or leaves")
		}
		octx, cancel := context.WithTimeout(ctx, orderTimeout)
		a, err := c.Remote.Order(octx, e.up, o, token, e.orders)
		cancel()
		switch a {
		case Accepted, Holds:
			e.acceptedIn = time.Since(began)
			return c.accepted(ctx, e, o, a)
		case Conflict:
			// The order before this one may not be done yet, which needs no question.
			if e.conflicts++; e.conflicts%conflictsToAsk != 0 {
				break
			}
			done, err := c.resolve(ctx, e, o)
			if done || err != nil {
				return err
			}
		case Gone:
			return errors.Wrap(errStop, "another upstream answers")
		case Refused:
			return errors.Wrapf(errStop, "order refused: %v", err)
		case Unknown:
			// Sent again with the same number: only one of the two can count.
			c.Log.Info("order of unknown fate", zap.String("upstream", e.up.ID), zap.String("operation", string(o.Operation)),
				zap.String("model", o.Model), zap.Int64("orders", e.orders), logger.Error(err))
			if courier.WasSent(err) {
				break
			}
			if unreached++; unreached >= maxUnreached {
				return errors.Wrap(errStop, "upstream not reached")
			}
			sleeper.Sleep(ctx, unreachedPause)
		}
		sleeper.Sleep(ctx, busyPause)
	}
	return errors.Wrap(errStop, "no answer in time")
}

func (c *Conductor) isPresent(e *engine) bool {
	u := c.Beliefs.Now().ByID[e.up.ID]
	return u != nil && u.Born == e.up.Born && !u.IsLeaving
}

// resolve learns why an order met a conflict. It reports done if the order has
// been carried out.
func (c *Conductor) resolve(ctx context.Context, e *engine, o arranger.Order) (done bool, err error) {
	sleeper.Sleep(ctx, busyPause)
	s, err := c.state(ctx, e)
	if err != nil {
		c.Log.Info("upstream's state not known", zap.String("upstream", e.up.ID), logger.Error(err))
		return false, nil
	}
	if s.Orders <= e.orders {
		return false, nil // another order is under way, or the report lags
	}
	before := e.orders
	asPlanned := sameModels(e.models, s.Models)
	c.mu.Lock()
	e.adopt(s, time.Now())
	c.changed = true
	c.mu.Unlock()
	i := slices.IndexFunc(s.Models, func(m registrar.Model) bool { return m.Name == o.Model })
	has := i >= 0 && (o.Adapter == "" || slices.Contains(s.Models[i].Adapters, o.Adapter))
	if s.Orders == before+1 && has == (o.Operation == arranger.Load) {
		return true, nil
	}
	if s.IsBusy && s.Orders == before+1 && o.Operation == arranger.Load && o.Adapter == "" {
		return true, c.await(ctx, e, o)
	}
	if asPlanned && !s.IsBusy {
		return false, nil // sent again with the right number
	}
	return false, errors.Wrap(errStop, "the upstream holds something else than was planned with")
}

// sameModels reports whether both lists name the same models and adapters.
func sameModels(a, b []registrar.Model) bool {
	return slices.Equal(names(a), names(b))
}

func names(models []registrar.Model) []string {
	var out []string
	for _, m := range models {
		out = append(out, m.Name)
		for _, a := range m.Adapters {
			out = append(out, m.Name+"/"+a)
		}
	}
	slices.Sort(out)
	return out
}

func (c *Conductor) state(ctx context.Context, e *engine) (State, error) {
	sctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	c.Metrics.states.Inc()
	return c.Remote.State(sctx, e.up)
}

// accepted takes over the effect of an order.
func (c *Conductor) accepted(ctx context.Context, e *engine, o arranger.Order, a Answer) error {
	if a == Accepted && o.Operation == arranger.Load && o.Adapter != "" {
		sleeper.Sleep(ctx, adapterLoad) // until then its requests are refused
	}
	c.mu.Lock()
	if a == Accepted {
		e.orders++
	}
	switch {
	case o.Operation == arranger.Unload:
		e.models = registrar.Without(e.models, o.Model, o.Adapter)
	case o.Adapter != "":
		e.models = registrar.WithAdapter(e.models, o.Model, o.Adapter)
		e.used[o.Model+"/"+o.Adapter] = time.Now()
	case a == Holds:
		e.setModel(registrar.Model{Name: o.Model})
	default:
		e.setModel(registrar.Model{Name: o.Model, ReadyAt: time.Now().Add(o.Takes)})
		e.store = o.Tier == arranger.FromStore
		e.under = c.storeLoadsLocked()
	}
	c.changed = true
	c.mu.Unlock()
	c.publish()
	if a == Accepted && o.Operation == arranger.Load && o.Adapter == "" {
		return c.await(ctx, e, o)
	}
	return nil
}

// await waits until a load is done, as the upstream says.
func (c *Conductor) await(ctx context.Context, e *engine, o arranger.Order) error {
	began := time.Now()
	before, _ := c.Beliefs.Entry(e.up.ID)
	ask, wait := began.Add(o.Takes+reportLag), donePause
	if o.Tier != arranger.FromStore {
		// A copy at the upstream itself loads in a known time, and the upstream's
		// own word lags by more than what is left. A request that is too early is
		// refused as not run.
		sleeper.Sleep(ctx, o.Takes+loadSlack)
		return c.loaded(e, o.Model, nil)
	}
	for ctx.Err() == nil && time.Since(began) < maxLoad {
		s := c.Beliefs.Now()
		u := s.ByID[e.up.ID]
		if u == nil || u.Born != e.up.Born {
			return errors.Wrap(errStop, "upstream is gone")
		}
		// An entry from before the order may list the model, too.
		if entry, ok := c.Beliefs.Entry(e.up.ID); ok && entry != before && time.Since(began) > o.Takes/2 && entry.Holds(o.Model, "") {
			c.noteLoad(e, o, time.Since(began))
			return c.loaded(e, o.Model, nil)
		}
		if !time.Now().Before(ask) {
			st, err := c.state(ctx, e)
			switch {
			case err != nil:
			case holds(st, o.Model):
				c.noteLoad(e, o, time.Since(began))
				return c.loaded(e, o.Model, &st)
			case !st.IsBusy && st.Orders >= e.orders:
				return errors.Wrap(errStop, "the upstream ended the load without the model")
			}
			wait = min(2*wait, maxDonePause)
			ask = time.Now().Add(wait)
		}
		select {
		case <-ctx.Done():
		case <-s.Changed:
		case <-time.After(max(time.Millisecond, time.Until(ask))):
		}
	}
	return errors.Wrap(errStop, "load not done in time")
}

// storeLoadsLocked counts the loads from the store that are under way.
func (c *Conductor) storeLoadsLocked() int {
	n := 0
	for _, e := range c.engines {
		if e.store {
			n++
		}
	}
	return n
}

// noteLoad learns from how long a load from the store took.
func (c *Conductor) noteLoad(e *engine, o arranger.Order, took time.Duration) {
	c.mu.Lock()
	before := c.lanes
	c.lanes = c.lanes.WithLoad(took, o.Takes, e.under)
	after := c.lanes
	c.mu.Unlock()
	if before != after {
		c.Log.Info("lanes of the weight store", zap.Int("lanes", after.Loads()), zap.Int("before", before.Loads()),
			zap.Duration("took", took), zap.Duration("alone", o.Takes), zap.Int("under-way", e.under))
	}
}

func holds(s State, model string) bool {
	return slices.ContainsFunc(s.Models, func(m registrar.Model) bool { return m.Name == model })
}

// loaded marks the model as loaded.
func (c *Conductor) loaded(e *engine, model string, s *State) error {
	c.mu.Lock()
	e.setModel(registrar.Model{Name: model})
	e.since[model] = time.Now()
	e.store = false
	if s != nil && len(s.OnDisk) > 0 {
		e.onDisk, e.onHost = s.OnDisk, s.OnHost
	}
	c.changed = true
	c.mu.Unlock()
	c.publish()
	return nil
}

// setModel adds the model or replaces what is known of it.
func (e *engine) setModel(m registrar.Model) {
	e.models = slices.Clone(e.models)
	if i := slices.IndexFunc(e.models, func(x registrar.Model) bool { return x.Name == m.Name }); i >= 0 {
		m.Adapters, m.Version = e.models[i].Adapters, e.models[i].Version
		e.models[i] = m
		return
	}
	e.models = append(e.models, m)
}

// publish passes on what the upstreams hold, if that has changed.
func (c *Conductor) publish() {
	c.mu.Lock()
	if !c.changed {
		c.mu.Unlock()
		return
	}
	c.changed = false
	views := c.viewsLocked(time.Now())
	c.mu.Unlock()
	c.OnViews(views)
}

func (c *Conductor) viewsLocked(now time.Time) []registrar.View {
	running := make(map[string]int)
	for k, n := range c.runningLocked(now) {
		running[k.upstream] += n
	}
	out := make([]registrar.View, 0, len(c.engines))
	for id, e := range c.engines {
		if !e.known {
			continue
		}
		models := e.models
		for _, m := range e.drains(now) {
			models = registrar.Without(models, m, "")
		}
		out = append(out, registrar.View{ID: id, Born: e.up.Born, Orders: e.orders, Models: models, Running: running[id], Risk: e.trust})
	}
	return out
}

// Views returns what the upstreams hold and what runs there.
func (c *Conductor) Views(now time.Time) []registrar.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.viewsLocked(now)
}

// RunningOf returns how many requests an instance runs at each upstream.
func (c *Conductor) RunningOf(instance string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int)
	for _, u := range c.reports[instance].uses {
		for id, n := range u.Running {
			out[id] += n
		}
	}
	return out
}
