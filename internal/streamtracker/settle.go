package streamtracker

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// settleInterval is the time between two checks for changed default versions.
	settleInterval = 100 * time.Millisecond
	// settleTimeout bounds one try to save the origins of a service.
	settleTimeout = 3 * time.Second
	// settleRetryInterval is the time between two tries.
	settleRetryInterval = time.Second
)

// Settler saves the origins of the streams that began at its instance before the default versions changed. Once
// all instances have saved theirs, a stream without a record began at the new default version. Its exported
// fields must be set.
type Settler struct {
	Keeper *Keeper
	// SaveAll saves origins and returns once they are saved.
	SaveAll func(context.Context, []Origin) error
	// OnSettled, if set, is called when the origins of a service have been saved.
	OnSettled func()

	mu      sync.Mutex
	settled map[string]int64     // revision of the default versions, by service
	retryAt map[string]time.Time // by service; used by Run alone
}

// Settled returns, by service, the revisions of default versions that the instance follows and for which all
// origins are saved of the streams that began there before.
func (s *Settler) Settled(now time.Time) map[string]int64 {
	followed := s.Keeper.Defaults.Revisions(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(followed, func(service string, revision int64) bool { return s.settled[service] != revision })
	return followed
}

// Run saves origins until ctx ends.
func (s *Settler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.settleAll(ctx)
		sleeper.Sleep(ctx, settleInterval)
	}
}

// settleAll saves the origins of the services whose default versions have changed.
func (s *Settler) settleAll(ctx context.Context) {
	now := time.Now()
	for service, revision := range s.Keeper.Defaults.Revisions(now) {
		s.mu.Lock()
		isSettled := s.settled[service] == revision
		s.mu.Unlock()
		if revision == 0 || isSettled || now.Before(s.retryAt[service]) {
			continue
		}
		if s.retryAt == nil {
			s.retryAt = make(map[string]time.Time)
		}
		s.retryAt[service] = now.Add(settleRetryInterval)
		// Streams that begin from here on follow this revision.
		numSaved, err := s.settle(ctx, service)
		s.Keeper.Log.Info("origins saved for changed default versions", zap.String("service", service), zap.Int64("revision", revision), zap.Int("streams", numSaved), logger.Error(err))
		if err != nil {
			continue
		}
		s.mu.Lock()
		if s.settled == nil {
			s.settled = make(map[string]int64)
		}
		s.settled[service] = revision
		s.mu.Unlock()
		if s.OnSettled != nil {
			s.OnSettled()
		}
	}
}

// settle saves the origins of all streams of a service that began here and may still be taken up.
func (s *Settler) settle(ctx context.Context, service string) (numSaved int, err error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, stream := range s.Keeper.unproven.streamsOf(service, time.Now()) {
		wg.Go(func() { s.Keeper.prove(ctx, stream, s.Keeper.sendSoon) })
	}
	wg.Wait()
	if n := len(s.Keeper.unproven.streamsOf(service, time.Now())); n > 0 {
		return 0, errUnproven
	}
	var list []Origin
	for _, o := range s.Keeper.Tracker.Unreceived(time.Now()) {
		if o.Service == service && o.IsBound && !o.IsUnproven {
			list = append(list, o)
		}
	}
	if len(list) == 0 {
		return 0, nil
	}
	return len(list), s.SaveAll(ctx, list)
}
