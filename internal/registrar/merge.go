package registrar

import (
	"slices"
)

func (t *Table) rebuildLocked() {
	next := &Snapshot{
		ByID: make(map[string]*Upstream, len(t.registrations)), ByService: make(map[string][]*Upstream),
		Changed: make(chan struct{}),
	}
	for id, e := range t.registrations {
		if startedAt, ok := t.gone[id]; ok && startedAt == e.StartedAtMs {
			continue
		}
		if v, ok := t.views[id]; ok && v.StartedAtMs > e.StartedAtMs {
			continue // restarted under its id; its registration has not been read yet
		}
		u := t.mergeLocked(e)
		next.ByID[id] = u
		if !u.IsLeaving {
			next.ByService[u.Service] = append(next.ByService[u.Service], u)
		}
	}
	for _, list := range next.ByService {
		slices.SortFunc(list, func(a, b *Upstream) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	if t.current != nil {
		close(t.current.Changed)
	}
	t.current = next
}

// mergeLocked returns the registration with the view and the absences applied to
// it.
func (t *Table) mergeLocked(e *Upstream) *Upstream {
	u := *e
	if v, ok := t.views[e.ID]; ok && v.StartedAtMs == e.StartedAtMs {
		u.NumPeerAttempts, u.PeerFailureEstimate, u.NumOrders, u.Models = v.Running, v.FailureEstimate, v.NumOrders, v.Models
	}
	if startedAtMs, ok := t.leaving[e.ID]; ok && startedAtMs == e.StartedAtMs {
		u.IsLeaving = true
	}
	if p, ok := t.pauses[e.ID]; ok && p.startedAtMs == e.StartedAtMs {
		u.PausedUntil = p.until
	}
	if l, ok := t.limits[e.ID]; ok && l.startedAtMs == e.StartedAtMs && l.isLimited {
		u.IsLimited, u.RequestRate = true, l.rate
	}
	valid := t.absences[e.ID][:0]
	for _, a := range t.absences[e.ID] {
		if a.startedAt == u.StartedAtMs && a.numOrders >= u.NumOrders && t.latest.Before(a.until) {
			valid = append(valid, a)
			u.Models = WithoutModel(u.Models, a.model, a.adapter)
		}
	}
	t.absences[e.ID] = valid
	if t.hidesLocked(&u) {
		u.Models = nil
	}
	return &u
}
