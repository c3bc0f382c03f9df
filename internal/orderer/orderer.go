// Package orderer sends orders to engines until their outcome is known.
//
// An order carries out a decision that counts, that is, one that package applier
// has applied. It is sent only while the claim under which the decision was made
// is current. Orders are idempotent by replica id: an order whose reply was lost
// is repeated, never replaced by another. The outcome is written to the log as an
// observation.
//
// An unanswered order may still be in flight, or wait in the buffers of an engine
// whose process is paused. Until it expires it could reload a replica that has
// been unloaded in the meantime. The rules:
//
//   - Only one task at a time runs for a replica or adapter. A task with another
//     action cancels the running one first.
//   - An unanswered order expires once the engine has responded twice after it,
//     [Orderer.MaxDeliveryDelay] apart: an order that waited at the engine has run
//     by then.
//   - A replica with unanswered orders is unloaded twice, with
//     [Orderer.MaxDeliveryDelay] between, before it counts as unloaded.
//   - A refused load counts as failed only after a confirmed unload, since an
//     earlier order may have started the load.
//   - No order of a claim can still take effect once [Orderer.NumOpenOrders] is zero
//     for its shard.
//
// The only timing assumption is that the network delivers nothing later than
// [Orderer.MaxDeliveryDelay] after the engine has responded. Engines that check
// fencing tokens do not depend on it across claims.
package orderer

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
)

// Defaults of an Orderer.
const (
	DefaultTimeout          = 10 * time.Second
	DefaultMaxDeliveryDelay = 2 * time.Second
	minBackoff              = 100 * time.Millisecond
	maxBackoff              = 3 * time.Second
)

var errNotDone = errors.New("engine did not confirm")

// Task is one order to carry out.
type Task struct {
	Address  string
	Upstream string
	Order    *upstreamv1.OrderRequest
	// MayHaveOtherOrders is true if orders of another instance for the replica may
	// be in flight, so that one confirmed unload is not enough.
	MayHaveOtherOrders bool
}

// target is a replica or adapter. Only one task at a time may change it.
type target struct {
	replica string
	adapter string
}

func (t Task) target() target {
	return target{t.Order.GetReplica(), t.Order.GetAdapter()}
}

// runningTask is a task with the function that cancels it.
type runningTask struct {
	Task
	cancel context.CancelFunc
}

// unansweredOrder is an order without a reply, which may still change its target.
type unansweredOrder struct {
	shard    uint32
	upstream string
	sentAt   time.Time
	// firstResponse is when the engine first responded after the order.
	firstResponse time.Time
}

// Orderer carries out tasks. Its fields must be set before Ensure.
type Orderer struct {
	HTTP *http.Client
	// MaySend reports whether the task's claim is still current.
	MaySend func(Task) bool
	// NextOffset, if set, returns the first log offset that this instance's state does
	// not include.
	NextOffset func() uint64
	// Submit writes an observation and waits until it is read back.
	Submit func(ctx context.Context, rec *recordv1.Record) (applier.Event, error)
	// OnResult, if set, is called with the result of every order that was sent.
	OnResult func(Task, error)
	// Timeout limits one order and its reply. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxDeliveryDelay is the maximum time after a response of the engine at which the
	// network may still deliver an unanswered order. Zero means
	// DefaultMaxDeliveryDelay.
	MaxDeliveryDelay time.Duration
	// SkipSecondUnload disables the second unload, and the unload after a refused
	// load. Tests set it to show that an unanswered order then reloads a replica.
	SkipSecondUnload bool

	mu         sync.Mutex
	tasks      map[target]*runningTask
	unanswered map[target]unansweredOrder
	wg         sync.WaitGroup
}

func (o *Orderer) maxDeliveryDelay() time.Duration {
	return cmp.Or(o.MaxDeliveryDelay, DefaultMaxDeliveryDelay)
}

