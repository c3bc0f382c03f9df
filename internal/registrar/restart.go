package registrar

import "time"

const (
	// restartTTL is how long evidence of a restart holds. An upstream that has restarted writes
	// its registration within 1.2 s, and reads lag by less than a second.
	restartTTL = 4 * time.Second
	// settleTime is how long after a model was first known as loaded a response that it is
	// not says nothing about a restart: the end of a load is estimated.
	settleTime = 2 * time.Second
	// brokenTTL is how long a connection that was refused or broke supports evidence.
	brokenTTL = 3 * time.Second
	// minLivingRegistrations is how many registrations later one shows that an incarnation lives
	// whose restart was confirmed: some of before may not have been read yet. They are written
	// every 1.2 s.
	minLivingRegistrations = 5
	// suspicionInterval is the least time between two suspicions about an upstream, and
	// suspicionTTL how long one is reported: a report may be lost.
	suspicionInterval = 300 * time.Millisecond
	suspicionTTL      = 500 * time.Millisecond
)

// Certainty is how certain a restart is.
type Certainty uint8

// Certainties.
const (
	// Suspected restarts hide nothing. The conductor requests the upstream's state.
	Suspected Certainty = iota
	// Evident restarts hide what the incarnation is believed to hold.
	Evident
	// Confirmed restarts end the incarnation.
	Confirmed
	// Refuted restarts have not happened.
	Refuted
)

func (c Certainty) String() string {
	return [...]string{"suspected", "evident", "confirmed", "refuted"}[c]
}

// Restart says that the process of an incarnation has restarted without its models, as far
// as it is known, and that the registration of the new process has not been read yet.
type Restart struct {
	Incarnation
	// NumOrders is the number of orders that the incarnation had accepted according to the
	// view when the evidence came. A view with another number is newer than the evidence.
	NumOrders int64
	Certainty Certainty
	Age       time.Duration // of the evidence
	// IsOwn reports whether the evidence came to this instance.
	IsOwn bool
}

// restart is what is known of a restart of an upstream.
type restart struct {
	startedAtMs, numOrders int64
	certainty              Certainty
	at                     time.Time
	isOwn                  bool // the evidence came to this instance, which reports it
	// sequence is that of the registration that was known then.
	sequence int64
}

// moment is a time in the life of an incarnation.
type moment struct {
	startedAtMs int64
	at          time.Time
}

// RecordMisdirected records that an upstream has refused a request as misdirected, sent to
// the state u: it does not hold the model or the adapter. If it has been known to hold the
// model for a while, and no order is known that changed that, its process has restarted. A
// missing adapter may have been swapped out by an order that the view does not show yet, so
// it is evidence only after a broken connection.
func (t *Table) RecordMisdirected(u *Upstream, model, adapter string, now time.Time) {
	t.mu.Lock()
	t.initLocked()
	t.latest = now
	if e := t.registrations[u.ID]; e == nil || e.StartedAtMs != u.StartedAtMs {
		t.mu.Unlock()
		return
	}
	t.absences[u.ID] = append(t.absences[u.ID], absence{u.StartedAtMs, u.NumOrders, model, adapter, now.Add(absenceTTL)})
	broken := t.broken[u.ID]
	isBroken := broken.startedAtMs == u.StartedAtMs && now.Sub(broken.at) < brokenTTL
	if t.isSettledLocked(u, model, now) && (adapter == "" || isBroken) {
		t.recordRestartLocked(u.ID, restart{u.StartedAtMs, u.NumOrders, Evident, now, true, 0}, "it does not hold what it held")
		return
	}
	t.rebuildLocked()
	t.suspectLocked(u, now, "it does not hold a model or adapter")
}

// RecordBroken records that a connection to an upstream was refused or broke. It is a hint
// of a restart and no evidence: connections to upstreams that live break, too.
func (t *Table) RecordBroken(u *Upstream, now time.Time) {
	t.mu.Lock()
	t.initLocked()
	t.latest = now
	if e := t.registrations[u.ID]; e == nil || e.StartedAtMs != u.StartedAtMs {
		t.mu.Unlock()
		return
	}
	t.broken[u.ID] = moment{u.StartedAtMs, now}
	t.suspectLocked(u, now, "a connection was refused or broke")
}

