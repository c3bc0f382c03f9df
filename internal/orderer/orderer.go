// Package orderer sends orders to engines until their outcome is known.
//
// An order belongs to a decision that counts, and is sent only while the claim
// under which it was made is current. Orders are idempotent by replica id: an
// order whose reply was lost is repeated, never replaced. The outcome is
// written to the log as an observation.
//
// An order without a reply may still be on its way, or wait in the buffers of
// an engine that is frozen. Until it is spent it could load a replica again
// that was unloaded meanwhile. The rules:
//
//   - One task at a time for a replica or adapter. A task with another action
//     ends the running one first.
//   - An order without a reply is late until the engine has been heard twice
//     after it, LateAfter apart: what waited at the engine has run by then.
//   - A replica with late orders is unloaded twice, LateAfter apart, before it
//     counts as gone.
//   - A refused load counts as failed only after an unload was confirmed, since
//     an earlier order may have begun the load.
//   - A claim has no unsent orders once Open is zero for its shard.
//
// That a network delivers nothing later than LateAfter after the engine was
// heard is the one assumption on time. Engines that check fencing numbers do
// not rest on it across claims.
package orderer

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
)

// Defaults of an Orderer.
const (
	DefaultTimeout   = 10 * time.Second
	DefaultLateAfter = 2 * time.Second
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 3 * time.Second
)

var errNotDone = errors.New("engine did not confirm")

// Task is one order to carry out.
type Task struct {
	Address  string
	Upstream string
	Order    *upstreamv1.OrderRequest
	// Doubted says that somebody else may have orders for the replica under
	// way, so that one confirmed unload is not enough.
	Doubted bool
}

// slot is what only one task at a time may change.
type slot struct {
	replica string
	adapter string
}

func (t Task) slot() slot {
	return slot{t.Order.GetReplica(), t.Order.GetAdapter()}
}

// task is a running task.
type task struct {
	Task
	cancel context.CancelFunc
}

// late is an order without a reply, by the slot that it may still change.
type late struct {
	shard    uint32
	upstream string
	sent     time.Time
	// probed is when the engine was first heard after the order.
	probed time.Time
}

// Orderer carries out tasks. Its fields must be set before Ensure.
type Orderer struct {
	HTTP *http.Client
	// MaySend reports whether the task's claim is still current.
	MaySend func(Task) bool
	// AsOf, if set, returns the first offset that the own state does not include.
	AsOf func() uint64
	// Submit writes an observation and waits until it is read back.
	Submit func(ctx context.Context, rec *recordv1.Record) (folder.Event, error)
	// OnResult, if set, hears the result of every order sent.
	OnResult func(Task, error)
	Timeout  time.Duration
	// LateAfter is how long after a sign of life of its engine an order
	// without a reply counts as spent.
	LateAfter time.Duration
	// TrustFirst takes the first confirmation of an unload for granted. Tests
	// set it to show what late orders do then.
	TrustFirst bool

	mu    sync.Mutex
	tasks map[slot]*task
	late  map[slot]late
	wg    sync.WaitGroup
}

func (o *Orderer) lateAfter() time.Duration {
	return cmp.Or(o.LateAfter, DefaultLateAfter)
}

// Ensure starts the task unless it runs already. It ends a task with another
// action on the same replica or adapter; the next call starts this one.
func (o *Orderer) Ensure(ctx context.Context, t Task) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.tasks[t.slot()]; old != nil {
		if old.Order.GetAction() != t.Order.GetAction() || old.Order.GetEpoch() != t.Order.GetEpoch() {
			old.cancel()
		}
		return
	}
	if ctx.Err() != nil {
		return
	}
	if o.tasks == nil {
		o.tasks = make(map[slot]*task)
	}
	ctx, cancel := context.WithCancel(ctx)
	o.tasks[t.slot()] = &task{t, cancel}
	o.wg.Go(func() {
		defer cancel()
		o.run(ctx, t)
		o.mu.Lock()
		delete(o.tasks, t.slot())
		o.mu.Unlock()
	})
}

// Cancel ends the tasks of a replica and reports whether none runs any more.
func (o *Orderer) Cancel(replica string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	none := true
	for k, t := range o.tasks {
		if k.replica == replica {
			t.cancel()
			none = false
		}
	}
	return none
}

// Open returns the number of orders of a shard that may still reach an engine:
// tasks that run, and orders without a reply that are not spent.
func (o *Orderer) Open(shard uint32) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, t := range o.tasks {
		if t.Order.GetShard() == shard {
			n++
		}
	}
	for _, l := range o.late {
		if l.shard == shard {
			n++
		}
	}
	return n
}

// Expire forgets the late orders that are spent. Heard returns when an upstream
// was last heard.
func (o *Orderer) Expire(heard func(upstream string) time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, l := range o.late {
		at := heard(l.upstream)
		switch {
		case l.probed.IsZero() && at.After(l.sent):
			l.probed = at
			o.late[k] = l
		case !l.probed.IsZero() && at.Sub(l.probed) > o.lateAfter():
			delete(o.late, k)
		}
	}
}

