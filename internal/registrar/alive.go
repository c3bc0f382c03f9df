package registrar

import "time"

const (
	// MaxRegistrationDelay is how long before it is appended to the log an upstream may have sent a
	// registration. A process that reaches the log has registered itself within that time of its start.
	MaxRegistrationDelay = 3 * time.Second
	// lifeMemory is how long the life of a process is kept after its registration is gone. It is as
	// long as a stream may last.
	lifeMemory = 2 * time.Minute
	// maxWatchGap is the longest time between two reads of the registrations between which none is
	// taken to have been refused. Upstreams write them every 1.2 s, so that an outage of that length
	// delays one by less than MaxRegistrationDelay.
	maxWatchGap = time.Second
)

// life is what is known of the process of an incarnation that is registered, or was.
type life struct {
	aliveAt time.Time // when the process last lived for sure, zero if that is not known
	endedAt time.Time // when the registration was removed or replaced, zero while it is there
	// hasSuccessor says that another process of the id has registered or may have, or that there was
	// evidence of one.
	hasSuccessor bool
}

// endedLife is an incarnation whose registration has gone at a time.
type endedLife struct {
	Incarnation
	at time.Time
}

// watch is a time during which the registrations were read all along and none could be missing.
type watch struct{ from, to time.Time }

// RecordAlive records that the process of an incarnation that is registered, or was, lived at a time.
func (t *Table) RecordAlive(i Incarnation, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.lives[i]; l != nil && at.After(l.aliveAt) {
		l.aliveAt = at
	}
}

// WasAlive reports whether the process of an incarnation is known to have lived at a time or later.
func (t *Table) WasAlive(i Incarnation, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lives[i]
	return l != nil && !l.aliveAt.IsZero() && !l.aliveAt.Before(at)
}

// RecordWatch records that the registrations have been read: nothing that was appended before
// readTo is missing.
func (t *Table) RecordWatch(readTo, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watches = t.watches[t.numOldWatchesLocked(now):]
	if !t.isCompleteLocked(now) {
		return
	}
	n := len(t.watches)
	switch {
	case t.isWatching && n > 0 && readTo.Sub(t.watches[n-1].to) <= maxWatchGap:
		if readTo.After(t.watches[n-1].to) {
			t.watches[n-1].to = readTo
		}
		return
	case t.isWatching || readTo.Sub(t.completeAt) > maxWatchGap:
		t.watches = append(t.watches, watch{readTo, readTo})
	default:
		t.watches = append(t.watches, watch{t.completeAt, readTo})
	}
	t.isWatching = true
}

// recordListLocked records that a complete list was read instead of the changes before it. A process that
// it names has had no successor. Others may have had one that has gone again.
func (t *Table) recordListLocked(all map[string]*Upstream, now time.Time) {
	if !t.isWatching {
		t.completeAt = now
		if now.Before(t.keepUntil) {
			t.completeAt = t.keepUntil
		}
	}
	for i, l := range t.lives {
		if e := all[i.ID]; e == nil || e.StartedAtMs != i.StartedAtMs {
			l.hasSuccessor = true
		}
	}
}

// interruptWatchLocked ends the watch. Another one begins when the registrations are read again, at a
// time at the earliest.
func (t *Table) interruptWatchLocked(completeAt time.Time) {
	t.isWatching, t.completeAt = false, completeAt
}

func (t *Table) numOldWatchesLocked(now time.Time) (n int) {
	for n < len(t.watches) && now.Sub(t.watches[n].to) >= lifeMemory {
		n++
	}
	return n
}

// HadNoSuccessor reports whether a process that responded at a time under the id of an incarnation
// was that of the incarnation, as far as the registrations tell: another one would have registered
// within MaxRegistrationDelay. They were read all along for that time, and no other process of the id
// is known. A process that does not reach the log is not noticed.
func (t *Table) HadNoSuccessor(i Incarnation, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.lives[i]; l == nil || l.hasSuccessor {
		return false
	}
	for _, w := range t.watches {
		if !w.from.After(at) && !w.to.Before(at.Add(MaxRegistrationDelay)) {
			return true
		}
	}
	return false
}

// IsReplaced reports whether a later process of the id of an incarnation is registered, or was.
func (t *Table) IsReplaced(i Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastRegistered[i.ID] > i.StartedAtMs
}

// beginLifeLocked records that an incarnation is registered.
func (t *Table) beginLifeLocked(i Incarnation) {
	if last, ok := t.lastRegistered[i.ID]; ok && last != i.StartedAtMs {
		t.recordSuccessorLocked(Incarnation{i.ID, last})
		t.endLifeLocked(Incarnation{i.ID, last})
	}
	t.lastRegistered[i.ID] = i.StartedAtMs
	if t.lives[i] == nil {
		t.lives[i] = &life{}
	}
	t.lives[i].endedAt = time.Time{}
}

// endLifeLocked records that the registration of an incarnation is gone.
func (t *Table) endLifeLocked(i Incarnation) {
	if l := t.lives[i]; l != nil && l.endedAt.IsZero() {
		l.endedAt = t.latest
		t.ended = append(t.ended, endedLife{i, t.latest})
	}
}

func (t *Table) recordSuccessorLocked(i Incarnation) {
	if l := t.lives[i]; l != nil {
		l.hasSuccessor = true
	}
}

// expireLivesLocked drops the lives that have ended long ago.
func (t *Table) expireLivesLocked() {
	for len(t.ended) > 0 && t.latest.Sub(t.ended[0].at) >= lifeMemory {
		e := t.ended[0]
		t.ended = t.ended[1:]
		if l := t.lives[e.Incarnation]; l == nil || !l.endedAt.Equal(e.at) {
			continue // it is registered again, or was since
		}
		delete(t.lives, e.Incarnation)
		if t.lastRegistered[e.ID] == e.StartedAtMs {
			delete(t.lastRegistered, e.ID)
		}
	}
}
