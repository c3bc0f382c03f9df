package losstracker

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// LossTTL is how long the losses of a request count after the latest of them.
const LossTTL = time.Hour

const (
	// PoisonThreshold is the number of losses from which on a request is a poison
	// request. Two may be a coincidence when several upstreams crash at once.
	PoisonThreshold = 3
	// SharedThreshold is the number of losses of a request from which on they are sent
	// to all instances. A crash of an upstream causes one loss for each of its requests,
	// and hardly any of these requests comes again.
	SharedThreshold = 2
	// maxRequests bounds the requests whose losses are kept.
	maxRequests = 4096
	// maxLosses bounds the losses that are kept of a content.
	maxLosses = 8
	// refutationTTL is how long other instances are told that a loss is refuted.
	refutationTTL = 30 * time.Second
)

// Tracker keeps the losses that one instance knows. Its zero value is ready to use.
type Tracker struct {
	// RegistrationDelay is the longest time from a registration to when this instance
	// reads it. A registration that is read later than that after a suspected loss was
	// written after it.
	RegistrationDelay time.Duration
	// OnChange, if set, is called after a loss is added or has changed. known is the
	// number of losses of the request that count.
	OnChange func(l Loss, c Change, known int)
	// OnTrialsOver, if set, is called when a request with a content that was tried has run to its end.
	OnTrialsOver func(content uint64)

	mu       sync.Mutex
	running  map[registrar.Incarnation]map[*Attempt]struct{}
	requests *simplelru.LRU[uint64, *request]
	// undecided holds the requests with an unconfirmed loss, by incarnation.
	undecided map[registrar.Incarnation]map[uint64]struct{}
	// shared holds the requests with SharedThreshold losses or more.
	shared        map[uint64]struct{}
	sharedVersion uint64
	// acquitted holds the parts with which a response has begun on an upstream that lived
	// on.
	acquitted *simplelru.LRU[uint64, struct{}]
	// deferred holds the parts with deferred losses, and the end of their deferral.
	deferred  map[uint64]time.Time
	reporting reporting
	saving    saving
}

// Losses returns how many upstreams ended, or may have, while they ran the request, and
// how many of them have ended for sure.
func (t *Tracker) Losses(fingerprint uint64, now time.Time) (counted, confirmed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requestLocked(fingerprint, now); r != nil {
		return r.numLosses()
	}
	return 0, 0
}

// requestLocked returns the losses of a request, nil if there are none that count.
func (t *Tracker) requestLocked(fingerprint uint64, now time.Time) *request {
	if t.requests == nil {
		return nil
	}
	r, ok := t.requests.Get(fingerprint)
	if !ok {
		return nil
	}
	if now.Sub(r.latestAt) > LossTTL {
		t.requests.Remove(fingerprint)
		return nil
	}
	return r
}

func (t *Tracker) initLocked() {
	if t.requests != nil {
		return
	}
	t.requests, _ = simplelru.NewLRU(maxRequests, t.forgetLocked) // fails only for a size below one
	t.acquitted, _ = simplelru.NewLRU[uint64, struct{}](maxAcquitted, nil)
	t.deferred = make(map[uint64]time.Time)
	t.running = make(map[registrar.Incarnation]map[*Attempt]struct{})
	t.undecided = make(map[registrar.Incarnation]map[uint64]struct{})
	t.shared = make(map[uint64]struct{})
	t.reporting.unreported = make(map[key]Loss)
	t.saving.requests = make(map[uint64]struct{})
}

// forgetLocked removes what is kept of a request besides its losses.
func (t *Tracker) forgetLocked(fingerprint uint64, r *request) {
	losses := r.losses
	r.losses = nil
	for _, l := range losses {
		t.indexLocked(r, l.Loss)
		delete(t.reporting.unreported, keyOf(l.Loss))
	}
	delete(t.shared, fingerprint)
	delete(t.deferred, fingerprint)
	delete(t.saving.requests, fingerprint)
}

// indexLocked updates the index of undecided losses after a change of a loss.
func (t *Tracker) indexLocked(r *request, l Loss) {
	if len(r.undecided(l.Incarnation)) > 0 {
		if t.undecided[l.Incarnation] == nil {
			t.undecided[l.Incarnation] = make(map[uint64]struct{})
		}
		t.undecided[l.Incarnation][l.Fingerprint] = struct{}{}
		return
	}
	delete(t.undecided[l.Incarnation], l.Fingerprint)
	if len(t.undecided[l.Incarnation]) == 0 {
		delete(t.undecided, l.Incarnation)
	}
}