// Forget forgets the late orders to an upstream whose process has ended.
func (o *Orderer) Forget(replica string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.late {
		if k.replica == replica {
			delete(o.late, k)
		}
	}
}

// Wait waits for all tasks to end.
func (o *Orderer) Wait() {
	o.wg.Wait()
}

// run sends until the outcome is known and logged, or the claim is lost.
func (o *Orderer) run(ctx context.Context, t Task) {
	backoff := minBackoff
	for ctx.Err() == nil && o.MaySend(t) {
		asOf := uint64(0)
		if o.AsOf != nil {
			asOf = o.AsOf()
		}
		kind, detail, known := o.carryOut(ctx, t)
		if known && o.record(ctx, t, kind, detail, asOf) {
			return
		}
		sleeper.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// carryOut sends the order, and unloads what must be seen gone. It returns the
// outcome, if known.
func (o *Orderer) carryOut(ctx context.Context, t Task) (recordv1.ObservationKind, string, bool) {
	err := o.send(ctx, t, t.Order)
	switch {
	case err == nil && t.Order.GetAction() == recordv1.DecisionAction_DECISION_ACTION_UNLOAD:
		return recordv1.ObservationKind_OBSERVATION_KIND_UNLOADED, "engine confirmed", o.seenGone(ctx, t, t.Order)
	case err == nil:
		return doneKind(t.Order.GetAction()), "engine confirmed", true
	case !isRefused(err):
		return 0, "", false
	case t.Order.GetAction() == recordv1.DecisionAction_DECISION_ACTION_LOAD:
		return recordv1.ObservationKind_OBSERVATION_KIND_FAILED, err.Error(), o.cleanUp(ctx, t)
	}
	return recordv1.ObservationKind_OBSERVATION_KIND_FAILED, err.Error(), true
}

// cleanUp unloads what an earlier order of a refused load may have begun.
func (o *Orderer) cleanUp(ctx context.Context, t Task) bool {
	if o.TrustFirst {
		return true
	}
	unload := &upstreamv1.OrderRequest{
		Action: recordv1.DecisionAction_DECISION_ACTION_UNLOAD, Replica: t.Order.GetReplica(), Model: t.Order.GetModel(),
		Epoch: t.Order.GetEpoch(), Shard: t.Order.GetShard(),
	}
	return o.send(ctx, t, unload) == nil && o.seenGone(ctx, t, unload)
}

// seenGone confirms an unload once more if a late order could have undone it.
func (o *Orderer) seenGone(ctx context.Context, t Task, unload *upstreamv1.OrderRequest) bool {
	o.mu.Lock()
	_, isLate := o.late[t.slot()]
	o.mu.Unlock()
	if o.TrustFirst || !isLate && !t.Doubted {
		return true
	}
	sleeper.Sleep(ctx, o.lateAfter())
	if ctx.Err() != nil || !o.MaySend(t) || o.send(ctx, t, unload) != nil {
		return false
	}
	o.mu.Lock()
	delete(o.late, t.slot())
	o.mu.Unlock()
	return true
}

// isRefused reports whether the engine itself says that it cannot.
func isRefused(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted
}

// send sends an order once and waits for its reply.
func (o *Orderer) send(ctx context.Context, t Task, order *upstreamv1.OrderRequest) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(o.Timeout, DefaultTimeout))
	defer cancel()
	resp, err := upstreamv1connect.NewEngineCommandsClient(o.HTTP, "http://"+t.Address).
		Order(ctx, connect.NewRequest(order))
	if o.OnResult != nil {
		o.OnResult(t, err)
	}
	if err == nil && !resp.Msg.GetDone() {
		err = connect.NewError(connect.CodeUnavailable, errNotDone)
	} else if err != nil && !connect.IsWireError(err) {
		o.noteLate(t)
	}
	return err
}

func (o *Orderer) noteLate(t Task) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.late == nil {
		o.late = make(map[slot]late)
	}
	// The request may have left until now, however early it was begun.
	o.late[t.slot()] = late{shard: t.Order.GetShard(), upstream: t.Upstream, sent: time.Now()}
}

func doneKind(a recordv1.DecisionAction) recordv1.ObservationKind {
	switch a {
	case recordv1.DecisionAction_DECISION_ACTION_LOAD, recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:
		return recordv1.ObservationKind_OBSERVATION_KIND_LOADED
	}
	return recordv1.ObservationKind_OBSERVATION_KIND_UNLOADED
}

// record logs the outcome and reports whether its fate is known.
func (o *Orderer) record(ctx context.Context, t Task, kind recordv1.ObservationKind, detail string, asOf uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	_, err := o.Submit(ctx, &recordv1.Record{Kind: &recordv1.Record_Observation{Observation: &recordv1.Observation{
		Shard: t.Order.GetShard(), Epoch: t.Order.GetEpoch(), Kind: kind,
		Replica: t.Order.GetReplica(), Adapter: t.Order.GetAdapter(),
		UpstreamIncarnation: t.Order.GetUpstreamIncarnation(), Detail: detail, AsOf: asOf,
	}}})
	return err == nil
}
