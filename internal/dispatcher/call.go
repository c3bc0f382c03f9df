package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Response is the response of a plain service, an upstream that serves no
// models.
type Response struct {
	Body []byte
	// IsReplay reports whether the response belongs to an earlier request with
	// the same key.
	IsReplay bool
}

// Call calls a plain service. The error is a verdict.Refusal.
func (d *Dispatcher) Call(ctx context.Context, req *callerv1.CallRequest) (Response, error) {
	var contract *recordv1.Contract
	isKnown := false
	d.Keeper.View(func(s *applier.State) {
		contract = s.Config.Contracts[req.GetCustomer()]
		for _, u := range s.Config.Upstreams {
			isKnown = isKnown || u.GetService() == req.GetService()
		}
	})
	switch {
	case contract == nil:
		return Response{}, verdict.Refuse(verdict.ReasonNoContract, 0, "customer %q has no contract", req.GetCustomer())
	case !isKnown || req.GetService() == "":
		return Response{}, verdict.Refuse(verdict.ReasonUnknownTarget, 0, "there is no service %q", req.GetService())
	}
	until := deadline(time.Now(), req.GetDeadlineMs(), contract.GetWaitingTimeMs())
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	adm := admitter.Request{
		ID: req.GetRequestId(), Customer: req.GetCustomer(), Class: contract.GetClass(), Weight: contract.GetWeight(),
		Target: "service " + req.GetService(), Deadline: until, NeedsWholeResponse: true,
	}
	if slices.Contains(contract.GetNeverTwice(), req.GetMethod()) {
		return d.callAtMostOnce(ctx, req, adm)
	}
	return d.callIdempotent(ctx, req, adm)
}

func (d *Dispatcher) callIdempotent(ctx context.Context, req *callerv1.CallRequest, adm admitter.Request) (Response, error) {
	tried := make(map[string]bool)
	lastFailure := verdict.Refusal{Ran: verdict.NotRun}
	d.RetryBudget.Deposit()
	for attempt := range maxAttempts {
		if attempt > 0 && !d.RetryBudget.TryWithdraw() {
			break
		}
		c, err := d.admitCall(ctx, req, tried, adm)
		if err != nil {
			return Response{}, verdict.FromError(err).AfterAttempts(lastFailure.Ran)
		}
		body, err := d.attemptCall(ctx, c, req)
		if err == nil {
			return Response{Body: body}, nil
		}
		lastFailure = verdict.FromError(err).AfterAttempts(lastFailure.Ran)
		if ctx.Err() != nil {
			lastFailure.Reason = verdict.ReasonDeadline
			break
		}
		tried[c.Upstream] = true
	}
	return Response{}, lastFailure.WithRetryAfter(shortRetryDelay)
}

func (d *Dispatcher) attemptCall(ctx context.Context, c admitter.Grant, req *callerv1.CallRequest) ([]byte, error) {
	defer c.Done()
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.OnRevoked(func() { cancel(admitter.ErrRevoked) })()
	startedAt := time.Now()
	body, err := d.Attempter.Call(actx, c.Address, &upstreamv1.CallRequest{
		Method: req.GetMethod(), Body: req.GetBody(), Key: req.GetKey(),
	})
	var f attempter.Failure
	switch {
	case err == nil:
		d.Monitor.RecordSuccess(c.Upstream, time.Since(startedAt))
		d.Stop.Record(callRoute(req), time.Since(startedAt))
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && verdict.FromError(err).Ran == verdict.MayHaveRun:
		d.Stop.Record(callRoute(req), time.Since(startedAt))
	case errors.As(err, &f) && f.Kind == attempter.KindUnreachable:
		d.Monitor.MarkUnreachable(c.Upstream)
	case errors.As(err, &f) && f.Kind == attempter.KindLeaving:
		d.Monitor.MarkLeaving(c.Upstream)
	case errors.As(err, &f) && f.Kind != attempter.KindRefused && ctx.Err() == nil:
		d.Monitor.RecordFailure(c.Upstream, startedAt)
	}
	return body, err
}
