package versioner

import (
	"context"
	"sync"
	"time"
)

const (
	// maxAge is how long an instance follows tables after the holder or the log has confirmed them.
	maxAge = 20 * time.Second
	// absenceAge is how long a service counts as having no table after that was read. It is less than
	// trustDelay.
	absenceAge = time.Second
	// loadTimeout bounds a read of the tables. Client requests wait for it.
	loadTimeout = 300 * time.Millisecond
)

// Snapshot holds the tables that the log had in an era.
type Snapshot struct {
	Tables map[string]Table // by service
	Era    int64
}

// State says what an instance knows of the default version of a model.
type State int

// States of a default version.
const (
	Unknown State = iota
	// Absent means that no table is saved for the service.
	Absent
	Known
)

// Follower holds the default versions that an instance follows. Its exported fields must be set.
type Follower struct {
	// Load reads the tables from the log.
	Load func(context.Context) (Snapshot, error)

	mu          sync.Mutex
	defaults    map[string]Defaults // by service, nil if not known
	confirmedAt time.Time
	// contactAt is when the holder of the lease, or an instance that it knows, last responded.
	contactAt time.Time
}

// Update replaces the default versions by those that the holder or the log had at a time, unless newer ones
// are known.
func (f *Follower) Update(defaults map[string]Defaults, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.defaults == nil || at.After(f.confirmedAt) && !f.isOlderLocked(defaults) {
		f.defaults, f.confirmedAt = defaults, at
	}
}

// isOlderLocked reports whether default versions are of an earlier revision than those that are known. A former
// holder of the lease may confirm them.
func (f *Follower) isOlderLocked(defaults map[string]Defaults) bool {
	for service, d := range defaults {
		if d.Revision != 0 && d.Revision < f.defaults[service].Revision {
			return true
		}
	}
	return false
}

// RecordContact records that the holder of the lease has had a report of this instance at a time.
func (f *Follower) RecordContact(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.contactAt) {
		f.contactAt = at
	}
}

// ContactAge returns the time since the holder had a report, false if there was none within maxAge.
func (f *Follower) ContactAge(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.contactAt)
	return age, age < maxAge
}

// Revisions returns the revisions of the default versions that this instance follows, by service.
func (f *Follower) Revisions(now time.Time) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int64)
	if now.Sub(f.confirmedAt) < maxAge {
		for service, d := range f.defaults {
			out[service] = d.Revision
		}
	}
	return out
}

// Confirm records that the holder had no others at a time.
func (f *Follower) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.defaults != nil && at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// Known returns the default versions by service, and the time since they were confirmed. They must
// not be changed.
func (f *Follower) Known(now time.Time) (defaults map[string]Defaults, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age = now.Sub(f.confirmedAt)
	return f.defaults, age, f.defaults != nil && age < maxAge
}

// Default returns the default version of a model as far as it is known without a read.
func (f *Follower) Default(service, model string, now time.Time) (string, State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.confirmedAt)
	if f.defaults == nil || age >= maxAge {
		return "", Unknown
	}
	d, ok := f.defaults[service]
	if !ok {
		if age >= absenceAge {
			return "", Unknown
		}
		return "", Absent
	}
	v, ok := d.of(model)
	if !ok || now.Sub(f.contactAt) >= maxAge {
		return "", Unknown
	}
	return v, Known
}

// IsOther reports whether the default version that was last known of a model is another one than a version.
func (f *Follower) IsOther(service, model, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.defaults[service].of(model)
	return ok && v != version
}

func (d Defaults) of(model string) (string, bool) {
	v, ok := d.Versions[model]
	if !ok {
		v, ok = d.Versions[""]
	}
	return v, ok
}

// Find is Default after a read of the log, if one is needed.
func (f *Follower) Find(ctx context.Context, service, model string) (string, State) {
	v, state := f.Default(service, model, time.Now())
	if state != Unknown {
		return v, state
	}
	began := time.Now()
	if _, ok := f.ContactAge(began); !ok {
		return "", Unknown // also after a read
	}
	if _, err := f.read(ctx, began); err != nil {
		return "", Unknown
	}
	return f.Default(service, model, time.Now())
}

// Origin returns the version at which a stream without a record began, and the era of the log in which that
// holds. It reads the log. The error says why the version is not known.
func (f *Follower) Origin(ctx context.Context, service, model string) (version string, era int64, err error) {
	s, err := f.read(ctx, time.Now())
	if err != nil {
		return "", 0, err
	}
	version, err = s.Tables[service].Origin(model, s.Era)
	return version, s.Era, err
}

func (f *Follower) read(ctx context.Context, began time.Time) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	s, err := f.Load(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	defaults := make(map[string]Defaults, len(s.Tables))
	for service, t := range s.Tables {
		defaults[service] = t.Defaults()
	}
	f.Update(defaults, began)
	return s, nil
}
