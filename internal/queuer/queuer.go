package queuer

import (
	"context"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// grantInterval is the longest time between two attempts to grant the waiting
// requests.
const grantInterval = 100 * time.Millisecond

// Queue shares a Table between goroutines. Upstreams, Config and HasConductor
// must be set.
type Queue struct {
	Upstreams *registrar.Table
	Config    func() *matcher.Config
	// HasConductor reports whether a conductor currently sends orders.
	HasConductor func() bool
	// ConductorSilence, if set, returns the time since the conductor last responded, 0 if none
	// ever has.
	ConductorSilence func() time.Duration
	// OnDemandChange, if set, is called when the demand changes: when a request
	// starts to wait, is refused at once, or ends on an upstream that gets no new
	// requests for the model, because the model drains there.
	OnDemandChange func()
	// LinksCut, if set, returns a channel that is closed when this instance has lost its links
	// to the upstreams. Waiting requests are then refused.
	LinksCut func() <-chan struct{}

	mu     sync.Mutex
	Table  Table
	closed chan struct{}
}

// Close refuses waiting requests, and later ones that would have to wait, because
// the instance is stopping. Other instances can still serve them. It must be called
// only once.
func (q *Queue) Close() {
	close(q.closedChan())
}

// RefuseForStop refuses the waiting requests that f returns false for, because the instance stops.
func (q *Queue) RefuseForStop(f func(Request) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Table.RefuseForStop(f)
}

func (q *Queue) closedChan() chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed == nil {
		q.closed = make(chan struct{})
	}
	return q.closed
}

// Slot is the slot of a request on an upstream. Release must be called once.
type Slot struct {
	Upstream *registrar.Upstream
	// Choice says by what the upstream was chosen.
	Choice      Choice
	q           *Queue
	request     Request
	granted     time.Time
	isPrefilled bool
}

// RecordPrefill records that the upstream has processed the prompt of the request.
func (s *Slot) RecordPrefill() {
	s.q.mu.Lock()
	s.isPrefilled = true
	s.q.Table.RecordPrefill(s.request, s.Upstream.ID)
	s.q.mu.Unlock()
	s.q.grantWaiting()
}

// Acquire waits for a slot. It returns a verdict.Refusal if the request cannot
// start by req.StartBy, the context ends or the queue is closed.
func (q *Queue) Acquire(ctx context.Context, req Request) (*Slot, error) {
	now := time.Now()
	closed := q.closedChan()
	q.mu.Lock()
	s, cfg := q.Upstreams.Snapshot(), q.Config()
	q.observeConductor()
	a := q.Table.Admit(req, s, cfg, now)
	if a.Upstream != nil {
		q.mu.Unlock()
		return &Slot{Upstream: a.Upstream, Choice: a.Choice, q: q, request: req, granted: now}, nil
	}
	estimate := a.Estimate
	if a.Waiter == nil {
		if estimate.NeedsLoad {
			q.Table.ExpectRetry(req, now, now.Add(estimate.retryAfter()+time.Second))
		}
		q.mu.Unlock()
		q.notifyDemand()
		return nil, q.refusal(estimate, req)
	}
	w := a.Waiter
	q.mu.Unlock()
	q.notifyDemand()

	var cut <-chan struct{}
	if q.LinksCut != nil && !req.IgnoresCut {
		cut = q.LinksCut()
	}
	timer := time.NewTimer(time.Until(req.StartBy))
	defer timer.Stop()
	select {
	case u := <-w.granted:
		return &Slot{Upstream: u, Choice: w.choice, q: q, request: req, granted: time.Now()}, nil
	case e := <-w.refused:
		q.expectRetry(req, e)
		return nil, q.refusal(e, req)
	case <-timer.C:
	case <-ctx.Done():
	case <-closed:
	case <-cut:
	}
	q.mu.Lock()
	removed := q.Table.Remove(w)
	if removed {
		estimate = q.Table.withRetry(estimate, w, q.Upstreams.Snapshot(), time.Now())
	}
	q.mu.Unlock()
	if !removed {
		select {
		case u := <-w.granted:
			return &Slot{Upstream: u, Choice: w.choice, q: q, request: req, granted: time.Now()}, nil
		case estimate = <-w.refused:
			q.expectRetry(req, estimate)
		}
	}
	if ctx.Err() != nil {
		return nil, verdict.Refuse(verdict.ReasonCanceled, 0, "the client left after %v in the queue", time.Since(now).Round(time.Millisecond))
	}
	select {
	case <-closed:
		return nil, verdict.Refuse(verdict.ReasonStopping, 0, "the instance stops")
	case <-cut:
		return nil, verdict.Refuse(verdict.ReasonNoUpstream, minRetryDelay, "the links to the upstreams are cut")
	default:
	}
	return nil, q.refusal(estimate, req)
}

