package archiver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

const (
	// minSendInterval is the least time between two calls to the holder. sendIntervalPerInstance
	// lengthens it with the number of instances, so that the holder gets 500 calls a second at
	// most.
	minSendInterval         = 25 * time.Millisecond
	sendIntervalPerInstance = 2 * time.Millisecond
	// retryInterval is the time between two calls after a failure, and sendTimeout bounds a
	// call. The holder waits for the log meanwhile.
	retryInterval = 500 * time.Millisecond
	sendTimeout   = 1500 * time.Millisecond
	// maxUnsaved bounds the origins that wait at an instance. The oldest are dropped.
	maxUnsaved = 8192
)

// Sender sends the origins of an instance to the holder of the lease until they are saved. Its
// exported fields must be set.
type Sender struct {
	// Send sends origins to the holder. It returns nil once they are saved.
	Send func(context.Context, []streamtracker.Origin) error
	// NumInstances returns the number of live instances.
	NumInstances func() int
	Log          *zap.Logger
	Metrics      *Metrics

	mu      sync.Mutex
	unsaved []unsaved
	wake    chan struct{}
}

type unsaved struct {
	streamtracker.Origin
	until time.Time
}

// Add saves origins soon.
func (s *Sender) Add(list ...streamtracker.Origin) {
	now := time.Now()
	s.mu.Lock()
	for _, o := range list {
		if isStorable(o) {
			s.unsaved = append(s.unsaved, unsaved{o, now.Add(o.TTL)})
		}
	}
	if n := len(s.unsaved) - maxUnsaved; n > 0 {
		s.unsaved = append([]unsaved(nil), s.unsaved[n:]...)
		s.Metrics.origins.WithLabelValues("dropped").Add(float64(n))
	}
	s.mu.Unlock()
	select {
	case s.wakeup() <- struct{}{}:
	default:
	}
}

func (s *Sender) wakeup() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

// Run sends until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup():
		}
		for ctx.Err() == nil && s.round(ctx) {
		}
	}
}

// round sends one batch and waits for the next. It reports whether origins are left.
func (s *Sender) round(ctx context.Context) bool {
	list := s.take(time.Now())
	if len(list) == 0 {
		return false
	}
	out := make([]streamtracker.Origin, 0, len(list))
	for _, u := range list {
		o := u.Origin
		o.TTL = time.Until(u.until)
		out = append(out, o)
	}
	sctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.Send(sctx, out); err != nil {
		s.Log.Info("origins of streams not saved", zap.Int("streams", len(out)), logger.Error(err))
		s.Metrics.origins.WithLabelValues("failed").Add(float64(len(out)))
		s.putBack(list)
		sleeper.Sleep(ctx, retryInterval)
		return true
	}
	s.Metrics.origins.WithLabelValues("saved").Add(float64(len(out)))
	sleeper.Sleep(ctx, max(minSendInterval, time.Duration(s.NumInstances())*sendIntervalPerInstance))
	return true
}

// take removes a batch of origins that have not expired.
func (s *Sender) take(now time.Time) (out []unsaved) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.unsaved) > 0 && len(out) < MaxBatch {
		if u := s.unsaved[0]; now.Before(u.until) {
			out = append(out, u)
		}
		s.unsaved = s.unsaved[1:]
	}
	return out
}

func (s *Sender) putBack(list []unsaved) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsaved = append(list, s.unsaved...)
}
