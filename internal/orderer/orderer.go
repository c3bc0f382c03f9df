// Package orderer sends orders to engines until their outcome is known.
//
// An order belongs to a decision that counts, and is sent only while the claim
// under which it was made is current. Orders are idempotent by replica id: an
// order whose reply was lost is repeated, never replaced. The outcome is
// written to the log as an observation.
package orderer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
)

// Defaults of an Orderer.
const (
	DefaultTimeout = 10 * time.Second
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 3 * time.Second
)

// Task is one order to carry out.
type Task struct {
	Address string
	Order   *upstreamv1.OrderRequest
}

// Key identifies the task.
type Key struct {
	Replica string
	Adapter string
	Action  recordv1.DecisionAction
}

// Key returns what identifies the task.
func (t Task) Key() Key {
	return Key{t.Order.GetReplica(), t.Order.GetAdapter(), t.Order.GetAction()}
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

	mu    sync.Mutex
	tasks map[Key]uint32 // shard of each running task
	wg    sync.WaitGroup
}

// Ensure starts the task unless it runs already.
func (o *Orderer) Ensure(ctx context.Context, t Task) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.tasks[t.Key()]; ok || ctx.Err() != nil {
		return
	}
	if o.tasks == nil {
		o.tasks = make(map[Key]uint32)
	}
	o.tasks[t.Key()] = t.Order.GetShard()
	o.wg.Go(func() {
		o.run(ctx, t)
		o.mu.Lock()
		delete(o.tasks, t.Key())
		o.mu.Unlock()
	})
}

// Running returns the number of tasks of a shard that may still send.
func (o *Orderer) Running(shard uint32) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, s := range o.tasks {
		if s == shard {
			n++
		}
	}
	return n
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
		kind, detail, known := o.send(ctx, t)
		if known && o.record(ctx, t, kind, detail, asOf) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// send sends the order once and returns its outcome, if known.
func (o *Orderer) send(ctx context.Context, t Task) (recordv1.ObservationKind, string, bool) {
	timeout := o.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := upstreamv1connect.NewEngineCommandsClient(o.HTTP, "http://"+t.Address).
		Order(ctx, connect.NewRequest(t.Order))
	if o.OnResult != nil {
		o.OnResult(t, err)
	}
	if err == nil && resp.Msg.GetDone() {
		return doneKind(t.Order.GetAction()), "engine confirmed", true
	}
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted {
		return recordv1.ObservationKind_OBSERVATION_KIND_FAILED, err.Error(), true
	}
	return 0, "", false
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
