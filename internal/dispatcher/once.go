package dispatcher

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/router"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// maxKeyAhead is how far the time in a request key may be ahead of this
// instance's clock.
const maxKeyAhead = 5 * time.Minute

// logCheckInterval is the interval at which a request that waits for the log
// checks that the log still responds.
const logCheckInterval = 50 * time.Millisecond

// callAtMostOnce sends a non-idempotent request at most once over all
// instances: only the writer of the first intent with the key sends, after it
// has read its intent back. A request that finds an earlier intent waits for
// its outcome, and returns the stored response or a refusal with the verdict
// may-have-run. The verdict not-run covers this attempt only: an earlier one may
// have run.
func (d *Dispatcher) callAtMostOnce(ctx context.Context, req *callerv1.CallRequest, adm admitter.Request) (Response, error) {
	if err := checkKey(req.GetKey(), time.Now()); err != nil {
		return Response{}, err
	}
	k := applier.IntentKey{Customer: req.GetCustomer(), Key: req.GetKey()}
	if a, found, err := d.awaitEarlier(ctx, k); found {
		return a, err
	}
	if !d.IsLogAvailable() {
		return Response{}, verdict.Refuse(verdict.ReasonLogDown, longRetryDelay, "the log does not answer")
	}
	c, err := d.admitCall(ctx, req, nil, adm)
	if err != nil {
		return Response{}, err
	}
	defer c.Done() // also if the intent is not agreed
	rec := &recordv1.Record{Id: recorder.NewID(), Kind: &recordv1.Record_Intent{Intent: &recordv1.Intent{
		Customer: k.Customer, Key: k.Key, Instance: d.Instance, Incarnation: d.Incarnation,
		Upstream: c.Upstream, Method: req.GetMethod(),
	}}}
	e, err := d.submitWhileLogResponds(ctx, rec)
	if err != nil {
		// Nothing was or will be sent: only this instance may send for this
		// intent, and FreeKey frees the key if the intent is read back later.
		return Response{}, verdict.Refuse(verdict.ReasonLogDown, longRetryDelay, "intent could not be agreed: %v", err)
	}
	if d.isFirstIntent(e) {
		return d.sendOnce(ctx, c, req, k, rec.GetId(), adm)
	}
	c.Done() // waiting for the outcome of another request needs no slot
	a, found, err := d.awaitEarlier(ctx, k)
	if !found {
		err = verdict.RefuseMayHaveRun(verdict.ReasonEarlierAttempt, shortRetryDelay, "%s", e.Reason)
	}
	return a, err
}

func (d *Dispatcher) isFirstIntent(e applier.Event) bool {
	if d.IsFirstIntent != nil {
		return d.IsFirstIntent(e)
	}
	return e.Counted
}

func (d *Dispatcher) admitCall(ctx context.Context, req *callerv1.CallRequest, tried map[string]bool, adm admitter.Request) (admitter.Grant, error) {
	return d.admit(ctx, adm, callRoute(req), adm.Deadline, tried, func(now time.Time) []router.Candidate { return d.services(req.GetService(), now) }, nil)
}

// submitWhileLogResponds submits a record and returns an error as soon as the log
// does not respond.
func (d *Dispatcher) submitWhileLogResponds(ctx context.Context, rec *recordv1.Record) (applier.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tick := time.NewTicker(logCheckInterval)
	defer tick.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				if !d.IsLogAvailable() {
					cancel()
				}
			}
		}
	}()
	return d.Recorder.Submit(ctx, rec)
}

// sendOnce sends the request of an intent that is the first with its key, and
// logs the outcome. After an attempt that provably did not run, the same intent
// covers the next attempt.
func (d *Dispatcher) sendOnce(ctx context.Context, c admitter.Grant, req *callerv1.CallRequest, k applier.IntentKey, intent string, adm admitter.Request) (Response, error) {
	tried := make(map[string]bool)
	d.RetryBudget.Deposit()
	body, err := d.attemptCall(ctx, c, req)
	for n := 1; n < maxAttempts && err != nil && verdict.FromError(err).Ran == verdict.NotRun && ctx.Err() == nil && d.RetryBudget.TryWithdraw(); n++ {
		tried[c.Upstream] = true
		next, admitErr := d.admitCall(ctx, req, tried, adm)
		if admitErr != nil {
			break
		}
		c = next
		body, err = d.attemptCall(ctx, c, req)
	}
	o := &recordv1.Outcome{Customer: k.Customer, Key: k.Key, IntentId: intent}
	switch r := verdict.FromError(err); {
	case err == nil:
		o.Kind = recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED
		if len(body) <= applier.MaxKeptAnswerBytes {
			o.Answer = body
		}
	case r.Ran == verdict.NotRun:
		o.Kind = recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
		err = r.WithRetryAfter(shortRetryDelay)
	default:
		o.Kind = recordv1.OutcomeKind_OUTCOME_KIND_MAY_HAVE_RUN
		err = r
	}
	d.Recorder.Post(&recordv1.Record{Kind: &recordv1.Record_Outcome{Outcome: o}})
	return Response{Body: body}, err
}

