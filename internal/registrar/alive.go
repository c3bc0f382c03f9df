package registrar

import "time"

// RecordAlive records that the process of a registered incarnation lived at a time.
func (t *Table) RecordAlive(i Incarnation, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initLocked()
	e := t.registrations[i.ID]
	known := t.alive[i.ID]
	if e == nil || e.StartedAtMs != i.StartedAtMs || known.startedAtMs == i.StartedAtMs && !at.After(known.at) {
		return
	}
	t.alive[i.ID] = moment{i.StartedAtMs, at}
}

// WasAlive reports whether the process of an incarnation is known to have lived at a time or later.
func (t *Table) WasAlive(i Incarnation, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.alive[i.ID]
	return ok && known.startedAtMs == i.StartedAtMs && !known.at.Before(at)
}