// Ensure starts the task unless it is running. It cancels a task with another
// action or epoch on the same replica or adapter; a later call then starts this
// one.
func (o *Orderer) Ensure(ctx context.Context, t Task) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.tasks[t.target()]; old != nil {
		if old.Order.GetAction() != t.Order.GetAction() || old.Order.GetEpoch() != t.Order.GetEpoch() {
			old.cancel()
		}
		return
	}
	if ctx.Err() != nil {
		return
	}
	if o.tasks == nil {
		o.tasks = make(map[target]*runningTask)
	}
	ctx, cancel := context.WithCancel(ctx)
	o.tasks[t.target()] = &runningTask{t, cancel}
	o.wg.Go(func() {
		defer cancel()
		o.run(ctx, t)
		o.mu.Lock()
		delete(o.tasks, t.target())
		o.mu.Unlock()
	})
}

// Cancel cancels the tasks of a replica and reports whether none is running.
func (o *Orderer) Cancel(replica string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	isIdle := true
	for k, t := range o.tasks {
		if k.replica == replica {
			t.cancel()
			isIdle = false
		}
	}
	return isIdle
}

// NumOpenOrders returns the number of orders of a shard that may still reach an
// engine: running tasks, and unanswered orders that have not expired.
func (o *Orderer) NumOpenOrders(shard uint32) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, t := range o.tasks {
		if t.Order.GetShard() == shard {
			n++
		}
	}
	for _, u := range o.unanswered {
		if u.shard == shard {
			n++
		}
	}
	return n
}

// ExpireUnanswered removes the unanswered orders that can no longer be delivered.
// lastResponse returns when an upstream last responded.
func (o *Orderer) ExpireUnanswered(lastResponse func(upstream string) time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, u := range o.unanswered {
		at := lastResponse(u.upstream)
		switch {
		case u.firstResponse.IsZero() && at.After(u.sentAt):
			u.firstResponse = at
			o.unanswered[k] = u
		case !u.firstResponse.IsZero() && at.Sub(u.firstResponse) > o.maxDeliveryDelay():
			delete(o.unanswered, k)
		}
	}
}

// RemoveUnanswered removes the unanswered orders for a replica whose upstream's
// process has ended.
func (o *Orderer) RemoveUnanswered(replica string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.unanswered {
		if k.replica == replica {
			delete(o.unanswered, k)
		}
	}
}

// Wait waits for all tasks to end.
func (o *Orderer) Wait() {
	o.wg.Wait()
}

