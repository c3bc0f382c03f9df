package queuer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/breaker"
	"github.com/primrosedrift/primrosedrift/internal/estimator"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/router"
)

// shedKey identifies a model or adapter on one upstream.
type shedKey struct {
	upstream string
	key
}

// health is the state of one incarnation of an upstream, derived from the
// outcomes of attempts there.
type health struct {
	startedAtMs     int64
	breaker         breaker.Breaker
	failureEstimate estimator.Estimate
	latency         time.Duration
	// brokenUntil is until when others are preferred, because a connection to the upstream
	// was refused or broke.
	brokenUntil time.Time
	// attempts and failures count the outcomes since the last call of Outcomes.
	attempts, failures int
}

// Grant returns the upstream that runs the request and counts the request as
// running there. It returns nil if the request must wait.
func (t *Table) Grant(req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) *registrar.Upstream {
	u := t.choose(req, s, cfg, now)
	if u == nil {
		return nil
	}
	t.versionsSeen[version{req.Service, u.Software}] = now
	t.demandOf(req.key()).running[u.ID]++
	t.running[u.ID]++
	t.recordStart(u, now)
	t.prefill[u.ID] += req.Tokens
	h := t.healthOf(u)
	h.breaker = h.breaker.WithAttempt(now)
	t.health[u.ID] = h
	if req.Prefix != "" {
		t.prefixes.Add(req.Prefix, u.ID)
	}
	return u
}

// choose returns the upstream for the request, nil if none has room. It prefers
// upstreams that rarely fail, and among these the local ones while they are
// lightly loaded. Services whose upstreams state how long their work takes are left to
// chooseByPace.
func (t *Table) choose(req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) *registrar.Upstream {
	t.init()
	t.pacing.chosen = Choice{}
	if p := t.paceOf(req.Service, now); p != nil && !t.isBrittle(req.Service, now) {
		return t.chooseByPace(p, req, s, cfg, now)
	}
	svc := cfg.Services[req.Service]
	list := req.candidates(s)
	cands := make([]router.Candidate, 0, len(list))
	upstreams := make([]*registrar.Upstream, 0, len(list))
	isBroken := make([]bool, 0, len(list))
	prefixUpstream, _ := t.prefixes.Get(req.Prefix)
	isBrittle := t.isBrittle(req.Service, now)
	if isBrittle {
		list = t.withBrittleRoom(req, s, list, now)
	}
	for _, u := range list {
		if u.IsPaused(now) || !t.canStart(u, now) || req.Model != "" && !u.Holds(req.Model, req.Adapter) {
			continue
		}
		prefill := t.prefill[u.ID]
		if prefill > 0 && prefill+req.Tokens > maxPrefillTokens {
			continue
		}
		h := t.healthOf(u)
		if !h.breaker.Allows(now) || now.Before(t.shedUntil[shedKey{u.ID, req.key()}]) {
			continue
		}
		slots := t.slotsFor(req, u, now)
		if svc.Engine == nil && !isBrittle {
			slots += plainQueueLength
		}
		c := router.Candidate{
			Upstream: u.ID, Load: t.running[u.ID] + u.NumPeerAttempts, Slots: slots, Latency: h.latency,
			Distance: remoteRoundTrip, HasPrefix: req.Prefix != "" && prefixUpstream == u.ID,
			FailureProbability: max(h.failureEstimate.FailureProbability(now), u.PeerFailureEstimate.FailureProbability(now)),
		}
		if u.DataCentre == t.DataCentre {
			c.Distance = localRoundTrip
		}
		isBroken = append(isBroken, now.Before(h.brokenUntil))
		c.Distance += time.Duration(prefill) * time.Millisecond / prefillTokensPerMs
		cands = append(cands, c)
		upstreams = append(upstreams, u)
	}
	reliable := router.ExcludeUnreliable(cands, req.Tried)
	steady := withoutSlots(reliable, isBroken)
	for _, list := range [][]router.Candidate{onlyLocal(steady), steady, onlyLocal(reliable), reliable} {
		if i := router.Choose(list, req.Tried, t.Rand); i >= 0 && !req.Tried[cands[i].Upstream] {
			return upstreams[i]
		}
	}
	if i := router.Choose(cands, req.Tried, t.Rand); i >= 0 {
		return upstreams[i]
	}
	return nil
}

