// Package dispatcher takes a request from its arrival to its verdict.
//
// A request is admitted, waits for an upstream with room until its deadline,
// and is attempted. What may be repeated, or provably did not run, is tried
// again elsewhere. What may not be repeated is sent at most once, after its
// intent has been read back from the log as the first of its key.
package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Bounds of the dispatcher.
const (
	maxTries       = 4
	defaultWait    = 2 * time.Second
	comeBackSoon   = 500 * time.Millisecond
	comeBackLater  = 2 * time.Second
	attemptTimeout = 60 * time.Second
)

// Dispatcher dispatches requests. Its fields must be set before use.
type Dispatcher struct {
	Instance    string
	Incarnation string
	Keeper      *keeper.Keeper
	Recorder    *recorder.Recorder
	Monitor     *monitor.Monitor
	Tallier     *tallier.Tallier
	Attempter   *attempter.Attempter
	Log         *zap.Logger
	// CanAgree reports whether the log answers, so that something can be agreed.
	CanAgree func() bool
}

// deadline returns when the request must have its first byte or its refusal.
func deadline(now time.Time, wantedMs, contractMs uint32) time.Time {
	d := time.Duration(contractMs) * time.Millisecond
	if d == 0 {
		d = defaultWait
	}
	if w := time.Duration(wantedMs) * time.Millisecond; w > 0 {
		d = min(d, w)
	}
	return now.Add(d)
}

// Generate streams the answer of a model to emit, and returns its token count.
// The error is a verdict.Refusal.
func (d *Dispatcher) Generate(ctx context.Context, req *callerv1.GenerateRequest, emit func(uint32, string) error) (uint32, error) {
	var contract *recordv1.Contract
	var model *recordv1.Model
	var adapter *recordv1.Adapter
	d.Keeper.View(func(s *folder.State) {
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
	ticket := d.Tallier.Wait(tallier.Target{Model: req.GetModel(), Adapter: req.GetAdapter()}, class, until)
	defer ticket.Done()
	return d.generate(ctx, req, class, until, ticket, emit)
}

func (d *Dispatcher) generate(ctx context.Context, req *callerv1.GenerateRequest, class recordv1.RequestClass, until time.Time, ticket *tallier.Ticket, emit func(uint32, string) error) (uint32, error) {
	next := uint32(0)
	tried := make(map[string]bool)
	var last verdict.Refusal
	for range maxTries {
		c, err := d.await(ctx, until, tried, func(now time.Time) []router.Candidate { return d.replicas(req, now) })
		if err != nil {
			if len(tried) > 0 {
				return 0, last
			}
			return 0, err
		}
		ticket.Run()
		n, err := d.attemptGenerate(ctx, c, req, class, next, func(i uint32, tok string) error {
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

func (d *Dispatcher) attemptGenerate(ctx context.Context, c router.Candidate, req *callerv1.GenerateRequest, class recordv1.RequestClass, from uint32, emit func(uint32, string) error) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	defer d.Monitor.Begin(c.Upstream)()
	return d.Attempter.Generate(ctx, c.Address, &upstreamv1.GenerateRequest{
		Model: req.GetModel(), Adapter: req.GetAdapter(), Replica: c.Replica, Prompt: req.GetPrompt(),
		MaxTokens: req.GetMaxTokens(), Priority: uint32(class), FromToken: from,
	}, emit)
}

// await waits until a candidate has room.
func (d *Dispatcher) await(ctx context.Context, until time.Time, tried map[string]bool, cands func(time.Time) []router.Candidate) (router.Candidate, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		state, load := d.Keeper.Changed(), d.Monitor.Changed()
		list := cands(time.Now())
		if i := router.Choose(list, tried, rand.New(rand.NewPCG(rand.Uint64(), 0))); i >= 0 {
			return list[i], nil
		}
		select {
		case <-ctx.Done():
			return router.Candidate{}, verdict.Refuse(verdict.ReasonCanceled, 0, "caller went away")
		case <-timer.C:
			return router.Candidate{}, verdict.Refuse(verdict.ReasonDeadline, comeBackLater, "no upstream had room in time")
		case <-state:
		case <-load:
		}
	}
}

// replicas returns the loaded replicas that can serve the request.
func (d *Dispatcher) replicas(req *callerv1.GenerateRequest, now time.Time) []router.Candidate {
	var loaded []folder.Replica
	d.Keeper.View(func(s *folder.State) {
		for _, id := range s.ReplicaIDs(req.GetModel()) {
			r, _ := s.Replica(id)
			if r.IsUsable() && (req.GetAdapter() == "" || r.Adapters[req.GetAdapter()] == folder.PhaseLoaded) {
				loaded = append(loaded, r)
			}
		}
	})
	var out []router.Candidate
	for _, r := range loaded {
		v, ok := d.Monitor.View(r.Upstream)
		if !ok || !v.IsUsable(now) || v.Report.GetIncarnation() != r.UpstreamIncarnation {
			continue
		}
		out = append(out, router.Candidate{
			Upstream: r.Upstream, Replica: r.ID, Address: v.Config.GetAddress(),
			Load: v.Load(), Slots: int(v.Report.GetSlots()),
		})
	}
	return out
}

// services returns the upstreams of a plain service.
func (d *Dispatcher) services(name string, now time.Time) []router.Candidate {
	var out []router.Candidate
	for up, v := range d.Monitor.Views() {
		if v.Config.GetService() == name && v.IsUsable(now) {
			out = append(out, router.Candidate{
				Upstream: up, Address: v.Config.GetAddress(), Load: v.Load(), Slots: int(v.Report.GetSlots()),
			})
		}
	}
	return out
}