// event is a change that is passed to OnChange after the lock is released.
type event struct {
	Loss
	change Change
	known  int
}

// addLocked adds a loss or confirms a known one. It returns the change, if there is one.
func (t *Tracker) addLocked(l loss, c Change, now time.Time) []event {
	t.initLocked()
	r := t.requestLocked(l.Fingerprint, now)
	if r == nil {
		r = &request{isPart: l.Round > 0}
		t.requests.Add(l.Fingerprint, r)
	}
	r.isOwn = r.isOwn || l.isOwn
	known := r.find(keyOf(l.Loss))
	if known == nil && r.isFull() {
		r.removeRefuted()
	}
	switch {
	case known == nil && r.isFull(), known == nil && r.isPart && r.isRoundFull(l.Round):
		if !l.isExchanged { // others repeat the losses that they know
			r.latestAt = now
		}
		return nil
	case known == nil:
		known = &l
		known.refutedAt = now
		r.losses = append(r.losses, known)
	case l.IsRefuted && !known.IsRefuted:
		events := []event{{known.Loss, Refuted, 0}}
		t.refuteLossLocked(r, known, now)
		t.updateSavingLocked(l.Fingerprint, r)
		return events
	case known.IsRefuted:
		if !l.IsRefuted && l.isExchanged && r.isWorthTelling() { // the sender still counts it
			known.isExchanged, known.refutedAt = true, now
			t.reporting.unreported[keyOf(known.Loss)] = known.Loss
			t.shareLocked(r, l.Fingerprint)
		}
		return nil
	case l.IsConfirmed && !known.IsConfirmed:
		known.IsConfirmed = true
		if c != Learned {
			c = Confirmed
		}
	case known.isUncounted && !l.isUncounted:
		known.isUncounted, known.learnedAt = false, now
	default:
		return nil
	}
	r.latestAt = now
	t.indexLocked(r, known.Loss)
	if r.isPart && known.IsRefuted {
		t.acquitted.Add(l.Fingerprint, struct{}{})
	}
	if !known.counts() {
		return nil
	}
	if r.isPart && l.isExchanged && !known.IsRelapse && t.isAcquittedLocked(l.Fingerprint) {
		// The instance that observed the loss does not know that the part is sound.
		t.refuteLossLocked(r, known, now)
		if !r.isWorthTelling() {
			for _, l := range r.losses {
				delete(t.reporting.unreported, keyOf(l.Loss))
			}
			delete(t.shared, l.Fingerprint)
			return nil
		}
		return []event{{known.Loss, Refuted, 0}}
	}
	if c == Suspected && known.Round == 1 {
		known.isDeferred = true
		t.deferred[l.Fingerprint] = now.Add(deferral)
		return nil
	}
	known.isDeferred = false
	t.updateSavingLocked(l.Fingerprint, r)
	counted, _ := r.numLosses()
	return t.tellLocked(r, known, c, counted)
}

// tellLocked marks a loss to be told to others.
func (t *Tracker) tellLocked(r *request, l *loss, c Change, counted int) []event {
	if c != Learned {
		t.reporting.unreported[keyOf(l.Loss)] = l.Loss
	}
	if r.isPart || counted >= SharedThreshold {
		t.shareLocked(r, l.Fingerprint)
	}
	if r.isPart && r.isPoison() {
		t.acquitted.Remove(l.Fingerprint)
	}
	return []event{{l.Loss, c, counted}}
}

// refuteLocked takes back the losses of a request that has run to its end. They are kept
// as refuted, so that other instances do not bring them back, and these are told.
func (t *Tracker) refuteLocked(fingerprint uint64, now time.Time) []event {
	r := t.requestLocked(fingerprint, now)
	if r == nil {
		return nil
	}
	var events []event
	for _, l := range r.losses {
		if l.IsRefuted {
			continue
		}
		if l.counts() && !l.isDeferred {
			events = append(events, event{l.Loss, Refuted, 0})
		}
		t.refuteLossLocked(r, l, now)
	}
	t.updateSavingLocked(fingerprint, r)
	if _, isShared := t.shared[fingerprint]; isShared {
		t.shareLocked(r, fingerprint)
	}
	return events
}

// shareLocked marks a request whose losses others have to be told.
func (t *Tracker) shareLocked(r *request, fingerprint uint64) {
	t.shared[fingerprint] = struct{}{}
	t.sharedVersion++
	r.sharedAt = t.sharedVersion
}

