package dispatcher

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

func (d *Dispatcher) generate(ctx context.Context, req *callerv1.GenerateRequest, adm admitter.Request, ticket *tallier.Ticket, emit func(uint32, string) error) (uint32, error) {
	next := uint32(0)
	tried := make(map[string]bool)
	var last verdict.Refusal
	for range maxTries {
		c, err := d.await(ctx, adm, tried, func(now time.Time) []router.Candidate { return d.replicas(req, now) })
		if err != nil {
			if len(tried) > 0 {
				return 0, last
			}
			return 0, err
		}
		ticket.Run()
		n, err := d.attemptGenerate(ctx, c, req, adm.Class, next, func(i uint32, tok string) error {
			next = i + 1
			return emit(i, tok)
		})
		if err == nil {
			return n, nil
		}
		last = verdict.Of(err)
		if ctx.Err() != nil {
			return 0, verdict.Doubt(verdict.ReasonCanceled, 0, "caller went away")
		}
		tried[c.Upstream] = true
		d.Monitor.Fail(c.Upstream)
	}
	return 0, last.WithComeBack(comeBackSoon)
}

func (d *Dispatcher) attemptGenerate(ctx context.Context, c admitter.Grant, req *callerv1.GenerateRequest, class recordv1.RequestClass, from uint32, emit func(uint32, string) error) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	defer c.Done()
	return d.Attempter.Generate(ctx, c.Address, &upstreamv1.GenerateRequest{
		Model: req.GetModel(), Adapter: req.GetAdapter(), Replica: c.Replica, Prompt: req.GetPrompt(),
		MaxTokens: req.GetMaxTokens(), Priority: uint32(class), FromToken: from,
	}, emit)
}
