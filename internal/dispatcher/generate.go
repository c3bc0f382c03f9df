package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/prefixer"
	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Timeouts and delays of one response.
const (
	// tokenTimeout is the maximum time between two tokens of a response.
	tokenTimeout = 5 * time.Second
	// poisonRetryDelay is the retry delay of a rejected poison request.
	poisonRetryDelay = applier.SuspicionTTL
)

// errTokenTimeout ends an attempt whose upstream sends no token in time.
var errTokenTimeout = errors.New("upstream says nothing")

// generation is one request to a model, with the state of its attempts.
type generation struct {
	d      *Dispatcher
	req    *callerv1.GenerateRequest
	adm    admitter.Request // the deadline is that of the first byte
	ticket *tallier.Ticket
	emit   func(index uint32, token, software string) error

	fingerprint uint64
	prefix      uint64
	candidates  func(now time.Time) []router.Candidate
	nextToken   uint32          // index of the next token
	hasToken    bool            // a token has been received
	software    string          // version that wrote the tokens so far, empty if not known
	tried       map[string]bool // upstreams that have failed this request
	isAttempted bool            // at least one attempt was made
	attemptedAt time.Time       // start of the last attempt
	ran         verdict.Ran     // of all attempts so far
	lastFailure verdict.Refusal
}

func (d *Dispatcher) generate(ctx context.Context, req *callerv1.GenerateRequest, adm admitter.Request, ticket *tallier.Ticket, emit func(index uint32, token, software string) error) (uint32, error) {
	g := &generation{
		d: d, req: req, adm: adm, ticket: ticket, emit: emit,
		fingerprint: quarantiner.Fingerprint(req.GetCustomer(), req.GetModel(), req.GetAdapter(), req.GetPrompt()),
		prefix:      prefixer.Hash(req.GetModel(), req.GetAdapter(), req.GetPrompt()),
		nextToken:   req.GetFromToken(), software: req.GetSoftware(), tried: make(map[string]bool), ran: verdict.NotRun,
		candidates: func(now time.Time) []router.Candidate { return d.replicas(req, now) },
	}
	return g.run(ctx)
}

// run makes attempts until the response is complete or no further attempt is
// allowed.
func (g *generation) run(ctx context.Context) (uint32, error) {
	wait := time.Until(g.adm.Deadline)
	g.d.RetryBudget.Deposit()
	for attempt := range maxAttempts {
		if _, err := g.checkLosses(); err != nil {
			return 0, err
		}
		if attempt > 0 && !g.d.RetryBudget.TryWithdraw() {
			break
		}
		if g.hasToken {
			g.adm.Deadline = time.Now().Add(wait) // an interrupted response has the full time again to continue
		}
		g.ticket.MarkWaiting(g.adm.Deadline)
		c, a, err := g.admit(ctx)
		if err != nil {
			return 0, g.refuse(verdict.FromError(err))
		}
		n, err := g.attempt(ctx, c, attempt)
		g.finishAttempt(ctx, c, a, err)
		switch {
		case err == nil:
			if attempt == 0 && g.req.GetFromToken() == 0 {
				g.d.Stop.Record(generateRoute(g.req), time.Since(g.attemptedAt))
			}
			return n, nil
		case ctx.Err() != nil:
			return 0, g.refuse(verdict.Refuse(verdict.ReasonCanceled, 0, "caller went away"))
		}
	}
	return 0, g.refuse(g.lastFailure.WithRetryAfter(shortRetryDelay))
}

// refuse returns a refusal whose verdict covers all attempts.
func (g *generation) refuse(r verdict.Refusal) verdict.Refusal {
	if g.isAttempted && r.Reason == verdict.ReasonDeadline {
		r.Detail += "; the last attempt ended with: " + g.lastFailure.Error()
	}
	return r.AfterAttempts(g.ran)
}

// losses returns how many upstreams ended while they ran this request.
func (g *generation) losses() int {
	now := time.Now()
	var lostIncarnations []string
	g.d.Keeper.View(func(s *applier.State) { lostIncarnations = s.Poison.LostIncarnations(g.fingerprint, now) })
	return g.d.Quarantiner.Losses(g.fingerprint, lostIncarnations, now)
}

// checkLosses returns the number of upstreams that ended while they ran this request,
// and a refusal if it is a poison request.
func (g *generation) checkLosses() (int, error) {
	losses := g.losses()
	if losses < applier.PoisonThreshold {
		return losses, nil
	}
	return losses, g.refuse(verdict.Refuse(verdict.ReasonPoison, poisonRetryDelay, "%d upstreams ended while they ran this request", losses))
}

// admit waits for a candidate. A suspected poison request waits for a candidate
// that runs no other suspect. Losses may become known during the wait.
func (g *generation) admit(ctx context.Context) (admitter.Grant, *quarantiner.Attempt, error) {
	for {
		c, err := g.d.admit(ctx, g.adm, generateRoute(g.req), time.Time{}, g.tried, g.candidates, g.refine)
		if err != nil {
			return c, nil, err
		}
		losses, err := g.checkLosses()
		if err != nil {
			c.Done()
			return c, nil, err
		}
		if a := g.d.Quarantiner.Begin(c.Upstream, c.Incarnation, g.fingerprint, losses > 0); a != nil {
			return c, a, nil
		}
		c.Done()
	}
}

