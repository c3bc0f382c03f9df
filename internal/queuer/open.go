package queuer

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// A round of grants begins with the upstreams that have a free slot. In a backlog there is one
// or none, while thousands of requests may wait for hundreds of models, and each choice of
// an upstream looks at all of them. What is left out here must be what choose never returns.

// openUpstream is an upstream with a free slot, and the requests that wait for its models.
type openUpstream struct {
	*registrar.Upstream
	pools []*pool
	slots int
}

// openUpstreams returns the upstreams with a free slot for which requests wait.
func (t *Table) openUpstreams(s *registrar.Snapshot, cfg *matcher.Config, now time.Time) []openUpstream {
	var out []openUpstream
	for _, service := range slices.Sorted(maps.Keys(t.fair.byService)) {
		extra := extraSlots(cfg, service)
		for _, u := range s.ByService[service] {
			x := openUpstream{Upstream: u, slots: u.Slots + extra}
			if !t.hasSlot(u, x.slots) || u.IsPaused(now) {
				continue
			}
			if p := t.fair.pools[poolKey{service, ""}]; p != nil && p.waiting > 0 {
				x.pools = append(x.pools, p)
			}
			for _, m := range u.Models {
				if p := t.fair.pools[poolKey{service, m.Name}]; p != nil && p.waiting > 0 {
					x.pools = append(x.pools, p)
				}
			}
			if len(x.pools) > 0 {
				out = append(out, x)
			}
		}
	}
	return out
}

// openModels returns the models that an upstream with a free slot holds.
func (t *Table) openModels(s *registrar.Snapshot, cfg *matcher.Config, now time.Time) map[poolKey]bool {
	out := make(map[poolKey]bool)
	for service, list := range s.ByService {
		extra := extraSlots(cfg, service)
		for _, u := range list {
			if !t.hasSlot(u, u.Slots+extra) || u.IsPaused(now) {
				continue
			}
			for _, m := range u.Models {
				out[poolKey{service, m.Name}] = true
			}
		}
	}
	return out
}

// extraSlots returns how many requests may wait on an upstream beyond its slots.
func extraSlots(cfg *matcher.Config, service string) int {
	if cfg.Services[service].Engine == nil {
		return plainQueueLength
	}
	return 0
}

func (t *Table) hasSlot(u *registrar.Upstream, slots int) bool {
	return t.running[u.ID]+u.NumPeerAttempts < slots
}

func hasLimited(list []*registrar.Upstream) bool {
	return slices.ContainsFunc(list, func(u *registrar.Upstream) bool { return u.IsLimited })
}