// run sends the order until its outcome is known and logged, or the claim is lost.
func (o *Orderer) run(ctx context.Context, t Task) {
	backoff := minBackoff
	for ctx.Err() == nil && o.MaySend(t) {
		nextOffset := uint64(0)
		if o.NextOffset != nil {
			nextOffset = o.NextOffset()
		}
		kind, detail, isKnown := o.execute(ctx, t)
		if isKnown && o.record(ctx, t, kind, detail, nextOffset) {
			return
		}
		sleeper.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// execute sends the order and the unloads that must follow it. It returns the
// outcome and its detail, and reports whether the outcome is known.
func (o *Orderer) execute(ctx context.Context, t Task) (recordv1.ObservationKind, string, bool) {
	err := o.send(ctx, t, t.Order)
	switch {
	case err == nil && t.Order.GetAction() == recordv1.DecisionAction_DECISION_ACTION_UNLOAD:
		return recordv1.ObservationKind_OBSERVATION_KIND_UNLOADED, "engine confirmed", o.confirmUnload(ctx, t, t.Order)
	case err == nil:
		return observationKind(t.Order.GetAction()), "engine confirmed", true
	case !isRefused(err):
		return 0, "", false
	case t.Order.GetAction() == recordv1.DecisionAction_DECISION_ACTION_LOAD:
		return recordv1.ObservationKind_OBSERVATION_KIND_FAILED, err.Error(), o.unloadRefused(ctx, t)
	}
	return recordv1.ObservationKind_OBSERVATION_KIND_FAILED, err.Error(), true
}

// unloadRefused unloads the replica of a refused load, since an earlier order may
// have started the load. It reports whether the unload is confirmed.
func (o *Orderer) unloadRefused(ctx context.Context, t Task) bool {
	if o.SkipSecondUnload {
		return true
	}
	unload := &upstreamv1.OrderRequest{
		Action: recordv1.DecisionAction_DECISION_ACTION_UNLOAD, Replica: t.Order.GetReplica(), Model: t.Order.GetModel(),
		Epoch: t.Order.GetEpoch(), Shard: t.Order.GetShard(),
	}
	return o.send(ctx, t, unload) == nil && o.confirmUnload(ctx, t, unload)
}

// confirmUnload sends an unload a second time if an unanswered order could have
// undone the first one. It reports whether the replica is unloaded.
func (o *Orderer) confirmUnload(ctx context.Context, t Task, unload *upstreamv1.OrderRequest) bool {
	o.mu.Lock()
	_, isUnanswered := o.unanswered[t.target()]
	o.mu.Unlock()
	if o.SkipSecondUnload || !isUnanswered && !t.MayHaveOtherOrders {
		return true
	}
	sleeper.Sleep(ctx, o.maxDeliveryDelay())
	if ctx.Err() != nil || !o.MaySend(t) || o.send(ctx, t, unload) != nil {
		return false
	}
	o.mu.Lock()
	delete(o.unanswered, t.target())
	o.mu.Unlock()
	return true
}

// isRefused reports whether the engine itself refused the order.
func isRefused(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted
}

// send sends an order once and waits for its reply.
func (o *Orderer) send(ctx context.Context, t Task, order *upstreamv1.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(o.Timeout, DefaultTimeout))
	defer cancel()
	resp, err := upstreamv1connect.NewEngineCommandsClient(courier.FramedClient(closingClient(o.HTTP)), "http://"+t.Address).
		Order(ctx, connect.NewRequest(order))
	if o.OnResult != nil {
		o.OnResult(t, err)
	}
	if err == nil && !resp.Msg.GetDone() {
		err = connect.NewError(connect.CodeUnavailable, errNotDone)
	} else if err != nil && !connect.IsWireError(err) {
		o.recordUnanswered(t)
	}
	return err
}

// closingClient returns a client that uses a connection for no request after an order. Responses to orders
// carry no id, so a late copy of an earlier one would confirm the next order.
func closingClient(c *http.Client) *http.Client {
	out := *c
	out.Transport = closingTransport{c.Transport}
	return &out
}

type closingTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t closingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.RoundTripper
	if base == nil {
		base = http.DefaultTransport
	}
	closing := r.WithContext(r.Context()) // a copy
	closing.Close = true
	return base.RoundTrip(closing)
}

// recordUnanswered records that an order of the task has no reply.
func (o *Orderer) recordUnanswered(t Task) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unanswered == nil {
		o.unanswered = make(map[target]unansweredOrder)
	}
	// The request may have been sent at any time until now, even if the call
	// started much earlier.
	o.unanswered[t.target()] = unansweredOrder{shard: t.Order.GetShard(), upstream: t.Upstream, sentAt: time.Now()}
}

// observationKind returns the kind of observation for a confirmed order.
func observationKind(a recordv1.DecisionAction) recordv1.ObservationKind {
	switch a {
	case recordv1.DecisionAction_DECISION_ACTION_LOAD, recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:
		return recordv1.ObservationKind_OBSERVATION_KIND_LOADED
	}
	return recordv1.ObservationKind_OBSERVATION_KIND_UNLOADED
}

// record writes the outcome to the log and reports whether the record was read
// back, even if it does not count.
func (o *Orderer) record(ctx context.Context, t Task, kind recordv1.ObservationKind, detail string, nextOffset uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	_, err := o.Submit(ctx, &recordv1.Record{Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
		Shard: t.Order.GetShard(), Epoch: t.Order.GetEpoch(), Kind: kind,
		Replica: t.Order.GetReplica(), Adapter: t.Order.GetAdapter(),
		UpstreamIncarnation: t.Order.GetUpstreamIncarnation(), Detail: detail, AsOf: nextOffset,
	}}})
	return err == nil
}
