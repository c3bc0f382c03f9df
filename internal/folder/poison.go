package folder

import (
	"slices"
	"time"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Bounds of the memory of suspects.
const (
	// maxSuspects bounds the fingerprints that the state remembers.
	maxSuspects = 4096
	// SuspicionMemory is how long a suspicion lasts.
	SuspicionMemory = time.Hour
)

// Poison remembers which requests ran on upstreams that ended. A request is
// known by the fingerprint of its content, since its caller sends it again
// with a new key.
type Poison struct {
	suspects map[uint64]suspect
	order    []uint64
	recent   recentIDs
}

type suspect struct {
	lost   []string // upstream incarnations
	latest int64    // unix milliseconds
}

func (p *Poison) suspect(v *recordv1.Suspicion) string {
	counted := false
	for _, f := range v.GetFingerprints() {
		if v.GetCleared() {
			counted = p.clear(f) || counted
			continue
		}
		counted = p.add(f, v) || counted
	}
	p.forgetOldest()
	if !counted {
		return "already known"
	}
	return ""
}

func (p *Poison) add(f uint64, v *recordv1.Suspicion) bool {
	s, ok := p.suspects[f]
	if slices.Contains(s.lost, v.GetUpstreamIncarnation()) || len(s.lost) > CondemnedAfter {
		return false
	}
	if !ok {
		p.order = append(p.order, f)
	}
	put(&p.suspects, f, suspect{append(slices.Clone(s.lost), v.GetUpstreamIncarnation()), max(s.latest, v.GetUnixMs())})
	return true
}

// clear forgets a suspect that is not condemned.
func (p *Poison) clear(f uint64) bool {
	s, ok := p.suspects[f]
	if !ok || len(s.lost) >= CondemnedAfter {
		return false
	}
	delete(p.suspects, f)
	p.order = slices.DeleteFunc(p.order, func(o uint64) bool { return o == f })
	return true
}

func (p *Poison) forgetOldest() {
	for len(p.order) > maxSuspects {
		delete(p.suspects, p.order[0])
		p.order = p.order[1:]
	}
}

// CondemnedAfter is the number of upstreams after whose loss a request is refused.
const CondemnedAfter = 2

// LostOn returns the upstream incarnations that ended while they ran the
// request, as far as the memory reaches back from now.
func (p *Poison) LostOn(fingerprint uint64, now time.Time) []string {
	s := p.suspects[fingerprint]
	if now.Sub(time.UnixMilli(s.latest)) > SuspicionMemory {
		return nil
	}
	return s.lost
}