// RecordServed records that an upstream has begun to respond to a request for a model that
// was sent at a time. It refutes evidence from before that time.
func (t *Table) RecordServed(u *Upstream, sentAt, now time.Time) {
	t.mu.Lock()
	t.initLocked()
	t.latest = now
	if e := t.registrations[u.ID]; e == nil || e.StartedAtMs != u.StartedAtMs {
		t.mu.Unlock()
		return
	}
	if s := t.served[u.ID]; s.startedAtMs != u.StartedAtMs || sentAt.After(s.at) {
		t.served[u.ID] = moment{u.StartedAtMs, sentAt}
	}
	delete(t.broken, u.ID)
	if r := t.restarts[u.ID]; r.startedAtMs != u.StartedAtMs || !sentAt.After(r.at) {
		t.mu.Unlock()
		return
	}
	t.recordRestartLocked(u.ID, restart{u.StartedAtMs, u.NumOrders, Refuted, now, true, 0}, "it has served a request since")
}

// ConfirmRestart records that the state of an upstream shows that its process has restarted.
func (t *Table) ConfirmRestart(i Incarnation, now time.Time) {
	t.recordState(i, Confirmed, now, "its state is that of a new process")
}

// RefuteRestart records that the state of an upstream shows that its process has not
// restarted.
func (t *Table) RefuteRestart(i Incarnation, now time.Time) {
	t.recordState(i, Refuted, now, "its state is as expected")
}

func (t *Table) recordState(i Incarnation, c Certainty, now time.Time, why string) {
	t.mu.Lock()
	t.initLocked()
	t.latest = now
	t.recordRestartLocked(i.ID, restart{i.StartedAtMs, t.restarts[i.ID].numOrders, c, now, true, 0}, why)
}

// MergeRestarts merges what other instances know. This instance may have been served since.
func (t *Table) MergeRestarts(list []Restart, now time.Time) {
	for _, s := range list {
		if s.Certainty == Suspected || s.Age > restartTTL {
			continue
		}
		at := now.Add(-s.Age)
		t.mu.Lock()
		t.initLocked()
		t.latest = now
		r, why := restart{s.StartedAtMs, s.NumOrders, s.Certainty, at, false, 0}, "another instance says so"
		t.recordRestartLocked(s.ID, r, why)
		t.mu.Lock()
		served := t.served[s.ID]
		if known := t.restarts[s.ID]; known.certainty != Evident || served.startedAtMs != s.StartedAtMs || !served.at.After(known.at) {
			t.mu.Unlock()
			continue
		}
		t.recordRestartLocked(s.ID, restart{s.StartedAtMs, s.NumOrders, Refuted, now, true, 0}, "it has served a request since")
	}
}

// Restarts returns what this instance has to report of restarts, or all that it knows.
func (t *Table) Restarts(all bool, now time.Time) []Restart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Restart
	for id, r := range t.restarts {
		if age := now.Sub(r.at); (all || r.isOwn) && age < restartTTL {
			out = append(out, Restart{Incarnation{id, r.startedAtMs}, r.numOrders, r.certainty, age, r.isOwn})
		}
	}
	for id, m := range t.suspicions {
		if age := now.Sub(m.at); !all && age < suspicionTTL {
			out = append(out, Restart{Incarnation: Incarnation{id, m.startedAtMs}, Age: age, IsOwn: true})
		}
	}
	return out
}

// isSettledLocked reports whether an upstream is known to hold a model in the state u, and
// that state is the newest and has held for settleTime.
func (t *Table) isSettledLocked(u *Upstream, model string, now time.Time) bool {
	v, hasView := t.views[u.ID]
	if hasView && v.StartedAtMs == u.StartedAtMs && v.NumOrders != u.NumOrders {
		return false
	}
	return u.Holds(model, "") && now.Sub(t.loadedAt[u.ID][model]) >= settleTime
}

