package streamtracker

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// saveInterval is the least time between two rounds of a saver.
	saveInterval = 200 * time.Millisecond
	// checkInterval is the longest time between two rounds.
	checkInterval = 2 * time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 800 * time.Millisecond
)

// ErrConflict is returned by Store.Save if the log has changed since it was read.
var ErrConflict = errors.New("another instance has changed the software versions")

// Store keeps the software versions of services in the platform's log.
type Store struct {
	// Load returns the saved versions by service, the errors of records that are malformed, and the end of the log.
	Load func(context.Context) (versions map[string][]string, malformed []error, end sequencer.Position, err error)
	// Save replaces the versions of services if the log still ends at a position, and returns its end after that.
	// Otherwise it returns ErrConflict. So a call of a former holder that is carried out late replaces nothing.
	Save func(context.Context, map[string][]string, sequencer.Position) (sequencer.Position, error)
}

// LoadService returns the saved versions of a service, to be merged into a History. What is
// saved is complete: the holder of the lease saves each change before upstreams of a new
// version have a model loaded. Without a record nothing is known: it may not have been accepted, or the
// log may have come back from a copy that is older than it.
func (s Store) LoadService(ctx context.Context, service string) (Versions, error) {
	all, _, _, err := s.Load(ctx)
	if err != nil {
		return Versions{}, err
	}
	list, ok := all[service]
	if !ok {
		return Versions{}, nil
	}
	return savedVersions(list), nil
}

func savedVersions(list []string) Versions {
	v := Versions{Ages: make(map[string]time.Duration), Covered: StreamMemory}
	for _, x := range list {
		v.Ages[x] = 0
	}
	return v
}

// Saver saves the versions of a History while this instance holds the lease. Its exported
// fields must be set before Run.
type Saver struct {
	History  *History
	Store    Store
	IsHolder func() bool
	Log      *zap.Logger

	wake       chan struct{}
	isRestored atomic.Bool
	saved      map[string][]string // nil if not known
	end        sequencer.Position  // of the log after that
}

// NewSaver returns a saver.
func NewSaver(h *History, s Store, isHolder func() bool, log *zap.Logger) *Saver {
	return &Saver{History: h, Store: s, IsHolder: isHolder, Log: log, wake: make(chan struct{}, 1)}
}

// Wake saves changes soon.
func (s *Saver) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run saves changes until ctx ends.
func (s *Saver) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if err := s.round(ctx); err != nil {
			s.Log.Warn("software versions not saved", logger.Error(err))
		}
		sleeper.Sleep(ctx, saveInterval)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-s.wake:
		}
	}
}

// round saves the versions that differ from the saved ones, after it has merged those into
// the history: a holder that has just started does not know the versions of before.
func (s *Saver) round(ctx context.Context) error {
	if s.isRestored.Swap(false) || !s.IsHolder() {
		s.saved = nil
	}
	if !s.IsHolder() {
		return nil
	}
	if s.saved == nil {
		lctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		saved, malformed, end, err := s.Store.Load(lctx)
		if err != nil {
			return err
		}
		for _, err := range malformed {
			s.Log.Warn("saved software versions are malformed", logger.Error(err))
		}
		s.saved, s.end = make(map[string][]string), end
		for service, list := range saved {
			s.saved[service] = slices.Sorted(slices.Values(list))
			s.History.Merge(service, savedVersions(list), time.Now())
		}
	}
	changed := make(map[string][]string)
	for service, list := range s.History.All(time.Now()) {
		if !slices.Equal(list, s.saved[service]) {
			changed[service] = list
		}
	}
	if len(changed) == 0 {
		return nil
	}
	sctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	end, err := s.Store.Save(sctx, changed, s.end)
	if err != nil {
		s.saved = nil // whether it was saved is not known
		if errors.Is(err, ErrConflict) {
			s.Wake()
		}
		return err
	}
	s.end = end
	maps.Copy(s.saved, changed)
	s.Log.Info("software versions saved", zap.Any("versions", changed))
	return nil
}

// RecordRestore makes the saver read what is saved again: the platform's log came back from
// an older copy.
func (s *Saver) RecordRestore() {
	s.isRestored.Store(true)
	s.Wake()
}
