package queuer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/breaker"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/internal/truster"
)

// shedKey is a model or adapter at an upstream.
type shedKey struct {
	upstream string
	key
}

// health is what outcomes say of one incarnation of an upstream.
type health struct {
	born    int64
	breaker breaker.Breaker
	trust   truster.Trust
	latency time.Duration
	// attempts and failures since they were last reported.
	attempts, failures int
}

// Grant returns the upstream for an ask and counts the request as running
// there, or nil if it must wait.
func (t *Table) Grant(a Ask, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) *registrar.Upstream {
	u := t.choose(a, s, cfg, now)
	if u == nil {
		return nil
	}
	t.use(a.key()).running[u.ID]++
	t.running[u.ID]++
	t.reading[u.ID] += a.Tokens
	h := t.healthOf(u)
	h.breaker = h.breaker.WithAttempt(now)
	t.health[u.ID] = h
	if a.Prefix != "" {
		t.prefixes.Add(a.Prefix, u.ID)
	}
	return u
}

// choose returns the upstream with the lowest estimate among those with room.
func (t *Table) choose(a Ask, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) *registrar.Upstream {
	t.init()
	svc := cfg.Services[a.Service]
	list := s.Services[a.Service]
	cands := make([]router.Candidate, 0, len(list))
	from := make([]*registrar.Upstream, 0, len(list))
	reader, _ := t.prefixes.Get(a.Prefix)
	for _, u := range list {
		if a.Model != "" && !u.Holds(a.Model, a.Adapter) {
			continue
		}
		reading := t.reading[u.ID]
		if reading > 0 && reading+a.Tokens > maxReading {
			continue
		}
		h := t.healthOf(u)
		if !h.breaker.Allows(now) || now.Before(t.shed[shedKey{u.ID, a.key()}]) {
			continue
		}
		slots := u.Slots
		if svc.Engine == nil {
			slots += plainQueue
		}
		c := router.Candidate{
			Upstream: u.ID, Load: t.running[u.ID] + u.PeersRunning, Slots: slots, Latency: h.latency,
			Distance: crossDistance, HasPrefix: a.Prefix != "" && reader == u.ID,
			FailureProbability: max(h.trust.Risk(now), u.PeersRisk.Risk(now)),
		}
		if u.DataCentre == t.DataCentre {
			c.Distance = sameDistance
		}
		c.Distance += time.Duration(reading) * time.Millisecond / readingRate
		cands = append(cands, c)
		from = append(from, u)
	}
	trusted := router.ExcludeUnreliable(cands, a.Tried)
	for _, list := range [][]router.Candidate{local(trusted), trusted} {
		if i := router.Choose(list, a.Tried, t.Rand); i >= 0 && !a.Tried[cands[i].Upstream] {
			return from[i]
		}
	}
	if i := router.Choose(cands, a.Tried, t.Rand); i >= 0 {
		return from[i]
	}
	return nil
}

// local returns the candidates with those that are elsewhere or rather full
// left without a slot.
func local(cands []router.Candidate) []router.Candidate {
	out := slices.Clone(cands)
	for i, c := range out {
		if c.Distance >= crossDistance || float64(c.Load) >= localShare*float64(c.Slots) {
			out[i].Slots = 0
		}
	}
	return out
}

// Shed notes that an upstream refused a request as not run, because it is full
// or an order for the model is under way.
func (t *Table) Shed(a Ask, upstream string, now time.Time) {
	t.shed[shedKey{upstream, a.key()}] = now.Add(shedPause)
	if len(t.shed) > maxShed {
		for k, until := range t.shed {
			if now.After(until) {
				delete(t.shed, k)
			}
		}
	}
}

// Outcome is how an attempt went, as far as it says something of the upstream.
type Outcome struct {
	Failed bool
	// IsSilent says that the client left after a long wait without an answer,
	// which may be the upstream's fault or not.
	IsSilent bool
	// First is the time to the answer or to the first event.
	First time.Duration
	Began time.Time
}

// Note takes over the outcome of an attempt. It reports whether the upstream
// is kept from attempts from now on.
func (t *Table) Note(u *registrar.Upstream, o Outcome, now time.Time) (opened bool) {
	h := t.healthOf(u)
	was := h.breaker.IsOpen()
	h.attempts++
	if o.Failed || o.IsSilent {
		h.trust = h.trust.WithFailure(now)
		h.failures++
	} else {
		h.trust = h.trust.WithSuccess(now)
	}
	switch {
	case o.IsSilent:
	case o.Failed:
		h.breaker = h.breaker.WithFailure(o.Began, now)
	default:
		h.breaker = h.breaker.WithSuccess()
		if o.First > 0 {
			if h.latency == 0 {
				h.latency = o.First
			}
			h.latency += time.Duration(latencyWeight * float64(o.First-h.latency))
		}
	}
	t.health[u.ID] = h
	return h.breaker.IsOpen() && !was
}

func (t *Table) healthOf(u *registrar.Upstream) health {
	h := t.health[u.ID]
	if h.born != u.Born {
		h = health{born: u.Born}
	}
	return h
}

// Reported is how attempts at one upstream went since the last call of Outcomes.
type Reported struct {
	Upstream           string
	Born               int64
	Attempts, Failures int
}

// Outcomes returns the upstreams that have failed attempts since the last call,
// and starts counting them anew.
func (t *Table) Outcomes() []Reported {
	var out []Reported
	for id, h := range t.health {
		if h.failures == 0 {
			continue
		}
		out = append(out, Reported{id, h.born, h.attempts, h.failures})
		h.attempts, h.failures = 0, 0
		t.health[id] = h
	}
	return out
}