func (g *generation) refine(c router.Candidate) (router.Candidate, bool) {
	c.HasPrefix = g.d.Monitor.HasPrefix(c.Upstream, g.prefix)
	losses := g.losses()
	// A poison request gets any candidate, so that admit refuses it at once.
	return c, losses == 0 || losses >= applier.PoisonThreshold || g.d.Quarantiner.CanRunSuspect(c.Upstream)
}

// attempt makes one attempt. The first attempt may use half of the time until
// the deadline of the first byte, so that there is time for a retry.
func (g *generation) attempt(ctx context.Context, c admitter.Grant, attempt int) (uint32, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.Until(g.adm.Deadline)
	if attempt == 0 {
		timeout /= 2
	}
	watchdog := time.AfterFunc(timeout, func() { cancel(errTokenTimeout) })
	defer watchdog.Stop()
	defer c.Done()
	defer c.OnRevoked(func() { cancel(admitter.ErrRevoked) })()

	g.ticket.MarkRunning()
	g.isAttempted = true
	g.d.Monitor.RecordPrefix(c.Upstream, g.prefix)
	g.attemptedAt = time.Now()
	isFirstToken := true
	n, err := g.d.Attempter.Generate(ctx, c.Address, &upstreamv1.GenerateRequest{
		Model: g.req.GetModel(), Adapter: g.req.GetAdapter(), Replica: c.Replica, Prompt: g.req.GetPrompt(),
		MaxTokens: g.req.GetMaxTokens(), Priority: uint32(g.adm.Class), FromToken: g.nextToken, Software: g.software,
	}, func(i uint32, tok, software string) error {
		if isFirstToken {
			g.d.Monitor.RecordSuccess(c.Upstream, time.Since(g.attemptedAt))
			isFirstToken, g.hasToken = false, true
		}
		watchdog.Reset(tokenTimeout)
		g.nextToken, g.software = i+1, software
		return g.emit(i, tok, software)
	})
	if err != nil && errors.Is(context.Cause(ctx), admitter.ErrRevoked) {
		err = attempter.Failure{Refusal: verdict.RefuseMayHaveRun(verdict.ReasonContractLimit, longRetryDelay, "%s", admitter.ErrRevoked), Kind: attempter.KindRefused}
	}
	if err != nil && errors.Is(context.Cause(ctx), errTokenTimeout) {
		err = attempter.Failure{Refusal: verdict.RefuseMayHaveRun(verdict.ReasonUpstreamFailed, 0, "%s", errTokenTimeout), Kind: attempter.KindBroken}
	}
	return n, err
}

// finishAttempt records the result of an attempt in the request's state, the
// monitor and the quarantiner.
func (g *generation) finishAttempt(ctx context.Context, c admitter.Grant, a *quarantiner.Attempt, err error) {
	var f attempter.Failure
	if !errors.As(err, &f) {
		a.End(false, time.Now())
		g.clearSuspicion()
		return
	}
	isBroken := f.Kind == attempter.KindBroken && ctx.Err() == nil
	a.End(isBroken, time.Now())
	g.lastFailure, g.ran = f.Refusal, f.AfterAttempts(g.ran).Ran
	g.tried[c.Upstream] = true
	switch f.Kind {
	case attempter.KindUnreachable:
		g.d.Monitor.MarkUnreachable(c.Upstream)
	case attempter.KindLeaving:
		g.d.Monitor.MarkLeaving(c.Upstream)
	case attempter.KindBroken, attempter.KindIncomplete:
		if ctx.Err() == nil {
			g.d.Monitor.RecordFailure(c.Upstream, g.attemptedAt)
		}
	}
	if isBroken && !g.d.Monitor.Probe(ctx, c.Upstream, c.Incarnation) && ctx.Err() == nil {
		g.recordLoss(c)
	}
}

// recordLoss records that the upstream's process has ended, and logs the
// fingerprints of the requests that ran there for the other instances.
func (g *generation) recordLoss(c admitter.Grant) {
	now := time.Now()
	fps := g.d.Quarantiner.RecordLoss(c.Upstream, c.Incarnation, now)
	if len(fps) == 0 {
		return
	}
	g.d.Recorder.Post(&recordv1.Record{Kind: &recordv1.Record_Suspicion{Suspicion: &recordv1.Suspicion{
		Fingerprints: fps, Upstream: c.Upstream, UpstreamIncarnation: c.Incarnation,
		Alone: len(fps) == 1, UnixMs: now.UnixMilli(),
	}}})
}

// clearSuspicion removes the suspicion of a request that has completed.
func (g *generation) clearSuspicion() {
	if g.losses() == 0 {
		return
	}
	g.d.Quarantiner.Clear(g.fingerprint)
	g.d.Recorder.Post(&recordv1.Record{Kind: &recordv1.Record_Suspicion{Suspicion: &recordv1.Suspicion{
		Fingerprints: []uint64{g.fingerprint}, Cleared: true, UnixMs: time.Now().UnixMilli(),
	}}})
}