// withoutSlots returns a copy of the candidates in which the given ones have no slots.
func withoutSlots(cands []router.Candidate, given []bool) []router.Candidate {
	out := slices.Clone(cands)
	for i := range out {
		if given[i] {
			out[i].Slots = 0
		}
	}
	return out
}

// onlyLocal returns a copy of the candidates in which those in other data
// centres and those above maxLocalLoad have no slots.
func onlyLocal(cands []router.Candidate) []router.Candidate {
	out := slices.Clone(cands)
	for i, c := range out {
		if c.Distance >= remoteRoundTrip || float64(c.Load) >= maxLocalLoad*float64(c.Slots) {
			out[i].Slots = 0
		}
	}
	return out
}

// Shed records that an upstream refused a request without running it, because
// it is full or an order for the model is in progress there.
func (t *Table) Shed(req Request, u *registrar.Upstream, now time.Time) {
	if t.isBrittle(req.Service, now) {
		t.shedBrittle(req, u, now)
	}
	t.shedUntil[shedKey{u.ID, req.key()}] = now.Add(shedDelay)
	if len(t.shedUntil) > maxShedEntries {
		for k, until := range t.shedUntil {
			if now.After(until) {
				delete(t.shedUntil, k)
			}
		}
	}
}

// Outcome is the result of an attempt, as far as it depends on the upstream.
type Outcome struct {
	Failed bool
	// IsBroken says that the connection was refused or broke.
	IsBroken bool
	// IsUnanswered says that the client disconnected after a long wait without a
	// response. The upstream may or may not be at fault.
	IsUnanswered bool
	// FirstEventAfter is the time to the response or to its first event.
	FirstEventAfter time.Duration
	Began           time.Time
}

// RecordOutcome updates the health of an upstream after an attempt. It reports
// whether the outcome opened the breaker of the upstream.
func (t *Table) RecordOutcome(u *registrar.Upstream, o Outcome, now time.Time) (opened bool) {
	h := t.healthOf(u)
	wasOpen := h.breaker.IsOpen()
	h.attempts++
	switch {
	case o.IsBroken:
		h.brokenUntil = now.Add(brokenDelay)
	case !o.Failed && !o.IsUnanswered:
		h.brokenUntil = time.Time{}
	}
	if o.Failed || o.IsUnanswered {
		h.failureEstimate = h.failureEstimate.WithFailure(now)
		h.failures++
	} else {
		h.failureEstimate = h.failureEstimate.WithSuccess(now)
	}
	switch {
	case o.IsUnanswered:
	case o.Failed:
		h.breaker = h.breaker.WithFailure(o.Began, now)
	default:
		h.breaker = h.breaker.WithSuccess()
		if o.FirstEventAfter > 0 {
			if h.latency == 0 {
				h.latency = o.FirstEventAfter
			}
			h.latency += time.Duration(latencyWeight * float64(o.FirstEventAfter-h.latency))
		}
	}
	t.health[u.ID] = h
	return h.breaker.IsOpen() && !wasOpen
}

func (t *Table) healthOf(u *registrar.Upstream) health {
	h := t.health[u.ID]
	if h.startedAtMs != u.StartedAtMs {
		h = health{startedAtMs: u.StartedAtMs}
	}
	return h
}

// OutcomeCounts counts the attempts at one upstream since the last call of
// Outcomes.
type OutcomeCounts struct {
	Upstream           string
	StartedAtMs        int64
	Attempts, Failures int
}

// Outcomes returns the counts of the upstreams that have failed attempts since
// the last call, and resets them.
func (t *Table) Outcomes() []OutcomeCounts {
	var out []OutcomeCounts
	for id, h := range t.health {
		if h.failures == 0 {
			continue
		}
		out = append(out, OutcomeCounts{id, h.startedAtMs, h.attempts, h.failures})
		h.attempts, h.failures = 0, 0
		t.health[id] = h
	}
	return out
}
