package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/router"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// maxKeyAhead is how far a request key's time may be ahead of this clock.
const maxKeyAhead = 5 * time.Minute

// Answer is the answer of a plain service.
type Answer struct {
	Body []byte
	// Earlier says that an earlier request with the same key got the answer.
	Earlier bool
}

// Call calls a plain service. The error is a verdict.Refusal.
func (d *Dispatcher) Call(ctx context.Context, req *callerv1.CallRequest) (Answer, error) {
	var contract *recordv1.Contract
	known := false
	d.Keeper.View(func(s *folder.State) {
		contract = s.Config.Contracts[req.GetCustomer()]
		for _, u := range s.Config.Upstreams {
			known = known || u.GetService() == req.GetService()
		}
	})
	switch {
	case contract == nil:
		return Answer{}, verdict.Refuse(verdict.ReasonNoContract, 0, "customer %q has no contract", req.GetCustomer())
	case !known || req.GetService() == "":
		return Answer{}, verdict.Refuse(verdict.ReasonUnknownTarget, 0, "there is no service %q", req.GetService())
	}
	until := deadline(time.Now(), req.GetDeadlineMs(), contract.GetWaitingTimeMs())
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	adm := admitter.Request{
		ID: req.GetRequestId(), Customer: req.GetCustomer(), Class: contract.GetClass(), Weight: contract.GetWeight(),
		Target: "service " + req.GetService(), Deadline: until,
	}
	if slices.Contains(contract.GetNeverTwice(), req.GetMethod()) {
		return d.callOnce(ctx, req, adm)
	}
	return d.callRepeatable(ctx, req, adm)
}

func (d *Dispatcher) callRepeatable(ctx context.Context, req *callerv1.CallRequest, adm admitter.Request) (Answer, error) {
	tried := make(map[string]bool)
	last := verdict.Refusal{Ran: verdict.NotRun}
	d.Retries.First()
	for try := range maxTries {
		if try > 0 && !d.Retries.Retry() {
			break
		}
		c, err := d.await(ctx, adm, tried, func(now time.Time) []router.Candidate { return d.services(req.GetService(), now) })
		if err != nil {
			return Answer{}, verdict.Of(err).After(last.Ran)
		}
		body, err := d.attemptCall(ctx, c, req)
		if err == nil {
			return Answer{Body: body}, nil
		}
		last = verdict.Of(err).After(last.Ran)
		if ctx.Err() != nil {
			last.Reason = verdict.ReasonDeadline
			break
		}
		tried[c.Upstream] = true
	}
	return Answer{}, last.WithComeBack(comeBackSoon)
}

func (d *Dispatcher) attemptCall(ctx context.Context, c admitter.Grant, req *callerv1.CallRequest) ([]byte, error) {
	defer c.Done()
	began := time.Now()
	body, err := d.Attempter.Call(ctx, c.Address, &upstreamv1.CallRequest{
		Method: req.GetMethod(), Body: req.GetBody(), Key: req.GetKey(),
	})
	var f attempter.Failure
	switch {
	case err == nil:
		d.Monitor.Succeed(c.Upstream, time.Since(began))
	case errors.As(err, &f) && f.Kind == attempter.KindUnreachable:
		d.Monitor.Unreachable(c.Upstream)
	case errors.As(err, &f) && f.Kind == attempter.KindLeaving:
		d.Monitor.Refused(c.Upstream)
	case errors.As(err, &f) && f.Kind != attempter.KindRefused && ctx.Err() == nil:
		d.Monitor.Fail(c.Upstream, began)
	}
	return body, err
}

