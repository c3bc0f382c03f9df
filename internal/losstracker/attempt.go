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
	// Unsent means that nothing of the request was sent.
	Unsent
	// Succeeded means that the upstream ran the request to its end.
	Succeeded
	// Left means that the client left or its time was over while the upstream responded.
	Left
	// Abandoned means that the client left after a long wait without a response.
	Abandoned
	// Broken means that the upstream did not respond, or not completely.
	Broken
)

// Attempt is one attempt at an upstream.
type Attempt struct {
	tracker     *Tracker
	incarnation registrar.Incarnation
	fingerprint uint64 // of the content
	repeat      int    // see Loss.Repeat
	known       int    // losses of the content that counted when the attempt began
	parts       []partMark
	hasSurvived bool // see RecordSurvival
	// isContinuation says that the attempt is for the rest of a stream.
	isContinuation bool
	// hasEnded says that the incarnation has ended since the attempt began. Another
	// incarnation may run the request.
	hasEnded bool
	trial    *Trial // nil unless the attempt is one
}

// partMark is what was known of a part when an attempt began.
type partMark struct {
	fingerprint   uint64
	repeat, round int // see Loss
	// request holds the losses of the part, nil if there were none.
	request *request
}

// leave records that the attempt is over, or has survived.
func (m partMark) leave() {
	if m.request != nil {
		m.request.numRunning--
	}
}

// Begin records the start of an attempt of a request with a content and parts of a prompt
// that other requests may share.
func (t *Tracker) Begin(i registrar.Incarnation, content uint64, parts ...uint64) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.beginLocked(i, content, parts)
}

// TryBegin is Begin, unless the request is a poison request (see Find).
func (t *Tracker) TryBegin(i registrar.Incarnation, content uint64, parts []uint64, mayTry bool, now time.Time) (*Attempt, Finding) {
	return t.TryBeginTrial(i, content, parts, mayTry, nil, now)
}

// TryBeginTrial is TryBegin for a request that may have a trial, which uses it up if its content is
// refused.
func (t *Tracker) TryBeginTrial(i registrar.Incarnation, content uint64, parts []uint64, mayTry bool, trial *Trial, now time.Time) (*Attempt, Finding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, isRefused := t.findPartLocked(parts, mayTry, now); isRefused {
		return nil, f
	}
	isTrial := false
	if f, isRefused := t.findContentLocked(content, now); isRefused {
		r, _ := t.requests.Peek(content)
		if isTrial = trial.sendLocked(r); !isTrial {
			return nil, f
		}
	}
	t.recordTrialsLocked(parts, now)
	a := t.beginLocked(i, content, parts)
	if isTrial {
		a.trial = trial
	}
	return a, Finding{}
}

func (t *Tracker) beginLocked(i registrar.Incarnation, content uint64, parts []uint64) *Attempt {
	t.initLocked()
	a := &Attempt{tracker: t, incarnation: i, fingerprint: content}
	if r, ok := t.requests.Peek(content); ok {
		a.repeat = r.numRepeats(i)
		a.known, _ = r.numLosses()
	}
	for _, p := range parts {
		m := partMark{fingerprint: p, round: 1}
		if r, ok := t.requests.Peek(p); ok {
			m.repeat, m.round = r.numRepeats(i), r.lastRound()+1
			r.numRunning++
			m.request = r
		}
		a.parts = append(a.parts, m)
	}
	if t.running[i] == nil {
		t.running[i] = make(map[*Attempt]struct{})
	}
	t.running[i][a] = struct{}{}
	return a
}

// KnownLosses returns how many losses of the content counted when the attempt began. Losses of
// attempts that knew of none may have one cause, a crash of several upstreams.
func (a *Attempt) KnownLosses() int { return a.known }

// RecordSurvival records that the upstream has gone on after it began its response, so no
// part of the request crashes upstreams.
func (a *Attempt) RecordSurvival(now time.Time) {
	t := a.tracker
	t.mu.Lock()
	events := a.surviveLocked(now)
	t.mu.Unlock()
	t.notify(events)
}

