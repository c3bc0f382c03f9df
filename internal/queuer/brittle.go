package queuer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// brittlePause is how long nothing is sent to a brittle upstream after it has refused a request.
const brittlePause = 1100 * time.Millisecond

// A brittle upstream falls over if it has to turn away many requests in a second. The load that
// this answers: hundreds of instances with one request each for what it has loaded. Counts of
// what the others have in flight come too late, so only one instance, the home, sends the
// requests for a model, and at most its part of the slots: an upstream's slots are divided among
// its models. Requests without a model have the home of the upstream that their id selects.

// Home returns the instance that has to send a request to a brittle service, empty if this
// instance may.
func (t *Table) Home(req Request, s *registrar.Snapshot, now time.Time) string {
	if req.IsHandedOn || len(t.instances) == 0 || !t.isBrittle(req.Service, now) {
		return ""
	}
	key := req.Service + "/" + req.Model
	if req.Model == "" {
		list := req.candidates(s)
		if len(list) == 0 {
			return ""
		}
		key = list[xxhash.Sum64String(req.ID)%uint64(len(list))].ID
	}
	if home := t.homeOf(key); home != t.self {
		return home
	}
	return ""
}

func (t *Table) isBrittle(service string, now time.Time) bool {
	return t.IsBrittle != nil && t.IsBrittle(service, now)
}

// homeOf returns the instance that ranks first for a key.
func (t *Table) homeOf(key string) string {
	return slices.MaxFunc(t.instances, func(a, b string) int {
		x, y := xxhash.Sum64String(key+"\x00"+a), xxhash.Sum64String(key+"\x00"+b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}

// hasBrittleRoom reports whether a brittle upstream has room for the request.
func (t *Table) hasBrittleRoom(req Request, u *registrar.Upstream, now time.Time) bool {
	if now.Before(t.brittlePauses[u.ID]) {
		return false
	}
	if req.Model == "" {
		isHome := req.IsHandedOn || len(t.instances) == 0 || t.homeOf(u.ID) == t.self
		return isHome && t.running[u.ID] < u.Slots
	}
	if !req.IsHandedOn && len(t.instances) > 0 && t.homeOf(req.Service+"/"+req.Model) != t.self {
		return false
	}
	n := 0
	for k, d := range t.demands {
		if k.service == req.Service && k.model == req.Model {
			n += d.running[u.ID]
		}
	}
	return n < max(1, u.Slots/max(1, len(u.Models)))
}
