package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/prefixer"
	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Bounds of one answer.
const (
	// tokenTimeout is the longest silence within an answer that has begun.
	tokenTimeout = 5 * time.Second
	// poisonComeBack is when a condemned request may be tried again.
	poisonComeBack = folder.SuspicionMemory
)

// errSilent ends an attempt whose upstream says nothing.
var errSilent = errors.New("upstream says nothing")

// generation is one request to a model on its way through attempts.
type generation struct {
	d      *Dispatcher
	req    *callerv1.GenerateRequest
	adm    admitter.Request // its deadline is that of the first byte
	ticket *tallier.Ticket
	emit   func(uint32, string) error

	fingerprint uint64
	prefix      uint64
	next        uint32 // index of the next token
	began       bool   // a token has come
	tried       map[string]bool
	attempted   bool
	ran         verdict.Ran
	last        verdict.Refusal
}

func (d *Dispatcher) generate(ctx context.Context, req *callerv1.GenerateRequest, adm admitter.Request, ticket *tallier.Ticket, emit func(uint32, string) error) (uint32, error) {
	g := &generation{
		d: d, req: req, adm: adm, ticket: ticket, emit: emit,
		fingerprint: quarantiner.Fingerprint(req.GetCustomer(), req.GetModel(), req.GetAdapter(), req.GetPrompt()),
		prefix:      prefixer.Of(req.GetModel(), req.GetAdapter(), req.GetPrompt()),
		next:        req.GetFromToken(), tried: make(map[string]bool), ran: verdict.NotRun,
	}
	return g.run(ctx)
}

// run attempts until the answer is whole, or nothing more may be tried.
func (g *generation) run(ctx context.Context) (uint32, error) {
	wait := time.Until(g.adm.Deadline)
	g.d.Retries.First()
	for try := range maxTries {
		losses := g.losses()
		if losses >= folder.CondemnedAfter {
			return 0, g.refuse(verdict.Refuse(verdict.ReasonPoison, poisonComeBack,
				"%d upstreams ended while they ran this request", losses))
		}
		if try > 0 && !g.d.Retries.Retry() {
			break
		}
		if g.began {
			g.adm.Deadline = time.Now().Add(wait) // an answer that broke off has as long again to go on
		}
		g.ticket.Again(g.adm.Deadline)
		c, a, err := g.begin(ctx, losses > 0)
		if err != nil {
			return 0, g.refuse(verdict.Of(err))
		}
		n, err := g.attempt(ctx, c, try)
		g.settle(ctx, c, a, err)
		switch {
		case err == nil:
			return n, nil
		case ctx.Err() != nil:
			return 0, verdict.Doubt(verdict.ReasonCanceled, 0, "caller went away")
		}
	}
	return 0, g.refuse(g.last.WithComeBack(comeBackSoon))
}

// refuse returns a refusal that tells the truth about all attempts.
func (g *generation) refuse(r verdict.Refusal) verdict.Refusal {
	if g.attempted && r.Reason == verdict.ReasonDeadline {
		r.Detail += "; the last attempt ended with: " + g.last.Error()
	}
	return r.After(g.ran)
}

// losses returns how many upstreams ended while they ran this request.
func (g *generation) losses() int {
	now := time.Now()
	var folded []string
	g.d.Keeper.View(func(s *folder.State) { folded = s.Poison.LostOn(g.fingerprint, now) })
	return g.d.Quarantiner.Losses(g.fingerprint, folded, now)
}

// begin waits for a candidate. A suspect waits for one where no other suspect runs.
func (g *generation) begin(ctx context.Context, suspect bool) (admitter.Grant, *quarantiner.Attempt, error) {
	for {
		c, err := g.d.await(ctx, g.adm, g.tried, func(now time.Time) []router.Candidate {
			return g.d.replicas(g.req, now)
		}, g.refine(suspect))
		if err != nil {
			return c, nil, err
		}
		if a := g.d.Quarantiner.Begin(c.Upstream, c.Incarnation, g.fingerprint, suspect); a != nil {
			return c, a, nil
		}
		c.Done()
	}
}