// recordLoadsLocked records when the models of a view were loaded.
func (t *Table) recordLoadsLocked(v View, now time.Time) {
	old, isKnown := t.views[v.ID]
	isKnown = isKnown && old.StartedAtMs == v.StartedAtMs
	before := Upstream{Models: old.Models}
	next := make(map[string]time.Time)
	for _, m := range v.Models {
		at := t.loadedAt[v.ID][m.Name]
		if isKnown && !before.Holds(m.Name, "") {
			at = now
		}
		if !at.IsZero() && now.Sub(at) < settleTime {
			next[m.Name] = at
		}
	}
	if len(next) == 0 {
		delete(t.loadedAt, v.ID)
		return
	}
	t.loadedAt[v.ID] = next
}

// suspectLocked passes a suspicion on, and unlocks the table.
func (t *Table) suspectLocked(u *Upstream, now time.Time, why string) {
	last := t.suspicions[u.ID]
	isNew := last.startedAtMs != u.StartedAtMs || now.Sub(last.at) >= suspicionInterval
	if isNew {
		t.suspicions[u.ID] = moment{u.StartedAtMs, now}
	}
	t.mu.Unlock()
	if isNew && t.OnRestart != nil {
		t.OnRestart(Restart{Incarnation: u.Incarnation(), NumOrders: u.NumOrders, IsOwn: true}, nil, why)
	}
}

// recordRestartLocked records evidence if it is newer or stronger than what is known. It
// unlocks the table, and calls OnRestart with the models that were hidden.
func (t *Table) recordRestartLocked(id string, r restart, why string) {
	if r.certainty == Evident || r.certainty == Confirmed {
		t.recordSuccessorLocked(Incarnation{id, r.startedAtMs})
	}
	e := t.registrations[id]
	known, isKnown := t.restarts[id]
	isKnown = isKnown && known.startedAtMs == r.startedAtMs && t.latest.Sub(known.at) < restartTTL
	switch {
	case e == nil || e.StartedAtMs != r.startedAtMs,
		!isKnown && r.certainty == Refuted,
		isKnown && known.certainty == Confirmed,
		isKnown && r.certainty != Confirmed && !r.at.After(known.at),
		// The time of the first evidence stays, or it would never end.
		isKnown && r.certainty == known.certainty && r.numOrders == known.numOrders:
		t.mu.Unlock()
		return
	}
	before := t.mergeLocked(e).Models
	r.sequence = e.Sequence
	t.restarts[id] = r
	if r.certainty == Confirmed {
		t.gone[id] = r.startedAtMs
	}
	t.rebuildLocked()
	age := t.latest.Sub(r.at)
	t.mu.Unlock()
	if r.certainty == Confirmed {
		t.notifyEnded([]*Upstream{e}, why)
	}
	if t.OnRestart != nil {
		t.OnRestart(Restart{Incarnation{id, r.startedAtMs}, r.numOrders, r.certainty, age, r.isOwn}, before, why)
	}
}

// hidesLocked reports whether a restart hides what an upstream is believed to hold.
func (t *Table) hidesLocked(u *Upstream) bool {
	r, ok := t.restarts[u.ID]
	return ok && r.certainty == Evident && r.startedAtMs == u.StartedAtMs && r.numOrders == u.NumOrders && t.latest.Sub(r.at) < restartTTL
}

// reviveLocked makes an incarnation usable again that has written so many registrations since
// its confirmed restart that it must live. Listings bring old registrations again.
func (t *Table) reviveLocked(e *Upstream) {
	if r := t.restarts[e.ID]; r.certainty == Confirmed && r.startedAtMs == e.StartedAtMs && e.Sequence >= r.sequence+minLivingRegistrations {
		delete(t.restarts, e.ID)
		delete(t.gone, e.ID)
	}
}

// expireRestartsLocked drops what is too old to matter. It reports whether that shows
// models again.
func (t *Table) expireRestartsLocked() bool {
	hasShown := false
	for id, r := range t.restarts {
		if t.latest.Sub(r.at) >= restartTTL && r.certainty != Confirmed {
			hasShown = hasShown || r.certainty == Evident
			delete(t.restarts, id)
		}
	}
	for id, m := range t.suspicions {
		if t.latest.Sub(m.at) >= suspicionTTL {
			delete(t.suspicions, id)
		}
	}
	return hasShown
}
