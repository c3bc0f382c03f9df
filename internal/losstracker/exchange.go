package losstracker

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// maxReported bounds the losses in one report or response.
	maxReported = 256
	// recentAge is the age up to which a loss is sent to peers whatever the number of
	// losses of its request, and newAge the age up to which it is sent to peers that have a
	// conductor.
	recentAge = 5 * time.Second
	newAge    = time.Second
	// maxExchanged bounds the losses in a response to a peer that has no conductor, about 50 bytes each.
	maxExchanged = 32
)

// key identifies a loss.
type key struct {
	fingerprint uint64
	incarnation registrar.Incarnation
	repeat      int
}

func keyOf(l Loss) key { return key{l.Fingerprint, l.Incarnation, l.Repeat} }

// reporting is what the conductor has received.
type reporting struct {
	conductor  string // incarnation
	unreported map[key]Loss
}

// Unreported returns losses that were not reported to the conductor yet. Another
// incarnation of a conductor has received none.
func (t *Tracker) Unreported(conductor string, now time.Time) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initLocked()
	if t.reporting.conductor != conductor {
		t.reporting.conductor = conductor
		for _, r := range t.requests.Values() {
			if now.Sub(r.latestAt) > LossTTL {
				continue
			}
			for _, l := range r.losses {
				if l.isShareable(now) {
					t.reporting.unreported[keyOf(l.Loss)] = l.Loss
				}
			}
		}
	}
	out := make([]Loss, 0, min(len(t.reporting.unreported), maxReported))
	for k, l := range t.reporting.unreported {
		if len(out) == maxReported {
			break
		}
		if r, ok := t.requests.Peek(l.Fingerprint); !ok || now.Sub(r.latestAt) > LossTTL {
			delete(t.reporting.unreported, k)
			continue
		}
		out = append(out, l)
	}
	return out
}

// RecordReported records that a conductor has received losses, and reports whether there
// are more to report.
func (t *Tracker) RecordReported(conductor string, losses []Loss) (hasMore bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reporting.conductor != conductor {
		return false
	}
	t.recordReportedLocked(losses)
	return len(t.reporting.unreported) > 0
}

func (t *Tracker) recordReportedLocked(losses []Loss) {
	for _, l := range losses {
		u, ok := t.reporting.unreported[keyOf(l)]
		if !ok {
			continue
		}
		if r, ok := t.requests.Peek(l.Fingerprint); ok {
			if known := r.find(keyOf(l)); known != nil {
				known.isExchanged = true
			}
		}
		if hasChanged := u.IsConfirmed && !l.IsConfirmed || u.IsRefuted && !l.IsRefuted; !hasChanged {
			delete(t.reporting.unreported, keyOf(l))
		}
	}
}

// MergeReport merges the losses that an instance has reported to this one.
func (t *Tracker) MergeReport(losses []Loss, now time.Time) {
	t.mu.Lock()
	events := t.mergeLocked(losses, now)
	t.mu.Unlock()
	t.notify(events)
}

// MergeExchanged merges the losses that an instance without a conductor has sent, or that an instance
// that is not the conductor has returned. Those of requests with several are reported to the present
// conductor as well, which may not get them from anywhere else.
func (t *Tracker) MergeExchanged(losses []Loss, now time.Time) {
	t.mu.Lock()
	events := t.mergeLocked(losses, now)
	for _, e := range events {
		r, ok := t.requests.Peek(e.Fingerprint)
		if !ok || len(r.losses) < SharedThreshold {
			continue
		}
		for _, l := range r.losses {
			t.reporting.unreported[keyOf(l.Loss)] = l.Loss
		}
	}
	t.mu.Unlock()
	t.notify(events)
}

// MergeView merges the losses in the view of a conductor, which therefore knows them.
func (t *Tracker) MergeView(conductor string, losses []Loss, now time.Time) {
	t.mu.Lock()
	events := t.mergeLocked(losses, now)
	if t.reporting.conductor == conductor {
		t.recordReportedLocked(losses)
	}
	t.mu.Unlock()
	t.notify(events)
}

// mergeLocked merges losses of another instance. They are reported to each later
// conductor.
func (t *Tracker) mergeLocked(losses []Loss, now time.Time) []event {
	var events []event
	for _, l := range losses {
		events = append(events, t.addLocked(loss{Loss: l, learnedAt: now, isExchanged: true}, Learned, now)...)
	}
	return events
}

// Shared returns the losses that a whole view contains, of at most maxReported requests.
func (t *Tracker) Shared(now time.Time) []Loss { return t.SharedSince(0, now) }

// SharedSince returns the losses of the requests that have changed after a SharedVersion.
func (t *Tracker) SharedSince(version uint64, now time.Time) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sharedLocked(version, now)
}

// SharedVersion returns a number that changes with the losses that Shared returns.
func (t *Tracker) SharedVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sharedVersion
}

