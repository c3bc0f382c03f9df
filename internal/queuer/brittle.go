package queuer

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// brittlePause is how long nothing is sent to a brittle upstream after it has refused a request.
	brittlePause = 1100 * time.Millisecond
	// upstreamsPerHome bounds the upstreams of a service without models that share a home. The home balances
	// the load among them, and one that has ended leaves the others.
	upstreamsPerHome = 8
	// windowIdleTime is the time without a request, or without a sign of this process itself, after which another
	// instance may have become the home, so that a window starts anew.
	windowIdleTime = time.Second
	// othersTTL is how long the load that an upstream has stated is used.
	othersTTL = 300 * time.Millisecond
)

// A brittle upstream falls over if it has to turn away many requests in a second. The load that
// this answers: hundreds of instances with one request each for what it has loaded. Counts of
// what the others have in flight come too late, so only one instance, the home, sends the
// requests for a model, and at most its part of the slots: an upstream's slots are divided among
// its models. The upstreams of a service without models are divided into groups with a home each; the id of a
// request selects its group.
//
// Instances may disagree about the home for some seconds, when one of them has ended or is not reached by all. Two
// homes with all the slots each would be twice what the upstream takes. So a home has a window for each upstream: it
// starts with one request, grows with each that the upstream accepts, and is halved by a refusal, as a
// sender does in a network whose capacity it shares.

// windowKey identifies what a home sends to one upstream.
type windowKey struct{ upstream, model string }

// window bounds the requests that a home has at one upstream.
type window struct {
	limit  int
	usedAt time.Time
}

// upstreamLoad is what other instances have at an upstream, as it has stated.
type upstreamLoad struct {
	others int
	at     time.Time
}

// brittleState is what a table knows of brittle upstreams, by their id. Its zero value is ready to use.
type brittleState struct {
	// pauses holds until when nothing is sent.
	pauses  map[string]time.Time
	windows map[windowKey]window
	loads   map[string]upstreamLoad
	// seenAt is when the table was last asked to expire what it holds.
	seenAt time.Time
}

// Homes returns the instances that should send a request to a brittle service rather than this one, the first
// choice first. It is empty if this instance is the first choice, or has to send the request.
func (t *Table) Homes(req Request, s *registrar.Snapshot, now time.Time) []string {
	if t.isHome(req, s, now) {
		return nil
	}
	key := homeKey(req, s)
	own := rankOf(key, t.self)
	out := slices.DeleteFunc(slices.Clone(t.instances), func(i string) bool { return rankOf(key, i) <= own })
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rankOf(key, b), rankOf(key, a)) })
	return out
}

// Home returns the first choice of Homes, empty if it is this instance.
func (t *Table) Home(req Request, s *registrar.Snapshot, now time.Time) string {
	if homes := t.Homes(req, s, now); len(homes) > 0 {
		return homes[0]
	}
	return ""
}

// isHome reports whether this instance sends a request itself.
func (t *Table) isHome(req Request, s *registrar.Snapshot, now time.Time) bool {
	if req.IsHandedOn || len(t.instances) == 0 || !t.isBrittle(req.Service, now) || req.Model == "" && len(req.candidates(s)) == 0 {
		return true
	}
	key := homeKey(req, s)
	own := rankOf(key, t.self)
	return !slices.ContainsFunc(t.instances, func(i string) bool { return rankOf(key, i) > own })
}

// homeKey returns what selects the home of a request.
func homeKey(req Request, s *registrar.Snapshot) string {
	if req.Model == "" {
		return req.Service + "/" + strconv.Itoa(groupOf(req, s))
	}
	return req.Service + "/" + req.Model
}

// rankOf returns the rank of an instance for a key. The highest is the first choice.
func rankOf(key, instance string) uint64 { return xxhash.Sum64String(key + "\x00" + instance) }

func (t *Table) isBrittle(service string, now time.Time) bool {
	return t.IsBrittle != nil && t.IsBrittle(service, now)
}

// groupOf returns the number of the group of upstreams that runs a request for no model: one with a candidate.
func groupOf(req Request, s *registrar.Snapshot) int {
	numGroups := numGroupsOf(s.ByService[req.Service])
	if numGroups == 1 {
		return 0
	}
	groups := groupsOf(s.ByService[req.Service], numGroups)
	var eligible []int
	for _, u := range req.candidates(s) {
		if g := groups[u.ID]; !slices.Contains(eligible, g) {
			eligible = append(eligible, g)
		}
	}
	slices.Sort(eligible)
	return eligible[xxhash.Sum64String(req.ID)%uint64(len(eligible))]
}

func numGroupsOf(list []*registrar.Upstream) int {
	return max(1, (len(list)+upstreamsPerHome-1)/upstreamsPerHome)
}

