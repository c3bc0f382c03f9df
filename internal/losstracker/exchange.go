package losstracker

import (
	"cmp"
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
			if now.Sub(r.latestAt) > lossTTL {
				continue
			}
			for _, l := range r.losses {
				if l.isTold(now) {
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
		if r, ok := t.requests.Peek(l.Fingerprint); !ok || now.Sub(r.latestAt) > lossTTL {
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
	var out []Loss
	for _, f := range t.mostSharedLocked(version) {
		r, _ := t.requests.Peek(f)
		if now.Sub(r.latestAt) > lossTTL {
			continue
		}
		numBefore := len(out)
		for _, l := range r.losses {
			if l.isTold(now) {
				l.isExchanged = true
				out = append(out, l.Loss)
			}
		}
		if len(out) == numBefore {
			delete(t.shared, f) // all are refuted
		}
	}
	return out
}

// Recent returns the losses for peers that have no conductor: the shared ones, and those
// that are new.
func (t *Tracker) Recent(now time.Time) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.sharedLocked(0, now)
	if t.requests == nil {
		return out
	}
	keys := t.requests.Keys() // the most recently used are last
	for n := len(keys) - 1; n >= 0 && n >= len(keys)-maxReported; n-- {
		r, _ := t.requests.Peek(keys[n])
		if _, isShared := t.shared[keys[n]]; isShared || now.Sub(r.latestAt) > recentAge {
			continue
		}
		for _, l := range r.losses {
			if l.isTold(now) {
				l.isExchanged = true
				out = append(out, l.Loss)
			}
		}
	}
	return out
}

// New returns the losses that this instance has learned within newAge, whatever the number of losses
// of their requests: those of requests with several first, and at most limit.
func (t *Tracker) New(limit int, now time.Time) []Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		return nil
	}
	var several, single []*loss
	keys := t.requests.Keys() // the most recently used are last
	for n := len(keys) - 1; n >= 0 && n >= len(keys)-maxReported; n-- {
		r, _ := t.requests.Peek(keys[n])
		for _, l := range r.losses {
			switch {
			case !l.isTold(now) || now.Sub(l.learnedAt) > newAge:
			case len(r.losses) >= SharedThreshold:
				several = append(several, l)
			default:
				single = append(single, l)
			}
		}
	}
	var out []Loss
	for _, l := range append(several, single...) {
		if len(out) == limit {
			break
		}
		l.isExchanged = true
		out = append(out, l.Loss)
	}
	return out
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