// callOnce sends a request that may not be repeated at most once.
func (d *Dispatcher) callOnce(ctx context.Context, req *callerv1.CallRequest, adm admitter.Request) (Answer, error) {
	if err := checkKey(req.GetKey(), time.Now()); err != nil {
		return Answer{}, err
	}
	k := folder.IntentKey{Customer: req.GetCustomer(), Key: req.GetKey()}
	if a, ended, err := d.earlier(k); ended {
		return a, err
	}
	if !d.CanAgree() {
		return Answer{}, verdict.Refuse(verdict.ReasonLogDown, comeBackLater, "the log does not answer")
	}
	c, err := d.await(ctx, adm, nil, func(now time.Time) []router.Candidate { return d.services(req.GetService(), now) })
	if err != nil {
		return Answer{}, err
	}
	defer c.Done()
	rec := &recordv1.Record{Id: recorder.NewID(), Kind: &recordv1.Record_Intent{Intent: &recordv1.Intent{
		Customer: k.Customer, Key: k.Key, Instance: d.Instance, Incarnation: d.Incarnation,
		Upstream: c.Upstream, Method: req.GetMethod(),
	}}}
	e, err := d.Recorder.Submit(ctx, rec)
	if err != nil {
		// Nothing was sent, and nothing will be: this instance alone could send
		// for this intent, and Voided frees the key if the intent is read back.
		return Answer{}, verdict.Refuse(verdict.ReasonLogDown, comeBackLater, "intent could not be agreed: %v", err)
	}
	if !e.Counted {
		a, ended, err := d.earlier(k)
		if !ended {
			err = verdict.Doubt(verdict.ReasonEarlierAttempt, 0, "%s", e.Why)
		}
		return a, err
	}
	return d.sendOnce(ctx, c, req, k, rec.GetId())
}

// sendOnce sends after the intent won, and logs the outcome.
func (d *Dispatcher) sendOnce(ctx context.Context, c admitter.Grant, req *callerv1.CallRequest, k folder.IntentKey, intent string) (Answer, error) {
	body, err := d.attemptCall(ctx, c, req)
	o := &recordv1.Outcome{Customer: k.Customer, Key: k.Key, IntentId: intent}
	switch r := verdict.Of(err); {
	case err == nil:
		o.Kind = recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED
		if len(body) <= folder.MaxKeptAnswerBytes {
			o.Answer = body
		}
	case r.Ran == verdict.NotRun:
		o.Kind = recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
		err = r.WithComeBack(comeBackSoon)
	default:
		o.Kind = recordv1.OutcomeKind_OUTCOME_KIND_MAY_HAVE_RUN
		err = r
	}
	d.Recorder.Post(&recordv1.Record{Kind: &recordv1.Record_Outcome{Outcome: o}})
	return Answer{Body: body}, err
}

// earlier returns the verdict of an earlier request with the same key, if
// there was one.
func (d *Dispatcher) earlier(k folder.IntentKey) (Answer, bool, error) {
	var in folder.Intent
	var ok, forgotten bool
	d.Keeper.View(func(s *folder.State) {
		in, ok = s.Intents.Get(k)
		forgotten = s.Intents.IsForgotten(k.Key)
	})
	switch {
	case ok && in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED && len(in.Answer) > 0:
		return Answer{Body: in.Answer, Earlier: true}, true, nil
	case ok && in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return Answer{}, false, nil
	case ok:
		return Answer{}, true, verdict.Doubt(verdict.ReasonEarlierAttempt, 0,
			"an earlier request had the key, at %d through %s: %s", in.Position, in.Instance, in.Outcome)
	case forgotten:
		return Answer{}, true, verdict.Doubt(verdict.ReasonKeyTooOld, 0, "the key is older than what is remembered")
	}
	return Answer{}, false, nil
}

// checkKey checks that a request key is a ULID of about now or earlier.
func checkKey(key string, now time.Time) error {
	id, err := ulid.ParseStrict(key)
	if err != nil || id.String() != key {
		return verdict.Refuse(verdict.ReasonInvalid, 0, "the method may not be repeated, so the request needs a ULID as its key")
	}
	if ulid.Time(id.Time()).After(now.Add(maxKeyAhead)) {
		return verdict.Refuse(verdict.ReasonInvalid, 0, "the key's time is ahead of the clock")
	}
	return nil
}

// Voided frees the key of an intent that was read back after its request had
// been refused as not run. Nothing was sent for it.
func (d *Dispatcher) Voided(e folder.Event) {
	in := e.Record.GetIntent()
	if in == nil || !e.Counted {
		return
	}
	d.Recorder.Post(&recordv1.Record{Kind: &recordv1.Record_Outcome{Outcome: &recordv1.Outcome{
		Customer: in.GetCustomer(), Key: in.GetKey(), IntentId: e.Record.GetId(),
		Kind: recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN,
	}}})
}
