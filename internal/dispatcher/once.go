package dispatcher

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/router"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// maxKeyAhead is how far a request key's time may be ahead of this clock.
const maxKeyAhead = 5 * time.Minute

// agreeCheck is how often a request that waits for the log looks whether the
// log still answers.
const agreeCheck = 50 * time.Millisecond

// callOnce sends a request that may not be repeated at most once, over all
// instances: only the writer of the first intent of the key sends, after it
// has read its intent back. A request that finds an earlier intent waits for
// its outcome, and gets the answer that was kept or a refusal in doubt. A
// refusal as not run speaks of this attempt; it ends no doubt of another.
func (d *Dispatcher) callOnce(ctx context.Context, req *callerv1.CallRequest, adm admitter.Request) (Answer, error) {
	if err := checkKey(req.GetKey(), time.Now()); err != nil {
		return Answer{}, err
	}
	k := folder.IntentKey{Customer: req.GetCustomer(), Key: req.GetKey()}
	if a, found, err := d.earlier(ctx, k); found {
		return a, err
	}
	if !d.CanAgree() {
		return Answer{}, verdict.Refuse(verdict.ReasonLogDown, comeBackLater, "the log does not answer")
	}
	c, err := d.awaitService(ctx, req, nil, adm)
	if err != nil {
		return Answer{}, err
	}
	defer c.Done() // also if the intent is not agreed
	rec := &recordv1.Record{Id: recorder.NewID(), Kind: &recordv1.Record_Intent{Intent: &recordv1.Intent{
		Customer: k.Customer, Key: k.Key, Instance: d.Instance, Incarnation: d.Incarnation,
		Upstream: c.Upstream, Method: req.GetMethod(),
	}}}
	e, err := d.submitWhileAgreeing(ctx, rec)
	if err != nil {
		// Nothing was sent, and nothing will be: this instance alone could send
		// for this intent, and Voided frees the key if the intent is read back.
		return Answer{}, verdict.Refuse(verdict.ReasonLogDown, comeBackLater, "intent could not be agreed: %v", err)
	}
	if d.wins(e) {
		return d.sendOnce(ctx, c, req, k, rec.GetId(), adm)
	}
	c.Done() // waiting for another's outcome needs no room
	a, found, err := d.earlier(ctx, k)
	if !found {
		err = verdict.Doubt(verdict.ReasonEarlierAttempt, comeBackSoon, "%s", e.Why)
	}
	return a, err
}

func (d *Dispatcher) wins(e folder.Event) bool {
	if d.Wins != nil {
		return d.Wins(e)
	}
	return e.Counted
}

func (d *Dispatcher) awaitService(ctx context.Context, req *callerv1.CallRequest, tried map[string]bool, adm admitter.Request) (admitter.Grant, error) {
	return d.await(ctx, adm, tried, func(now time.Time) []router.Candidate { return d.services(req.GetService(), now) }, nil)
}

// submitWhileAgreeing submits a record and gives up once the log does not answer.
func (d *Dispatcher) submitWhileAgreeing(ctx context.Context, rec *recordv1.Record) (folder.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tick := time.NewTicker(agreeCheck)
	defer tick.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				if !d.CanAgree() {
					cancel()
				}
			}
		}
	}()
	return d.Recorder.Submit(ctx, rec)
}

// sendOnce sends after the intent won, and logs the outcome. While an attempt
// provably did not run, the same intent covers the next one.
func (d *Dispatcher) sendOnce(ctx context.Context, c admitter.Grant, req *callerv1.CallRequest, k folder.IntentKey, intent string, adm admitter.Request) (Answer, error) {
	tried := make(map[string]bool)
	d.Retries.First()
	body, err := d.attemptCall(ctx, c, req)
	for n := 1; n < maxTries && err != nil && verdict.Of(err).Ran == verdict.NotRun && ctx.Err() == nil && d.Retries.Retry(); n++ {
		tried[c.Upstream] = true
		next, awaitErr := d.awaitService(ctx, req, tried, adm)
		if awaitErr != nil {
			break
		}
		c = next
		body, err = d.attemptCall(ctx, c, req)
	}
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
// there was one. It waits for the outcome of one that is under way until ctx
// ends, the log stops answering, or the instance that had it has ended.
func (d *Dispatcher) earlier(ctx context.Context, k folder.IntentKey) (Answer, bool, error) {
	tick := time.NewTicker(agreeCheck)
	defer tick.Stop()
	for {
		changed, leave := d.outcomes.join(k) // before the look, so that no outcome is missed
		in, found, err := d.lookUp(k)
		if final, answer, refusal := d.settled(ctx, in, found, err, changed != nil); final {
			leave()
			return answer, found, refusal
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-tick.C:
		}
		leave()
	}
}

// settled returns the verdict on a request that found an earlier intent or
// none, if it needs to wait no longer.
func (d *Dispatcher) settled(ctx context.Context, in folder.Intent, found bool, err error, mayWait bool) (bool, Answer, error) {
	switch {
	case !found || err != nil:
		return true, Answer{}, err
	case in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED:
		return true, Answer{Body: in.Answer, Earlier: true}, nil
	case d.IsGone != nil && d.IsGone(in.Incarnation):
		return true, Answer{}, doubtEarlier(in, 0)
	case !mayWait || ctx.Err() != nil || !d.CanAgree():
		return true, Answer{}, doubtEarlier(in, comeBackLater)
	}
	return false, Answer{}, nil
}

func doubtEarlier(in folder.Intent, comeBack time.Duration) error {
	return verdict.Doubt(verdict.ReasonEarlierAttempt, comeBack,
		"an earlier request had the key, at %d through %s: %s", in.Position, in.Instance, in.Outcome)
}

// lookUp returns the intent of the key whose request is under way or answered.
// The error is the final verdict on a key that is neither.
func (d *Dispatcher) lookUp(k folder.IntentKey) (folder.Intent, bool, error) {
	var in folder.Intent
	var ok, forgotten bool
	d.Keeper.View(func(s *folder.State) {
		in, ok = s.Intents.Get(k)
		forgotten = s.Intents.IsForgotten(k.Key)
	})
	switch {
	case !ok && forgotten:
		return in, true, verdict.Doubt(verdict.ReasonKeyTooOld, 0, "the key is older than what is remembered")
	case !ok, in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return in, false, nil
	case in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_MAY_HAVE_RUN,
		in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED && len(in.Answer) == 0:
		return in, true, doubtEarlier(in, 0)
	}
	return in, true, nil
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

// OnEvents wakes the requests that wait for an outcome. The keeper calls it.
func (d *Dispatcher) OnEvents(events []folder.Event) {
	for _, e := range events {
		if o := e.Record.GetOutcome(); o != nil && e.Counted {
			d.outcomes.wake(folder.IntentKey{Customer: o.GetCustomer(), Key: o.GetKey()})
		}
	}
}
