package queuer

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// grantFair grants waiting requests by the shares of the accounts.
func (t *Table) grantFair(s *registrar.Snapshot, cfg *matcher.Config, now time.Time) {
	o := t.fair
	o.round++
	open := t.openUpstreams(s, cfg, now)
	if len(open) == 0 {
		return
	}
	priorities := slices.Sorted(maps.Keys(o.byPriority))
	granted := 0
	for _, priority := range priorities[1:] {
		for _, x := range open {
			if !t.hasSlot(x.Upstream, x.slots) {
				continue
			}
			if w := o.pickLower(x, priority, now); w != nil && t.tryGrant(w, x, s, cfg, now) {
				o.levelShares(x.ID, priority).credit -= w.cost
				granted++
			}
		}
	}
	for _, priority := range priorities {
		for _, x := range open {
			for t.hasSlot(x.Upstream, x.slots) {
				w := o.pick(x, priority, now)
				if w == nil {
					break
				}
				if t.tryGrant(w, x, s, cfg, now) {
					granted++
				}
			}
		}
	}
	if granted > 0 {
		t.waiting = slices.DeleteFunc(t.waiting, func(w *Waiter) bool { return w.flow == nil })
	}
}

// tryGrant grants a waiting request, if the choice of an upstream allows it.
func (t *Table) tryGrant(w *Waiter, x openUpstream, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) bool {
	o := t.fair
	o.granting = w
	u := t.Grant(w.Request, s, cfg, now)
	leavesRoom := o.leavesRoom(w.Request, now)
	o.granting = nil
	if u == nil {
		w.triedIn = o.round
		if len(w.Request.Tried) == 0 {
			state := w.flow.state.of(leavesRoom)
			if state.round != o.round || w.Request.Tokens < state.shortest {
				state.round, state.shortest = o.round, w.Request.Tokens
			}
			if now.Sub(w.arrived) >= reserveAfter && t.prefill[x.ID] > 0 {
				o.reserve(x.ID, w, now)
			}
		}
		return false
	}
	lead := 0.0
	if w.isAhead || u.ID != x.ID {
		lead = o.warp()
	}
	o.charge(w.Request, w.cost, w.isLate, u.ID, lead, now)
	o.remove(w)
	w.choice = t.pacing.chosen
	w.granted <- u
	return true
}

func (o *fairOrder) reserve(upstream string, w *Waiter, now time.Time) {
	if r, ok := o.reservations[upstream]; ok && r.isInForce(now) {
		return
	}
	if o.reservations == nil {
		o.reservations = make(map[string]reservation)
	}
	o.reservations[upstream] = reservation{w, now.Add(reserveTimeout)}
}

// slotsFor returns how many slots of an upstream the request may use.
func (t *Table) slotsFor(req Request, u *registrar.Upstream, now time.Time) int {
	o := t.fair
	if o == nil {
		return u.Slots
	}
	if r, ok := o.reservations[u.ID]; ok && r.waiter != o.granting && r.isInForce(now) {
		return 0
	}
	if a, ok := o.urgent[req.Service]; ok && a.priority <= req.Priority && now.Sub(a.at) < urgentRetention && o.leavesRoom(req, now) {
		return u.Slots - u.Slots/slotsPerHeadroom
	}
	return u.Slots
}

// leavesRoom reports whether the request leaves some slots to urgent ones: because it is patient, or
// because a higher priority waits, which would otherwise be passed over where it leaves room. It
// leaves none to accounts that have used up their lead.
func (o *fairOrder) leavesRoom(req Request, now time.Time) bool {
	if o.granting != nil && o.granting.isOwed {
		return false
	}
	if o.waiting > 0 && o.lowest < req.Priority {
		return true
	}
	if now.After(req.Objective) {
		return req.StartBy.Sub(now) > lastChance
	}
	return req.Objective.Sub(now) > patience
}
