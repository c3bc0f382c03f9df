package registrar

import "time"

// overTTL is how long other instances are told that a limit is over.
const overTTL = 30 * time.Second

// limit says whether an incarnation limits the requests that it takes from all instances
// together.
type limit struct {
	startedAtMs int64
	isLimited   bool
	rate        float64   // requests per second
	at          time.Time // of the newest response that says so
}

// LimitStatement is a limit as instances exchange it.
type LimitStatement struct {
	Incarnation
	IsLimited bool
	Rate      float64       // requests per second
	Age       time.Duration // since the response that said so
}

// recordLimit records whether a response of an incarnation states a limit. Responses may
// overtake each other: one to a request that was sent before the newest statement may be
// older than it, so it can only lower the limit.
func (t *Table) recordLimit(i Incarnation, n Notice, now time.Time) {
	t.mu.Lock()
	known, isKnown := t.limits[i.ID]
	isKnown = isKnown && known.startedAtMs == i.StartedAtMs
	if !n.IsLimited && (!isKnown || !known.isLimited || !n.IsAuthentic) {
		t.mu.Unlock()
		return
	}
	mayBeOlder := isKnown && known.isLimited && n.SentAt.Before(known.at)
	if mayBeOlder && (!n.IsLimited || n.RequestRate >= known.rate) {
		t.mu.Unlock()
		return
	}
	hasChanged := t.setLimitLocked(i, limit{i.StartedAtMs, n.IsLimited, n.RequestRate, now})
	t.mu.Unlock()
	if hasChanged && t.OnLimit != nil {
		t.OnLimit(i, n.IsLimited, n.RequestRate)
	}
}

// MergeLimits merges what other instances know. The newest statement holds.
func (t *Table) MergeLimits(list []LimitStatement, now time.Time) {
	for _, s := range list {
		t.mu.Lock()
		known, isKnown := t.limits[s.ID]
		at := now.Add(-s.Age)
		hasChanged := false
		if !isKnown || known.startedAtMs != s.StartedAtMs || at.After(known.at) {
			hasChanged = t.setLimitLocked(s.Incarnation, limit{s.StartedAtMs, s.IsLimited, s.Rate, at})
		}
		t.mu.Unlock()
		if hasChanged && t.OnLimit != nil {
			t.OnLimit(s.Incarnation, s.IsLimited, s.Rate)
		}
	}
}

// setLimitLocked sets the limit of an incarnation that is registered. It reports whether
// it differs from the one before.
func (t *Table) setLimitLocked(i Incarnation, l limit) bool {
	t.initLocked()
	e := t.registrations[i.ID]
	if e == nil || e.StartedAtMs != i.StartedAtMs {
		return false
	}
	before := t.limits[i.ID]
	t.limits[i.ID] = l
	wasLimited := before.startedAtMs == l.startedAtMs && before.isLimited
	if wasLimited == l.isLimited && (!wasLimited || before.rate == l.rate) {
		return false
	}
	t.rebuildLocked()
	return true
}

// Limits returns the limits to send to other instances, and those that ended within overTTL.
func (t *Table) Limits(now time.Time) []LimitStatement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []LimitStatement
	for id, l := range t.limits {
		if !l.isLimited && now.Sub(l.at) > overTTL {
			delete(t.limits, id)
			continue
		}
		out = append(out, LimitStatement{Incarnation{id, l.startedAtMs}, l.isLimited, l.rate, now.Sub(l.at)})
	}
	return out
}
