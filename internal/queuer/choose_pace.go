package queuer

import (
	"math"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/pacer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/router"
)

const (
	// comparedLocal and comparedAll are how many random upstreams are compared, in this data
	// centre and together. Instances that see the same figures would all choose one upstream if
	// they compared all of them.
	comparedLocal, comparedAll = 2, 3
	// remoteCost is what the way to another data centre costs, its bytes included, in time that
	// a caller gains there.
	remoteCost = 60 * time.Millisecond
	// lateCost is what a stream that is late costs, in time to the first event.
	lateCost = 500 * time.Millisecond
	// freshAge is how old a statement may be so that a probe tells nothing new.
	freshAge = 60 * time.Millisecond
	// cachedTokens is the share of the prompt tokens that an upstream need not read where the
	// prefix was processed last.
	cachedTokens = 0.4
)

// paceCandidate is an upstream with room for a request.
type paceCandidate struct {
	upstream           *registrar.Upstream
	failureProbability float64
	order              float64
	tier               int8
	isLocal            bool
}

// The tiers of candidates: those of the first that has any are compared.
const (
	tierReliable int8 = iota
	tierUnreliable
	tierTried
)

// chooseByPace returns the upstream for a request to a service whose upstreams state how long
// their work takes, nil if none has room. An upstream has room as long as it has slots, so that
// no request waits while an upstream could run it; among those with room, one that keeps the
// pauses of its streams within their bound goes before the others.
func (t *Table) chooseByPace(p *servicePace, req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) *registrar.Upstream {
	svc := cfg.Services[req.Service]
	p.setMaxPause(req.MaxPause)
	cands := t.paceCandidates(req, req.candidates(s), svc, now)
	if len(cands) == 0 {
		return nil
	}
	t.drawFirst(cands, now)
	model := p.modelOf(req.Model, cfg, svc.Engine)
	prefixUpstream := ""
	if req.Prefix != "" {
		prefixUpstream, _ = t.prefixes.Get(req.Prefix)
	}
	var best *registrar.Upstream
	lowest, compared := math.Inf(1), 0
	for i, c := range cands {
		if i >= comparedAll && t.pacing.chosen.IsWithin && c.upstream.ID != prefixUpstream {
			continue
		}
		choice := t.estimate(p, model, req, c.upstream, c.upstream.ID == prefixUpstream, svc.Engine == nil, now)
		cost := choice.First + choice.Pause + time.Duration(choice.Late*float64(lateCost))
		if !c.isLocal {
			cost += remoteCost
		}
		compared++
		if x := float64(cost); best == nil || x < lowest {
			best, lowest = c.upstream, x
			t.pacing.chosen = choice
		}
	}
	t.pacing.chosen.Compared = compared
	return best
}

// ProbeTargets returns the upstreams whose present load should be requested before the request
// is granted one: those of a few random ones with room that might be slowed down, as far as this
// instance knows, and would then make this or another stream late. Requests to other services
// than engines are short and are sent without.
func (t *Table) ProbeTargets(req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) []*registrar.Upstream {
	p, svc := t.paceOf(req.Service, now), cfg.Services[req.Service]
	if p == nil || svc.Engine == nil || t.isBrittle(req.Service, now) {
		return nil
	}
	p.setMaxPause(req.MaxPause)
	cands := t.paceCandidates(req, req.candidates(s), svc, now)
	if len(cands) < 2 {
		return nil
	}
	t.drawFirst(cands, now)
	model := p.modelOf(req.Model, cfg, svc.Engine)
	var out []*registrar.Upstream
	for _, c := range cands[:min(len(cands), comparedAll)] {
		if !t.isFresh(c.upstream, now) && p.shape.MayBeLate(t.knownOf(c.upstream), model, t.attempt(p, req, c.upstream, now), now) && t.pacing.probes.AllowN(now, 1) {
			out = append(out, c.upstream)
		}
	}
	return out
}

// isFresh reports whether the upstream has stated its load so lately that a probe would tell
// nothing new.
func (t *Table) isFresh(u *registrar.Upstream, now time.Time) bool {
	age, ok := t.knownOf(u).SlowdownAge(now)
	return ok && age <= freshAge
}