// groupsOf divides upstreams into groups of nearly the same size, by the hashes of their ids.
func groupsOf(list []*registrar.Upstream, numGroups int) map[string]int {
	sorted := slices.SortedFunc(slices.Values(list), func(a, b *registrar.Upstream) int {
		return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
	})
	out := make(map[string]int, len(list))
	for n, u := range sorted {
		out[u.ID] = n * numGroups / len(sorted)
	}
	return out
}

// withBrittleRoom returns the upstreams of a brittle service that have room for a request of this instance, none if
// another instance has to send it.
func (t *Table) withBrittleRoom(req Request, s *registrar.Snapshot, list []*registrar.Upstream, now time.Time) []*registrar.Upstream {
	if len(list) == 0 || !t.isHome(req, s, now) {
		return nil
	}
	var groups map[string]int
	group := 0
	if req.Model == "" {
		if n := numGroupsOf(s.ByService[req.Service]); n > 1 {
			groups, group = groupsOf(s.ByService[req.Service], n), groupOf(req, s)
		}
	}
	var out []*registrar.Upstream
	for _, u := range list {
		if groups[u.ID] == group && t.hasBrittleRoom(req, u, now) {
			out = append(out, u)
		}
	}
	return out
}

// hasBrittleRoom reports whether a brittle upstream has room for a request of its home.
func (t *Table) hasBrittleRoom(req Request, u *registrar.Upstream, now time.Time) bool {
	if now.Before(t.brittle.pauses[u.ID]) {
		return false
	}
	l := t.brittle.loads[u.ID]
	if now.Sub(l.at) < othersTTL && l.others > 0 && t.running[u.ID] > 0 && t.running[u.ID]+l.others >= u.Slots {
		return false // with nothing of its own there, the home would learn of no change
	}
	return t.brittleRunning(req, u) < t.windowOf(req, u, now).limit
}

// brittleRunning returns how many requests of this instance run at an upstream that compete with a request.
func (t *Table) brittleRunning(req Request, u *registrar.Upstream) int {
	if req.Model == "" {
		return t.running[u.ID]
	}
	n := 0
	for k, d := range t.demands {
		if k.service == req.Service && k.model == req.Model {
			n += d.running[u.ID]
		}
	}
	return n
}

// windowOf returns the window of an upstream for the requests of a model.
func (t *Table) windowOf(req Request, u *registrar.Upstream, now time.Time) window {
	w, ok := t.brittle.windows[windowKey{u.ID, req.Model}]
	if !ok || now.Sub(w.usedAt) >= windowIdleTime && t.brittleRunning(req, u) == 0 {
		return window{limit: 1, usedAt: now}
	}
	limit := u.Slots
	if req.Model != "" {
		limit = u.Slots / max(1, len(u.Models))
	}
	w.limit = min(w.limit, max(1, limit))
	return w
}

// setWindow records a use of a window.
func (t *Table) setWindow(req Request, u *registrar.Upstream, limit int, now time.Time) {
	if t.brittle.windows == nil {
		t.brittle.windows = make(map[windowKey]window)
	}
	t.brittle.windows[windowKey{u.ID, req.Model}] = window{limit, now}
}

// RecordAccepted records that an upstream has accepted a request. It reports whether this instance may send it more.
func (t *Table) RecordAccepted(req Request, u *registrar.Upstream, now time.Time) (hasGrown bool) {
	if !t.isBrittle(req.Service, now) {
		return false
	}
	t.setWindow(req, u, t.windowOf(req, u, now).limit+1, now)
	return true
}

// shedBrittle records that a brittle upstream has refused a request.
func (t *Table) shedBrittle(req Request, u *registrar.Upstream, now time.Time) {
	if t.brittle.pauses == nil {
		t.brittle.pauses = make(map[string]time.Time)
	}
	t.brittle.pauses[u.ID] = now.Add(brittlePause)
	t.setWindow(req, u, max(1, t.windowOf(req, u, now).limit/2), now)
}

// recordOthers records what others have at an upstream that states its load.
func (t *Table) recordOthers(u *registrar.Upstream, l registrar.Load, now time.Time) {
	if !t.isBrittle(u.Service, now) {
		return
	}
	if t.brittle.loads == nil {
		t.brittle.loads = make(map[string]upstreamLoad)
	}
	t.brittle.loads[u.ID] = upstreamLoad{max(0, l.Running+l.Waiting-t.running[u.ID]), now}
}

// expire drops what is over. Windows start anew if this process has stood still: another instance may have become the
// home meanwhile.
func (b *brittleState) expire(s *registrar.Snapshot, now time.Time) {
	if !b.seenAt.IsZero() && now.Sub(b.seenAt) >= windowIdleTime {
		b.windows = nil
	}
	b.seenAt = now
	for id := range b.pauses {
		if !now.Before(b.pauses[id]) {
			delete(b.pauses, id)
		}
	}
	for k := range b.windows {
		if s.ByID[k.upstream] == nil {
			delete(b.windows, k)
		}
	}
	for id := range b.loads {
		if s.ByID[id] == nil {
			delete(b.loads, id)
		}
	}
}
