package folder

import (
	"slices"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// maxSuspects bounds the fingerprints that the state remembers.
const maxSuspects = 4096

// CondemnedAfter is the number of upstreams after whose loss a request is refused.
const CondemnedAfter = 2

// Poison remembers which requests ran on upstreams that ended.
type Poison struct {
	suspects map[uint64][]string // upstream incarnations lost, by fingerprint
	order    []uint64
}

func (p *Poison) suspect(v *recordv1.Suspicion) string {
	counted := false
	for _, f := range v.GetFingerprints() {
		lost, ok := p.suspects[f]
		if slices.Contains(lost, v.GetUpstreamIncarnation()) {
			continue
		}
		if !ok {
			p.order = append(p.order, f)
		}
		put(&p.suspects, f, append(slices.Clone(lost), v.GetUpstreamIncarnation()))
		counted = true
	}
	for len(p.order) > maxSuspects {
		delete(p.suspects, p.order[0])
		p.order = p.order[1:]
	}
	if !counted {
		return "already known"
	}
	return ""
}

// Losses returns how many upstreams ended while they ran the request.
func (p *Poison) Losses(fingerprint uint64) int {
	return len(p.suspects[fingerprint])
}
