package applier

import (
	"slices"
	"time"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Limits of the suspects in the state.
const (
	// maxSuspects limits the number of suspects. The oldest is dropped first.
	maxSuspects = 4096
	// maxLosses limits the lost incarnations that are kept of a suspect.
	maxLosses = PoisonThreshold + 1
	// SuspicionTTL is how long a request stays suspect after its latest
	// suspicion.
	SuspicionTTL = time.Hour
)

// Poison holds the suspected poison requests: those that were running on
// upstreams when these ended. A request is identified by the fingerprint of its
// content, since the caller retries it with a new key.
type Poison struct {
	suspects map[uint64]suspect
	order    []uint64 // fingerprints, the oldest first
	recent   recentIDs
}

type suspect struct {
	incarnations []string // upstream incarnations that ended while running the request
	latestUnixMs int64    // time of the latest suspicion
}

func (p *Poison) apply(v *recordv1.Suspicion) string {
	counted := false
	for _, f := range v.GetFingerprints() {
		if v.GetCleared() {
			counted = p.clear(f) || counted
			continue
		}
		counted = p.add(f, v) || counted
	}
	p.dropOldest()
	if !counted {
		return "already known"
	}
	return ""
}

func (p *Poison) add(f uint64, v *recordv1.Suspicion) bool {
	s, ok := p.suspects[f]
	if slices.Contains(s.incarnations, v.GetUpstreamIncarnation()) {
		return false
	}
	if !ok {
		p.order = append(p.order, f)
	}
	incarnations := append(slices.Clone(s.incarnations), v.GetUpstreamIncarnation())
	// The newest losses are kept, so that each further loss renews the suspicion.
	incarnations = incarnations[max(0, len(incarnations)-maxLosses):]
	put(&p.suspects, f, suspect{incarnations, max(s.latestUnixMs, v.GetUnixMs())})
	return true
}

// clear removes a suspect that has fewer losses than PoisonThreshold.
func (p *Poison) clear(f uint64) bool {
	s, ok := p.suspects[f]
	if !ok || len(s.incarnations) >= PoisonThreshold {
		return false
	}
	delete(p.suspects, f)
	p.order = slices.DeleteFunc(p.order, func(o uint64) bool { return o == f })
	return true
}

func (p *Poison) dropOldest() {
	for len(p.order) > maxSuspects {
		delete(p.suspects, p.order[0])
		p.order = p.order[1:]
	}
}

// PoisonThreshold is the number of lost upstream incarnations from which on a
// request is refused as a poison request.
const PoisonThreshold = 2

// LostIncarnations returns the upstream incarnations that ended while they ran the
// request. It returns none if the latest suspicion is older than SuspicionTTL.
func (p *Poison) LostIncarnations(fingerprint uint64, now time.Time) []string {
	s := p.suspects[fingerprint]
	if now.Sub(time.UnixMilli(s.latestUnixMs)) > SuspicionTTL {
		return nil
	}
	return s.incarnations
}