func (g *generation) refine(suspect bool) refiner {
	return func(c router.Candidate) (router.Candidate, bool) {
		c.HasPrefix = g.d.Monitor.HasPrefix(c.Upstream, g.prefix)
		return c, !suspect || g.d.Quarantiner.IsLaneFree(c.Upstream)
	}
}

// attempt makes one attempt. The first one may use half of the time that is
// left for the first byte, so that another can follow.
func (g *generation) attempt(ctx context.Context, c admitter.Grant, try int) (uint32, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.Until(g.adm.Deadline)
	if try == 0 {
		silence /= 2
	}
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	defer c.Done()
	defer c.OnCut(func() { cancel(admitter.ErrCut) })()

	g.ticket.Run()
	g.attempted = true
	g.d.Monitor.Sent(c.Upstream, g.prefix)
	began := time.Now()
	first := true
	n, err := g.d.Attempter.Generate(ctx, c.Address, &upstreamv1.GenerateRequest{
		Model: g.req.GetModel(), Adapter: g.req.GetAdapter(), Replica: c.Replica, Prompt: g.req.GetPrompt(),
		MaxTokens: g.req.GetMaxTokens(), Priority: uint32(g.adm.Class), FromToken: g.next,
	}, func(i uint32, tok string) error {
		if first {
			g.d.Monitor.Succeed(c.Upstream, time.Since(began))
			first, g.began = false, true
		}
		watchdog.Reset(tokenTimeout)
		g.next = i + 1
		return g.emit(i, tok)
	})
	if err != nil && errors.Is(context.Cause(ctx), admitter.ErrCut) {
		err = attempter.Failure{Refusal: verdict.Doubt(verdict.ReasonContractLimit, comeBackLater, "%s", admitter.ErrCut), Kind: attempter.KindRefused}
	}
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		err = attempter.Failure{Refusal: verdict.Doubt(verdict.ReasonUpstreamFailed, 0, "%s", errSilent), Kind: attempter.KindBroken}
	}
	return n, err
}

// settle draws the conclusions from the end of an attempt.
func (g *generation) settle(ctx context.Context, c admitter.Grant, a *quarantiner.Attempt, err error) {
	var f attempter.Failure
	if !errors.As(err, &f) {
		a.End(false, time.Now())
		g.cleared()
		return
	}
	broken := f.Kind == attempter.KindBroken && ctx.Err() == nil
	a.End(broken, time.Now())
	g.last, g.ran = f.Refusal, f.After(g.ran).Ran
	g.tried[c.Upstream] = true
	switch f.Kind {
	case attempter.KindUnreachable:
		g.d.Monitor.Unreachable(c.Upstream)
	case attempter.KindLeaving:
		g.d.Monitor.Refused(c.Upstream)
	case attempter.KindBroken, attempter.KindIncomplete:
		if ctx.Err() == nil {
			g.d.Monitor.Fail(c.Upstream, time.Now())
		}
	}
	if broken && !g.d.Monitor.Probe(ctx, c.Upstream, c.Incarnation) && ctx.Err() == nil {
		g.suspect(c)
	}
}

// suspect notes that the upstream has ended, and tells the others what ran there.
func (g *generation) suspect(c admitter.Grant) {
	now := time.Now()
	fps := g.d.Quarantiner.Lose(c.Upstream, c.Incarnation, now)
	if len(fps) == 0 {
		return
	}
	g.d.Recorder.Post(&recordv1.Record{Kind: &recordv1.Record_Suspicion{Suspicion: &recordv1.Suspicion{
		Fingerprints: fps, Upstream: c.Upstream, UpstreamIncarnation: c.Incarnation,
		Alone: len(fps) == 1, UnixMs: now.UnixMilli(),
	}}})
}

// cleared forgets the suspicion of a request that ran to its end.
func (g *generation) cleared() {
	if g.losses() == 0 {
		return
	}
	g.d.Quarantiner.Clear(g.fingerprint)
	g.d.Recorder.Post(&recordv1.Record{Kind: &recordv1.Record_Suspicion{Suspicion: &recordv1.Suspicion{
		Fingerprints: []uint64{g.fingerprint}, Cleared: true, UnixMs: time.Now().UnixMilli(),
	}}})
}