// expectRetry counts a refused request as demand until its client may retry.
func (q *Queue) expectRetry(req Request, e StartEstimate) {
	if e.IsBusy || e.IsStopping {
		return // its model is loaded, or the client retries elsewhere
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Table.ExpectRetry(req, now, now.Add(e.Delay+time.Second))
}

// observeConductor updates what the table knows of the conductor.
func (q *Queue) observeConductor() {
	q.Table.HasConductor = q.HasConductor()
	if q.ConductorSilence != nil {
		q.Table.ConductorSilence = q.ConductorSilence()
	}
}

// refusal returns the verdict on a request that is refused by an estimate, with what it was
// compared with.
func (q *Queue) refusal(e StartEstimate, req Request) error {
	q.mu.Lock()
	in := q.Table.inputsOf(req, q.Upstreams.Snapshot(), q.Config(), time.Now())
	q.mu.Unlock()
	return refusal(e, req, in)
}

func refusal(e StartEstimate, req Request, in inputs) error {
	if e.IsStopping {
		return verdict.Refuse(verdict.ReasonStopping, 0, "the instance stops before the request could end")
	}
	retryAfter := e.retryAfter()
	if e.IsElsewhere {
		return verdict.Refuse(verdict.ReasonNoUpstream, retryAfter, "service %s: its upstreams are brittle, and another instance has to send the request", req.Service)
	}
	if e.Delay == absentVersionDelay {
		return verdict.Refuse(verdict.ReasonNoUpstream, retryAfter, "service %s: no upstream of software version %q, which began the stream", req.Service, *req.Software)
	}
	if e.NeedsLoad {
		return verdict.Refuse(verdict.ReasonNoUpstream, retryAfter, "model %s adapter %q: not loaded, ready in %v (%v)", req.Model, req.Adapter, e.Delay.Round(time.Millisecond), in)
	}
	if e.IsBusy {
		return verdict.Refuse(verdict.ReasonQueueFull, retryAfter, "service %s model %s account %q priority %d: no slot in time: %d requests wait, those ahead take %v", req.Service, req.Model, req.Account, req.Priority, e.NumWaiting, e.Delay.Round(time.Millisecond))
	}
	return verdict.Refuse(verdict.ReasonQueueFull, retryAfter, "service %s: no free slot (%v)", req.Service, in)
}

func (q *Queue) notifyDemand() {
	if q.OnDemandChange != nil {
		q.OnDemandChange()
	}
}

// Homes returns the instances that should send a request to a brittle service rather than this one, the first
// choice first.
func (q *Queue) Homes(req Request) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.Table.Homes(req, q.Upstreams.Snapshot(), time.Now())
}

// SetInstances sets the names of this instance and of all live ones, which share the
// limits of upstreams.
func (q *Queue) SetInstances(self string, all []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Table.SetInstances(self, all)
}

// Run grants waiting requests whenever the known state of the upstreams changes
// and every grantInterval, until ctx ends.
func (q *Queue) Run(ctx context.Context) {
	tick := time.NewTicker(grantInterval)
	defer tick.Stop()
	for {
		s := q.Upstreams.Snapshot()
		q.grantWaiting()
		select {
		case <-ctx.Done():
			return
		case <-s.Changed:
		case <-tick.C: // the next grants may include a trial attempt that a breaker allows by now
			q.expire()
		}
	}
}

// expire refuses the waiting requests whose model will not be loaded by their
// latest start time.
func (q *Queue) expire() {
	cfg := q.Config()
	if cfg == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observeConductor()
	q.Table.Expire(q.Upstreams.Snapshot(), cfg, time.Now())
}

func (q *Queue) grantWaiting() {
	cfg := q.Config()
	if cfg == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Table.GrantWaiting(q.Upstreams.Snapshot(), cfg, time.Now())
}

// Release frees the slot.
func (s *Slot) Release() {
	s.q.mu.Lock()
	if !s.isPrefilled {
		s.q.Table.RecordPrefill(s.request, s.Upstream.ID)
	}
	s.q.Table.Release(s.request, s.Upstream.ID)
	s.q.Table.RecordService(s.request, time.Since(s.granted))
	s.q.mu.Unlock()
	s.q.grantWaiting()
	// The conductor may wait for this request to end before it unloads the model,
	// so the change is reported at once.
	if u := s.q.Upstreams.Snapshot().ByID[s.Upstream.ID]; s.request.Model != "" && u != nil && !u.Holds(s.request.Model, "") {
		s.q.notifyDemand()
	}
}

// Shed records that the upstream refused the request without running it.
func (s *Slot) Shed() {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.q.Table.Shed(s.request, s.Upstream, time.Now())
}

// RecordAccepted records that the upstream has accepted the request.
func (s *Slot) RecordAccepted() {
	s.q.mu.Lock()
	hasGrown := s.q.Table.RecordAccepted(s.request, s.Upstream, time.Now())
	s.q.mu.Unlock()
	if hasGrown {
		s.q.grantWaiting()
	}
}

// RecordOutcome records the outcome of the attempt. It reports whether the outcome
// opened the breaker of the upstream.
func (s *Slot) RecordOutcome(o Outcome) (opened bool) {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	if !o.Failed && !o.IsUnanswered && o.FirstEventAfter > 0 {
		s.q.Table.RecordFirstEvent(s.request, o.FirstEventAfter)
	}
	return s.q.Table.RecordOutcome(s.Upstream, o, time.Now())
}

// Arrive counts the arrival of a request.
func (q *Queue) Arrive(req Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Table.Arrive(req)
}

// Demands returns the demand for each model and adapter, and the number of waiting
// requests.
func (q *Queue) Demands() (demands []Demand, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.Table.Demands(time.Now()), q.Table.Waiting()
}

// Outcomes returns the counts of the upstreams that have failed attempts since
// the last call, and resets them.
func (q *Queue) Outcomes() []OutcomeCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.Table.Outcomes()
}
