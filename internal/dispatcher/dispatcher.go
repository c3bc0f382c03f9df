// Package dispatcher handles a request from its arrival to its verdict.
//
// A request is admitted, waits until its deadline for an upstream with a free
// slot, and is attempted there. An idempotent request, or one that provably did
// not run, is retried on another upstream. A non-idempotent request is sent at
// most once, after its intent has been read back from the log as the first
// intent with its key.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/retrier"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Limits and delays of a Dispatcher.
const (
	maxAttempts     = 4
	defaultDeadline = 2 * time.Second
	// shortRetryDelay is the retry delay after failed attempts.
	shortRetryDelay = 500 * time.Millisecond
	// longRetryDelay is the retry delay while the log does not respond or an
	// earlier request with the key is in progress, and after a revoked slot.
	longRetryDelay = 2 * time.Second
)

// Dispatcher dispatches requests. Its fields must be set before use, except for
// those that may be nil and Admitter, whose zero value is ready to use.
type Dispatcher struct {
	Instance    string
	Incarnation string
	DataCentre  string
	Keeper      *keeper.Keeper
	Recorder    *recorder.Recorder
	Monitor     *monitor.Monitor
	Tallier     *tallier.Tallier
	Attempter   *attempter.Attempter
	RetryBudget *retrier.Budget
	Quarantiner *quarantiner.Quarantiner
	Log         *zap.Logger
	// IsLogAvailable reports whether the log responds. Without the log no intent can
	// be agreed.
	IsLogAvailable func() bool
	// Admitter queues the requests that wait for an upstream.
	Admitter admitter.Admitter

	initOnce sync.Once
	// HasProcessEnded, if set, reports whether an instance's process has ended.
	// Such a process will write no outcomes for its requests.
	HasProcessEnded func(incarnation string) bool
	// IsFirstIntent reports whether an intent that was read back is the first
	// with its key. If nil, applier.Event.Counted decides.
	IsFirstIntent func(applier.Event) bool
	// Stop is the planned stop of the instance. If nil, there is none.
	Stop *stopper.Stop

	outcomeWaiters outcomeWaiters
}

// deadline returns the time by which the client must receive the first byte of
// the response or a refusal.
func deadline(now time.Time, wantedMs, contractMs uint32) time.Time {
	d := time.Duration(contractMs) * time.Millisecond
	if d == 0 {
		d = defaultDeadline
	}
	if w := time.Duration(wantedMs) * time.Millisecond; w > 0 {
		d = min(d, w)
	}
	return now.Add(d)
}

// Generate streams the response of a model to emit, and returns its token count.
// The error is a verdict.Refusal.
func (d *Dispatcher) Generate(ctx context.Context, req *callerv1.GenerateRequest, emit func(index uint32, token, software string) error) (uint32, error) {
	var contract *recordv1.Contract
	var model *recordv1.Model
	var adapter *recordv1.Adapter
	d.Keeper.View(func(s *applier.State) {
		contract = s.Config.Contracts[req.GetCustomer()]
		model = s.Config.Models[req.GetModel()]
		adapter = s.Config.Adapters[req.GetAdapter()]
	})
	switch {
	case contract == nil:
		return 0, verdict.Refuse(verdict.ReasonNoContract, 0, "customer %q has no contract", req.GetCustomer())
	case model == nil || model.GetCustomer() != req.GetCustomer():
		return 0, verdict.Refuse(verdict.ReasonUnknownTarget, 0, "customer %q has no model %q", req.GetCustomer(), req.GetModel())
	case req.GetAdapter() != "" && adapter.GetModel() != req.GetModel():
		return 0, verdict.Refuse(verdict.ReasonUnknownTarget, 0, "model %q has no adapter %q", req.GetModel(), req.GetAdapter())
	}
	class := contract.GetClass()
	if model.GetClass() != 0 {
		class = model.GetClass()
	}
	until := deadline(time.Now(), req.GetDeadlineMs(), contract.GetWaitingTimeMs())
	ticket := d.Tallier.Add(tallier.Target{Model: req.GetModel(), Adapter: req.GetAdapter()}, class, until)
	defer ticket.Done()
	adm := admitter.Request{
		ID: req.GetRequestId(), Customer: req.GetCustomer(), Class: class, Weight: contract.GetWeight(),
		Target: req.GetModel() + "/" + req.GetAdapter(), Deadline: until,
	}
	return d.generate(ctx, req, adm, ticket, emit)
}
