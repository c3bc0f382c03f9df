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
	defaults    map[string]map[string]string // by service and model, nil if not known
	confirmedAt time.Time
}

// Update replaces the default versions by those that the holder or the log had at a time, unless newer ones
// are known.
func (f *Follower) Update(defaults map[string]map[string]string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.defaults == nil || at.After(f.confirmedAt) {
		f.defaults, f.confirmedAt = defaults, at
	}
}

// Confirm records that the holder had no others at a time.
func (f *Follower) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.defaults != nil && at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// Known returns the default versions by service and model, and the time since they were confirmed. They must
// not be changed.
func (f *Follower) Known(now time.Time) (defaults map[string]map[string]string, age time.Duration, ok bool) {
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
	versions, ok := f.defaults[service]
	if !ok {
		if age >= absenceAge {
			return "", Unknown
		}
		return "", Absent
	}
	v, ok := versions[model]
	if !ok {
		v, ok = versions[""]
	}
	if !ok {
		return "", Unknown
	}
	return v, Known
}

// Find is Default after a read of the log, if one is needed.
func (f *Follower) Find(ctx context.Context, service, model string) (string, State) {
	v, state := f.Default(service, model, time.Now())
	if state != Unknown {
		return v, state
	}
	began := time.Now()
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
	defaults := make(map[string]map[string]string, len(s.Tables))
	for service, t := range s.Tables {
		defaults[service] = t.Defaults()
	}
	f.Update(defaults, began)
	return s, nil
}
