package versioner

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// roundInterval is the time between two rounds of a maintainer.
	roundInterval = 200 * time.Millisecond
	// storeTimeout bounds a call to the log.
	storeTimeout = 800 * time.Millisecond
	// trustDelay is the time from a new table until it is trusted if no stream may be without a
	// record: by then no instance takes it for absent.
	trustDelay = 2 * time.Second
	// formerHolderTime is how long a former holder of the lease may confirm an older table.
	formerHolderTime = 10 * time.Second
)

// ErrConflict is returned by Store.Save if the log has changed since it was read.
var ErrConflict = errors.New("another instance has changed the default versions")

// Store keeps tables in the platform's log.
type Store struct {
	// Load returns the tables by service, the errors of records that are malformed, and the end of the
	// log.
	Load func(context.Context) (tables map[string]Table, malformed []error, end sequencer.Position, err error)
	// Save saves tables if the log still ends at a position, and returns its end after that. Otherwise it
	// returns ErrConflict.
	Save func(context.Context, map[string]Table, sequencer.Position) (sequencer.Position, error)
}

// Snapshot reads the tables.
func (s Store) Snapshot(ctx context.Context) (Snapshot, error) {
	tables, _, end, err := s.Load(ctx)
	return Snapshot{tables, end.Era}, err
}

// Service is what is registered of a service.
type Service struct {
	Replicas Replicas
	// IsSingle says that all streams that may still be taken up began at one version.
	IsSingle bool
}

// Maintainer maintains the tables while its instance holds the lease. Its exported fields must be set.
type Maintainer struct {
	Store    Store
	IsHolder func() bool
	// IsFirst reports whether no instance has held the lease before this one.
	IsFirst func() bool
	// Services returns the services whose streams can be taken up, nil while upstreams may be missing.
	Services func() map[string]Service
	// AllFollow reports whether all live instances follow default versions.
	AllFollow func() bool
	// StreamTime is how long a stream may last at most.
	StreamTime time.Duration
	// OnChange is called after the tables have changed.
	OnChange func()
	Log      *zap.Logger

	isRestored atomic.Bool
	mu         sync.Mutex
	// tables are those that are saved, nil if not known, and defaults their default versions.
	tables   map[string]Table
	defaults map[string]Defaults
	// followers are the instances that have reported to this one while it held the lease, by incarnation.
	followers map[string]following

	// The rest is used by Run alone.
	end      sequencer.Position
	terms    map[string]term      // of the tables that are not trusted, by service
	heldAt   time.Time            // from when on this instance has held the lease, zero if it does not
	formerAt map[former]time.Time // when they were first seen
}

// term says when a table is to be trusted.
type term struct {
	since time.Time
	delay time.Duration
}

// following says what an instance has last reported.
type following struct {
	at time.Time
	// settled holds, by service, the revision of the default versions for which all its origins are saved.
	settled map[string]int64
}

// former is a former default version.
type former struct{ service, model, version string }

// retention is how long a stream may be taken up that an instance began by an older table.
func (m *Maintainer) retention() time.Duration { return maxAge + formerHolderTime + m.StreamTime }

// RecordReport records that an instance has saved the origins of all streams that began there before it followed
// revisions of default versions, which are given by service.
func (m *Maintainer) RecordReport(incarnation string, settled map[string]int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.followers == nil {
		m.followers = make(map[string]following)
	}
	m.followers[incarnation] = following{now, settled}
}

// isSettled reports whether no stream without a record can have begun at a former default version of a service
// that has a revision: all instances that may have begun one have saved theirs.
func (m *Maintainer) isSettled(service string, revision int64, now time.Time) bool {
	if !m.IsFirst() && now.Sub(m.heldAt) < m.retention() {
		return false // instances that have ended before are not known
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	numSettled := 0
	for incarnation, f := range m.followers {
		switch {
		case now.Sub(f.at) >= m.retention():
			delete(m.followers, incarnation)
		case f.settled[service] != revision:
			return false
		default:
			numSettled++
		}
	}
	return numSettled > 0
}

// Defaults returns the default versions by service, and false if they are not known. They must not be changed.
func (m *Maintainer) Defaults() (map[string]Defaults, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.defaults, m.tables != nil
}

// publish replaces what is known of the log.
func (m *Maintainer) publish(tables map[string]Table, end sequencer.Position) {
	defaults := make(map[string]Defaults, len(tables))
	for service, t := range tables {
		defaults[service] = t.Defaults()
	}
	m.mu.Lock()
	m.tables, m.defaults = tables, defaults
	m.mu.Unlock()
	m.end = end
	m.OnChange()
}

// RecordRestore makes the maintainer read the tables again: the log came back from an older copy.
func (m *Maintainer) RecordRestore() { m.isRestored.Store(true) }

// Run maintains the tables until ctx ends.
func (m *Maintainer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.Maintain(ctx, time.Now()); err != nil {
			m.Log.Info("default versions not maintained", logger.Error(err))
		}
		sleeper.Sleep(ctx, roundInterval)
	}
}

