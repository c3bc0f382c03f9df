package registrar

import "time"

// Notice is what an upstream states about itself in any of its responses.
type Notice struct {
	// IsLeaving reports whether the upstream is about to end.
	IsLeaving bool
	// RetryAfter is how long the upstream accepts nothing from this instance, zero if it
	// does not say.
	RetryAfter time.Duration
	// IsLimited reports whether the upstream limits the requests that it takes from all
	// instances together, to RequestRate a second.
	IsLimited   bool
	RequestRate float64
	// IsBrittle reports whether the upstream says that it falls over if it has to turn away
	// more than MaxRefusals requests in a second.
	IsBrittle   bool
	MaxRefusals int
	// HasLoad reports whether the upstream states its load.
	HasLoad bool
	Load    Load
	// IsAuthentic reports whether the response is the upstream's own for sure. If it
	// states no limit, an earlier one is over.
	IsAuthentic bool
	// SentAt is when the request was sent, zero if it is not known.
	SentAt time.Time
}

// Load is the load of an upstream at the moment of a response.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes there at this moment, as a multiple of what it usually
	// takes there, 0 if the upstream does not say.
	Slowdown float64
}

// maxPause bounds how long an upstream may keep this instance from sending to it.
const maxPause = 10 * time.Minute

// IsPaused reports whether this instance must send nothing to the upstream.
func (u *Upstream) IsPaused(now time.Time) bool { return now.Before(u.PausedUntil) }

// Incarnation identifies one run of an upstream.
type Incarnation struct {
	ID          string
	StartedAtMs int64
}

// Incarnation returns which run of the upstream this is.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.StartedAtMs} }

// pause is the time for which an incarnation accepts nothing from this instance.
type pause struct {
	startedAtMs int64
	until       time.Time
}

// ApplyNotice applies a notice of an incarnation.
func (t *Table) ApplyNotice(id string, startedAtMs int64, n Notice, now time.Time) {
	t.recordLimit(Incarnation{id, startedAtMs}, n, now)
	if n.IsBrittle {
		t.recordBrittle(id, now)
	}
	if n.IsLeaving {
		t.RecordLeaving(id, startedAtMs, now)
	}
	if n.RetryAfter > 0 {
		t.pause(id, startedAtMs, now.Add(min(n.RetryAfter, maxPause)), now)
	}
}

// RecordLeaving records that an incarnation has responded that it is leaving. It holds
// until the incarnation has ended, whatever its registration says.
func (t *Table) RecordLeaving(id string, startedAtMs int64, now time.Time) {
	t.mu.Lock()
	t.initLocked()
	e := t.registrations[id]
	known, isKnown := t.leaving[id]
	if e == nil || e.StartedAtMs != startedAtMs || isKnown && known == startedAtMs {
		t.mu.Unlock()
		return
	}
	t.leaving[id] = startedAtMs
	t.latest = now
	t.rebuildLocked()
	t.mu.Unlock()
	if t.OnLeaving != nil {
		t.OnLeaving(Incarnation{id, startedAtMs})
	}
}

// Leaving returns the incarnations that have responded that they are leaving.
func (t *Table) Leaving() []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Incarnation
	for id, startedAtMs := range t.leaving {
		out = append(out, Incarnation{id, startedAtMs})
	}
	return out
}

// pause records that an incarnation accepts nothing from this instance until a time.
func (t *Table) pause(id string, startedAtMs int64, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initLocked()
	e := t.registrations[id]
	p, isPaused := t.pauses[id]
	if e == nil || e.StartedAtMs != startedAtMs || isPaused && p.startedAtMs == startedAtMs && !until.After(p.until) {
		return
	}
	t.pauses[id] = pause{startedAtMs, until}
	t.latest = now
	t.rebuildLocked()
}