func (t *Tracker) refuteLossLocked(r *request, l *loss, now time.Time) {
	l.IsRefuted, l.refutedAt = true, now
	if counted, _ := r.numLosses(); counted == 0 {
		r.trials.count, r.trials.latestAt = 0, time.Time{}
	}
	t.indexLocked(r, l.Loss)
	if l.isExchanged {
		t.reporting.unreported[keyOf(l.Loss)] = l.Loss
		t.shareLocked(r, l.Fingerprint)
	} else {
		delete(t.reporting.unreported, keyOf(l.Loss))
	}
}

func (t *Tracker) notify(events []event) {
	if t.OnChange == nil {
		return
	}
	for _, e := range events {
		t.OnChange(e.Loss, e.change, e.known)
	}
}

// RecordEnd confirms the losses of the requests that an incarnation ran when it ended.
func (t *Tracker) RecordEnd(i registrar.Incarnation, now time.Time) {
	t.mu.Lock()
	var events []event
	for a := range t.running[i] {
		a.hasEnded = true
		events = append(events, a.loseContentLocked(loss{Loss: Loss{Incarnation: i, IsConfirmed: true}, learnedAt: now, isOwn: true}, Broken, Confirmed, now)...)
	}
	events = append(events, t.confirmLocked(i, now)...)
	t.mu.Unlock()
	t.notify(events)
}

// confirmLocked confirms the undecided losses of an incarnation.
func (t *Tracker) confirmLocked(i registrar.Incarnation, now time.Time) []event {
	var events []event
	for _, f := range t.undecidedLocked(i) {
		r, _ := t.requests.Peek(f)
		for _, l := range r.undecided(i) {
			events = append(events, t.addLocked(loss{Loss: l.confirmed(), learnedAt: now}, Confirmed, now)...)
		}
	}
	return events
}

func (t *Tracker) undecidedLocked(i registrar.Incarnation) []uint64 {
	out := make([]uint64, 0, len(t.undecided[i]))
	for f := range t.undecided[i] {
		out = append(out, f)
	}
	slices.Sort(out)
	return out
}

// RecordRegistration withdraws the suspected losses of an incarnation that has
// registered itself after them. It must not be called for a registration that may have
// been read later than RegistrationDelay after it was written.
func (t *Tracker) RecordRegistration(i registrar.Incarnation, now time.Time) {
	t.mu.Lock()
	var events []event
	for _, f := range t.undecidedLocked(i) {
		r, _ := t.requests.Peek(f)
		for _, l := range r.undecided(i) {
			if now.Sub(l.learnedAt) > t.RegistrationDelay {
				events = append(events, t.withdrawLocked(r, l)...)
			}
		}
	}
	t.mu.Unlock()
	t.notify(events)
}

func (t *Tracker) withdrawLocked(r *request, l *loss) []event {
	r.losses = slices.DeleteFunc(r.losses, func(x *loss) bool { return x == l })
	t.indexLocked(r, l.Loss)
	delete(t.reporting.unreported, keyOf(l.Loss))
	t.updateSavingLocked(l.Fingerprint, r)
	counted, _ := r.numLosses()
	if _, isShared := t.shared[l.Fingerprint]; isShared {
		t.shareLocked(r, l.Fingerprint)
		if counted < SharedThreshold && !r.isPart || counted == 0 {
			delete(t.shared, l.Fingerprint)
		}
	}
	if !l.counts() || l.isDeferred {
		return nil
	}
	return []event{{l.Loss, Withdrawn, counted}}
}

// Sweep confirms the suspected losses of incarnations that are not registered any more.
// It must not be called while registrations may be missing.
func (t *Tracker) Sweep(isRegistered func(registrar.Incarnation) bool, now time.Time) {
	t.mu.Lock()
	var events []event
	for i := range t.undecided {
		if isRegistered(i) {
			continue
		}
		for _, f := range t.undecidedLocked(i) {
			r, _ := t.requests.Peek(f)
			for _, l := range r.undecided(i) {
				// The registration of a new upstream may not have been read yet.
				if now.Sub(l.learnedAt) > t.RegistrationDelay {
					events = append(events, t.addLocked(loss{Loss: l.confirmed(), learnedAt: now}, Confirmed, now)...)
				}
			}
		}
	}
	t.mu.Unlock()
	t.notify(events)
}
