package losstracker

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// Ending is how an attempt ended, as far as it says whether its upstream lives.
type Ending uint8

// Endings of an attempt.
const (
	// Completed means that the upstream responded, or did not run the request.
	Completed Ending = iota
	// Succeeded means that the upstream ran the request to its end.
	Succeeded
	// Left means that the client left or its time was over while the upstream responded.
	Left
	// Broken means that the upstream did not respond, or not completely.
	Broken
)

// Attempt is one attempt at an upstream.
type Attempt struct {
	tracker     *Tracker
	incarnation registrar.Incarnation
	fingerprint uint64
	repeat      int // see Loss.Repeat
}

// Begin records the start of an attempt.
func (t *Tracker) Begin(i registrar.Incarnation, fingerprint uint64) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initLocked()
	a := &Attempt{t, i, fingerprint, 0}
	if r, ok := t.requests.Peek(fingerprint); ok {
		for _, l := range r.losses {
			if l.Incarnation == i && l.counts() {
				a.repeat++
			}
		}
	}
	if t.running[i] == nil {
		t.running[i] = make(map[*Attempt]struct{})
	}
	t.running[i][a] = struct{}{}
	return a
}

// End records the end of the attempt.
func (a *Attempt) End(e Ending, now time.Time) {
	t := a.tracker
	t.mu.Lock()
	delete(t.running[a.incarnation], a)
	if len(t.running[a.incarnation]) == 0 {
		delete(t.running, a.incarnation)
	}
	var events []event
	switch e {
	case Completed:
	case Succeeded:
		events = t.refuteLocked(a.fingerprint, now)
	default:
		events = t.addLocked(loss{Loss: Loss{Fingerprint: a.fingerprint, Incarnation: a.incarnation, Repeat: a.repeat}, learnedAt: now, isOwn: true, isUncounted: e == Left}, Suspected, now)
	}
	t.mu.Unlock()
	t.notify(events)
}