// mostSharedLocked returns at most maxReported of the shared requests that have changed
// after a version, the poison requests before others.
func (t *Tracker) mostSharedLocked(version uint64) []uint64 {
	var out []uint64
	for f := range t.shared {
		if r, _ := t.requests.Peek(f); r.sharedAt > version {
			out = append(out, f)
		}
	}
	if len(out) <= maxReported {
		return out
	}
	isPoison := make(map[uint64]bool, len(out))
	for _, f := range out {
		r, _ := t.requests.Peek(f)
		isPoison[f] = r.isPoison()
	}
	slices.SortFunc(out, func(a, b uint64) int {
		if isPoison[a] != isPoison[b] {
			if isPoison[a] {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	return out[:maxReported]
}

func (t *Tracker) sharedLocked(version uint64, now time.Time) []Loss {
	var list []*loss
	for _, f := range t.mostSharedLocked(version) {
		r, _ := t.requests.Peek(f)
		list = append(list, t.sharedLossesLocked(f, r, now)...)
	}
	return exchanged(list, len(list))
}

// sharedLossesLocked returns the losses of a shared request that others are told, and stops sharing it if
// all are refuted.
func (t *Tracker) sharedLossesLocked(fingerprint uint64, r *request, now time.Time) []*loss {
	if now.Sub(r.latestAt) > LossTTL {
		return nil
	}
	out := r.shareable(now)
	if len(out) == 0 {
		delete(t.shared, fingerprint)
	}
	return out
}

// Recent returns at most maxExchanged losses for a peer that has no conductor: shared ones that have
// changed lately, single ones that are new, those that this instance has observed first, and others of
// the shared ones at random. A few responses together hold all of them.
func (t *Tracker) Recent(now time.Time) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		return nil
	}
	var shared, own, learned []*loss
	isListed := make(map[uint64]bool)
	for f, r := range t.latestLocked() {
		switch _, isShared := t.shared[f]; {
		case isShared && len(shared) < maxExchanged/2:
			isListed[f] = true
			shared = append(shared, t.sharedLossesLocked(f, r, now)...)
		case !isShared && now.Sub(r.latestAt) <= recentAge && r.isOwn:
			own = append(own, r.shareable(now)...)
		case !isShared && now.Sub(r.latestAt) <= recentAge:
			learned = append(learned, r.shareable(now)...)
		}
	}
	list := slices.Concat(shared, own, learned)
	for f := range t.shared { // in random order
		if len(list) >= maxExchanged {
			break
		}
		if r, _ := t.requests.Peek(f); !isListed[f] {
			list = append(list, t.sharedLossesLocked(f, r, now)...)
		}
	}
	return exchanged(list, maxExchanged)
}

// latestLocked iterates over at most maxReported requests, the most recently used first.
func (t *Tracker) latestLocked() iter.Seq2[uint64, *request] {
	return func(yield func(uint64, *request) bool) {
		keys := t.requests.Keys() // the most recently used are last
		for n := len(keys) - 1; n >= max(0, len(keys)-maxReported); n-- {
			if r, _ := t.requests.Peek(keys[n]); !yield(keys[n], r) {
				return
			}
		}
	}
}

// shareable returns the losses that are sent to other instances.
func (r *request) shareable(now time.Time) []*loss {
	var out []*loss
	for _, l := range r.losses {
		if l.isShareable(now) {
			out = append(out, l)
		}
	}
	return out
}

// exchanged returns at most limit of the losses, and marks these as known to another instance.
func exchanged(list []*loss, limit int) []Loss {
	var out []Loss
	for _, l := range list[:min(len(list), limit)] {
		l.isExchanged = true
		out = append(out, l.Loss)
	}
	return out
}

// New returns at most limit of the losses that this instance has learned within newAge: first those of
// requests for which another loss matters, then those of other requests that this instance has
// observed, each of them once. The others pass them on no further: when many upstreams crash
// together, hardly any of them matters.
func (t *Tracker) New(limit int, now time.Time) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		return nil
	}
	var suspects, single []*loss
	for _, r := range t.latestLocked() {
		isSuspect := r.level() != harmless
		for _, l := range r.shareable(now) {
			switch {
			case now.Sub(l.learnedAt) > newAge:
			case isSuspect:
				suspects = append(suspects, l)
			case l.isOwn && !l.isSent:
				single = append(single, l)
			}
		}
	}
	list := slices.Concat(suspects, single)
	for _, l := range list[:min(len(list), limit)] {
		l.isSent = true
	}
	return exchanged(list, limit)
}

// IsSuspect reports whether another loss may make the content a poison request, or one of the parts
// a deadly one, or has.
func (t *Tracker) IsSuspect(content uint64, parts []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		return false
	}
	for _, f := range append([]uint64{content}, parts...) {
		if r, ok := t.requests.Peek(f); ok && r.level() != harmless {
			return true
		}
	}
	return false
}