// Maintain saves what has changed, if this instance holds the lease. Run calls it.
func (m *Maintainer) Maintain(ctx context.Context, now time.Time) error {
	if m.isRestored.Swap(false) || !m.IsHolder() {
		m.forget()
	}
	if !m.IsHolder() {
		m.heldAt = time.Time{}
		return nil
	}
	if m.heldAt.IsZero() {
		m.heldAt = now
	}
	m.mu.Lock()
	isKnown := m.tables != nil
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !isKnown {
		if err := m.load(ctx, now); err != nil {
			return err
		}
	}
	changed := m.plan(m.Services(), now)
	if len(changed) == 0 {
		return nil
	}
	end, err := m.Store.Save(ctx, changed, m.end)
	if err != nil {
		m.forget() // whether they were saved is not known
		return err
	}
	tables := maps.Clone(m.tables)
	maps.Copy(tables, changed)
	for service, t := range changed {
		m.Log.Info("default versions saved", zap.String("service", service), zap.Any("versions", t.Versions), zap.Int64("revision", t.Revision), zap.Bool("trusted", t.IsTrusted), zap.Int64("era", t.Era))
	}
	m.publish(tables, end)
	return nil
}

// forget drops what is known of the log.
func (m *Maintainer) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tables = nil
}

func (m *Maintainer) load(ctx context.Context, now time.Time) error {
	tables, malformed, end, err := m.Store.Load(ctx)
	if err != nil {
		return err
	}
	for _, err := range malformed {
		m.Log.Warn("default versions are malformed", logger.Error(err))
	}
	// Terms of this instance's own hold only for what it has watched without a gap.
	m.terms, m.formerAt = make(map[string]term), make(map[former]time.Time)
	for service := range tables {
		m.terms[service] = term{now, m.retention()}
	}
	m.publish(tables, end)
	return nil
}

// plan returns the tables that are to be saved.
func (m *Maintainer) plan(services map[string]Service, now time.Time) map[string]Table {
	isFirst, allFollow := m.IsFirst(), m.AllFollow()
	changed := make(map[string]Table)
	for service, s := range services {
		saved, ok := m.tables[service]
		if !ok {
			delay := m.retention()
			if isFirst || s.IsSingle {
				delay = trustDelay
			}
			m.terms[service] = term{now, delay}
			if t := NewTable(s.Replicas, m.end.Era).WithRevisionAfter(Table{}); len(t.Versions) > 0 {
				changed[service] = t
			}
			continue
		}
		if t := m.next(service, saved, s, allFollow, now); !t.Equal(saved) {
			changed[service] = t
		}
	}
	return changed
}

// next returns a table after a round.
func (m *Maintainer) next(service string, t Table, s Service, allFollow bool, now time.Time) Table {
	if t.Era != m.end.Era || !allFollow {
		m.terms[service] = term{now, m.retention()}
		t = t.WithTrust(false, m.end.Era)
	}
	saved := t
	t = t.Next(s.Replicas).WithRevisionAfter(saved)
	if t.Revision == saved.Revision && t.HasFormer() && allFollow && m.isSettled(service, t.Revision, now) {
		m.Log.Info("former default versions dropped", zap.String("service", service), zap.Any("versions", t.Versions), zap.Int64("revision", t.Revision))
		t = t.WithoutFormers()
	}
	for model, list := range t.Versions {
		for _, v := range list[1:] {
			key := former{service, model, v}
			at, ok := m.formerAt[key]
			if !ok {
				m.formerAt[key] = now
			} else if now.Sub(at) >= m.retention() {
				delete(m.formerAt, key)
				t = t.WithoutFormer(model, v)
			}
		}
		if len(list) > 0 {
			delete(m.formerAt, former{service, model, list[0]})
		}
	}
	if term := m.terms[service]; !t.IsTrusted && now.Sub(term.since) >= term.delay {
		t = t.WithTrust(true, m.end.Era)
	}
	return t
}