// awaitEarlier returns the verdict of an earlier request with the same key, if
// there was one. If that request is in progress, awaitEarlier waits for its
// outcome until ctx ends, the log does not respond, or the process of the
// instance that sent it has ended.
func (d *Dispatcher) awaitEarlier(ctx context.Context, k applier.IntentKey) (Response, bool, error) {
	tick := time.NewTicker(logCheckInterval)
	defer tick.Stop()
	for {
		changed, leave := d.outcomeWaiters.join(k) // before the lookup, so that no outcome is missed
		in, found, err := d.lookUpIntent(k)
		if isFinal, resp, refusal := d.earlierVerdict(ctx, in, found, err, changed != nil); isFinal {
			leave()
			return resp, found, refusal
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-tick.C:
		}
		leave()
	}
}

// earlierVerdict returns the verdict on a request after a lookup of an earlier
// intent with its key. It reports false if the request must wait for the
// outcome.
func (d *Dispatcher) earlierVerdict(ctx context.Context, in applier.Intent, found bool, err error, canWait bool) (bool, Response, error) {
	switch {
	case !found || err != nil:
		return true, Response{}, err
	case in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED:
		return true, Response{Body: in.Answer, IsReplay: true}, nil
	case d.HasProcessEnded != nil && d.HasProcessEnded(in.Incarnation):
		return true, Response{}, refuseEarlier(in, 0)
	case !canWait || ctx.Err() != nil || !d.IsLogAvailable():
		return true, Response{}, refuseEarlier(in, longRetryDelay)
	}
	return false, Response{}, nil
}

func refuseEarlier(in applier.Intent, retryDelay time.Duration) error {
	return verdict.RefuseMayHaveRun(verdict.ReasonEarlierAttempt, retryDelay,
		"an earlier request had the key, at %d through %s: %s", in.Position, in.Instance, in.Outcome)
}

// lookUpIntent returns the intent of a key whose request is in progress or
// answered. The error is the final verdict on a key that is forgotten, whose
// request may have run, or whose response was not stored.
func (d *Dispatcher) lookUpIntent(k applier.IntentKey) (applier.Intent, bool, error) {
	var in applier.Intent
	var ok, isForgotten bool
	d.Keeper.View(func(s *applier.State) {
		in, ok = s.Intents.Get(k)
		isForgotten = s.Intents.IsForgotten(k.Key)
	})
	switch {
	case !ok && isForgotten:
		return in, true, verdict.RefuseMayHaveRun(verdict.ReasonKeyTooOld, 0, "the key is older than what is remembered")
	case !ok, in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return in, false, nil
	case in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_MAY_HAVE_RUN,
		in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED && len(in.Answer) == 0:
		return in, true, refuseEarlier(in, 0)
	}
	return in, true, nil
}

// checkKey checks that a request key is a ULID whose time is at most maxKeyAhead
// after now.
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

// FreeKey frees the key of an intent that was read back after its request had
// been refused as not-run. No attempt was made for it. The recorder calls FreeKey
// as its OnAbandonedRead.
func (d *Dispatcher) FreeKey(e applier.Event) {
	in := e.Record.GetIntent()
	if in == nil || !e.Counted {
		return
	}
	d.Recorder.Post(&recordv1.Record{Kind: &recordv1.Record_Outcome{Outcome: &recordv1.Outcome{
		Customer: in.GetCustomer(), Key: in.GetKey(), IntentId: e.Record.GetId(),
		Kind: recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN,
	}}})
}

// OnEvents wakes the requests that wait for an outcome. The keeper calls it.
func (d *Dispatcher) OnEvents(events []applier.Event) {
	for _, e := range events {
		if o := e.Record.GetOutcome(); o != nil && e.Counted {
			d.outcomeWaiters.wake(applier.IntentKey{Customer: o.GetCustomer(), Key: o.GetKey()})
		}
	}
}