func (a *Attempt) surviveLocked(now time.Time) []event {
	if a.hasSurvived {
		return nil
	}
	a.hasSurvived = true
	var events []event
	for _, p := range a.parts {
		p.leave()
		events = append(events, a.tracker.acquitLocked(p.fingerprint, now)...)
	}
	return events
}

// MarkContinuation marks the attempt as one for the rest of a stream that has begun. If the
// upstream goes on with it for a while and then breaks off, the request has got past the point
// at which earlier attempts broke off, so they did not break because of it.
func (a *Attempt) MarkContinuation() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.isContinuation = true
}

// End records the end of the attempt.
func (a *Attempt) End(e Ending, now time.Time) {
	t := a.tracker
	t.mu.Lock()
	delete(t.running[a.incarnation], a)
	if len(t.running[a.incarnation]) == 0 {
		delete(t.running, a.incarnation)
	}
	if !a.hasSurvived && e != Succeeded {
		for _, p := range a.parts {
			p.leave()
		}
	}
	var events []event
	var isTried bool
	if e == Unsent && a.trial != nil {
		a.trial.takeBackLocked()
	}
	switch e {
	case Completed, Unsent:
		if a.hasEnded {
			events = a.refuteOwnLocked(now)
		}
	case Succeeded:
		isTried = t.isTriedLocked(a.fingerprint)
		events = append(a.surviveLocked(now), t.refuteLocked(a.fingerprint, now)...)
	default:
		l := loss{Loss: Loss{Incarnation: a.incarnation}, learnedAt: now, isOwn: true}
		events = a.loseLocked(l, e, Suspected, now)
	}
	t.mu.Unlock()
	t.notify(events)
	if isTried && t.OnTrialsOver != nil {
		t.OnTrialsOver(a.fingerprint)
	}
}

// refuteOwnLocked takes back the loss that was added when the incarnation ended.
func (a *Attempt) refuteOwnLocked(now time.Time) []event {
	t := a.tracker
	r := t.requestLocked(a.fingerprint, now)
	if r == nil {
		return nil
	}
	l := r.find(keyOf(Loss{Fingerprint: a.fingerprint, Incarnation: a.incarnation, Repeat: a.repeat}))
	if l == nil || l.IsRefuted {
		return nil
	}
	t.refuteLossLocked(r, l, now)
	t.updateSavingLocked(a.fingerprint, r)
	return []event{{l.Loss, Refuted, 0}}
}

// loseLocked adds the losses of the request and of its parts.
func (a *Attempt) loseLocked(l loss, e Ending, c Change, now time.Time) []event {
	events := a.loseContentLocked(l, e, c, now)
	if a.hasSurvived {
		return events
	}
	l.isUncounted = e != Broken && !a.hasEnded
	l.IsConfirmed = a.hasEnded
	isExplained := a.hasSuspectLocked()
	for _, p := range a.parts {
		l.Fingerprint, l.Repeat, l.Round = p.fingerprint, p.repeat, p.round
		l.IsRelapse = a.tracker.isAcquittedLocked(p.fingerprint)
		if l.IsRelapse && isExplained {
			continue
		}
		events = append(events, a.tracker.addLocked(l, c, now)...)
	}
	return events
}

func (a *Attempt) loseContentLocked(l loss, e Ending, c Change, now time.Time) []event {
	if a.isContinuation && a.hasSurvived {
		return nil
	}
	l.Fingerprint, l.Repeat, l.isUncounted = a.fingerprint, a.repeat, e == Left
	return a.tracker.addLocked(l, c, now)
}

// hasSuspectLocked reports whether the request has a part with other losses that was never
// refuted, which explains why the attempt broke.
func (a *Attempt) hasSuspectLocked() bool {
	for _, p := range a.parts {
		if a.tracker.isAcquittedLocked(p.fingerprint) {
			continue
		}
		if r, ok := a.tracker.requests.Peek(p.fingerprint); ok && r.lastRound() > 0 {
			return true
		}
	}
	return false
}
