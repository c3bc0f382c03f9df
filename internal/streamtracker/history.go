package streamtracker

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Versions holds the software versions that a service has had within StreamMemory.
type Versions struct {
	// Ages holds the time since each version was last seen.
	Ages map[string]time.Duration
	// Covered is how long the registrations have been watched without a gap. A version that
	// was last seen before is missing.
	Covered time.Duration
}

// IsComplete reports whether no version is missing.
func (v Versions) IsComplete() bool { return v.Covered >= StreamMemory }

// History holds the software versions of all services that one instance knows of. Its zero
// value is ready to use.
type History struct {
	// OnChange, if set, is called when the versions of a service have changed.
	OnChange func(service string, versions []string)

	mu      sync.Mutex
	seenAt  map[string]map[string]time.Time // by service and version
	covered map[string]time.Time            // by service: from when on nothing is missing
	since   time.Time                       // of the first complete observation
	told    map[string][]string             // versions with which OnChange was last called
}

// Observe records the versions that the registrations name, by service. isComplete says
// whether they are those of all upstreams.
func (h *History) Observe(current map[string][]string, isComplete bool, now time.Time) {
	h.mu.Lock()
	h.initLocked()
	if isComplete && h.since.IsZero() {
		h.since = now
	}
	for service, versions := range current {
		for _, v := range versions {
			h.seeLocked(service, v, now)
		}
	}
	h.expireLocked(now)
	changed := h.changesLocked()
	h.mu.Unlock()
	h.notify(changed)
}

// Merge adds what another instance, or the platform's log, knows of a service.
func (h *History) Merge(service string, v Versions, now time.Time) {
	h.mu.Lock()
	h.initLocked()
	for version, age := range v.Ages {
		h.seeLocked(service, version, now.Add(-age))
	}
	if from := now.Add(-v.Covered); !h.since.IsZero() && from.Before(h.sinceLocked(service)) {
		h.covered[service] = from
	}
	h.expireLocked(now)
	changed := h.changesLocked()
	h.mu.Unlock()
	h.notify(changed)
}

// Versions returns the versions of a service.
func (h *History) Versions(service string, now time.Time) Versions {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Versions{Ages: make(map[string]time.Duration)}
	for version, at := range h.seenAt[service] {
		if age := now.Sub(at); age < StreamMemory {
			out.Ages[version] = max(0, age)
		}
	}
	if !h.since.IsZero() {
		out.Covered = now.Sub(h.sinceLocked(service))
	}
	return out
}

// All returns the versions of all services, sorted.
func (h *History) All(now time.Time) map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string][]string)
	for service, versions := range h.seenAt {
		for version, at := range versions {
			if now.Sub(at) < StreamMemory {
				out[service] = append(out[service], version)
			}
		}
		slices.Sort(out[service])
	}
	return out
}

// HasSeveral reports whether a service has had more than one version.
func (h *History) HasSeveral(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.seenAt[service]) > 1
}

func (h *History) initLocked() {
	if h.seenAt == nil {
		h.seenAt, h.covered, h.told = make(map[string]map[string]time.Time), make(map[string]time.Time), make(map[string][]string)
	}
}

// sinceLocked returns from when on no version of a service is missing.
func (h *History) sinceLocked(service string) time.Time {
	if at, ok := h.covered[service]; ok && at.Before(h.since) {
		return at
	}
	return h.since
}

func (h *History) seeLocked(service, version string, at time.Time) {
	if h.seenAt[service] == nil {
		h.seenAt[service] = make(map[string]time.Time)
	}
	if at.After(h.seenAt[service][version]) {
		h.seenAt[service][version] = at
	}
}

func (h *History) expireLocked(now time.Time) {
	for _, versions := range h.seenAt {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) >= StreamMemory })
	}
}

// changesLocked returns the versions of the services that have changed since the last call.
func (h *History) changesLocked() map[string][]string {
	changed := make(map[string][]string)
	for service, versions := range h.seenAt {
		now := slices.Sorted(maps.Keys(versions))
		if !slices.Equal(now, h.told[service]) {
			changed[service], h.told[service] = now, now
		}
	}
	return changed
}

func (h *History) notify(changed map[string][]string) {
	if h.OnChange == nil {
		return
	}
	for service, versions := range changed {
		h.OnChange(service, versions)
	}
}