// estimate returns what the request is expected to see on the upstream.
func (t *Table) estimate(p *servicePace, m pacer.Model, req Request, u *registrar.Upstream, hasPrefix, isPlain bool, now time.Time) Choice {
	known, a := t.knownOf(u), t.attempt(p, req, u, now)
	a.IsPlain = isPlain
	if hasPrefix {
		a.Tokens -= int(cachedTokens * float64(a.Tokens))
	}
	c := Choice{Estimate: p.shape.Estimate(known, m, a, now), SlowdownAge: -1, Running: a.Running, TokensInFront: a.TokensInFront}
	if age, ok := known.SlowdownAge(now); ok {
		c.SlowdownAge = age
	}
	return c
}

// attempt describes the request on the upstream.
func (t *Table) attempt(p *servicePace, req Request, u *registrar.Upstream, now time.Time) pacer.Attempt {
	return pacer.Attempt{
		Tokens: req.Tokens, TokensInFront: t.prefill[u.ID], Running: float64(t.running[u.ID]) + t.knownOf(u).Others(u.NumPeerAttempts, now),
		Slots: u.Slots, MaxPause: p.maxPause, TimeLeft: req.Objective.Sub(now),
	}
}

// paceCandidates returns the upstreams of the best tier that have room for the request. The
// result is valid until the next call.
func (t *Table) paceCandidates(req Request, list []*registrar.Upstream, svc matcher.Service, now time.Time) []paceCandidate {
	cands := t.pacing.scratch[:0]
	lowest := math.Inf(1)
	k := req.key()
	for _, u := range list {
		if u.IsPaused(now) || !t.canStart(u, now) || req.Model != "" && !u.Holds(req.Model, req.Adapter) {
			continue
		}
		slots := u.Slots
		if svc.Engine == nil {
			slots += plainQueueLength
		}
		// A response that has just shown a free slot holds over the view, which is up to 400 ms old.
		if n := t.running[u.ID]; n+u.NumPeerAttempts >= slots && float64(n)+t.knownOf(u).Others(u.NumPeerAttempts, now) > float64(slots-1) {
			continue
		}
		h := t.healthOf(u)
		if !h.breaker.Allows(now) || len(t.shedUntil) > 0 && now.Before(t.shedUntil[shedKey{u.ID, k}]) {
			continue
		}
		c := paceCandidate{
			upstream: u, isLocal: u.DataCentre == t.DataCentre,
			failureProbability: max(h.failureEstimate.FailureProbability(now), u.PeerFailureEstimate.FailureProbability(now)),
		}
		if req.Tried[u.ID] {
			c.tier = tierTried
		} else {
			lowest = min(lowest, c.failureProbability)
		}
		cands = append(cands, c)
	}
	t.pacing.scratch = cands
	best := tierTried
	for i := range cands {
		if cands[i].tier != tierTried && cands[i].failureProbability > lowest+router.FailureMargin {
			cands[i].tier = tierUnreliable
		}
		best = min(best, cands[i].tier)
	}
	n := 0
	for _, c := range cands {
		if c.tier == best {
			cands[n] = c
			n++
		}
	}
	return cands[:n]
}

// drawFirst puts random candidates first: comparedLocal of this data centre if there are so
// many, then others up to comparedAll.
func (t *Table) drawFirst(cands []paceCandidate, now time.Time) {
	local := 0
	for i := range cands {
		if cands[i].isLocal {
			cands[local], cands[i] = cands[i], cands[local]
			local++
		}
	}
	shuffle := func(list []paceCandidate) {
		for i := range list {
			// The least of exponential times is drawn with a chance in proportion to their rates.
			list[i].order = t.Rand.ExpFloat64()
			scale := t.knownOf(list[i].upstream).Scale()
			list[i].order *= scale * scale
		}
		for i := range min(len(list)-1, comparedAll) {
			least := i
			for j := i + 1; j < len(list); j++ {
				if list[j].order < list[least].order {
					least = j
				}
			}
			list[i], list[least] = list[least], list[i]
		}
		n := 0
		for i, c := range list {
			if t.isFresh(c.upstream, now) {
				list[n], list[i] = list[i], list[n]
				n++
			}
		}
	}
	shuffle(cands[:local])
	shuffle(cands[local:])
	// The remote ones follow the local ones that are compared.
	for i := comparedLocal; i < comparedAll && i < local && local+i-comparedLocal < len(cands); i++ {
		j := local + i - comparedLocal
		cands[i], cands[j] = cands[j], cands[i]
	}
}
