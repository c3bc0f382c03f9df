package archiver

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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
	// localIntervalPerInstance is the time between two appends of an instance's own, by the number of
	// instances, so that all together make 100 a second at most.
	localIntervalPerInstance = 10 * time.Millisecond
	// retryInterval is the time between two calls after a failure, and sendTimeout bounds a
	// call. The holder waits for the log meanwhile.
	retryInterval = 500 * time.Millisecond
	sendTimeout   = 1500 * time.Millisecond
	// slowSaveTime is the time without a response of the holder from which on it counts as failed.
	slowSaveTime = 300 * time.Millisecond
	// failureTime is how long a failure counts if no later call says otherwise. Nothing may be left to
	// be sent.
	failureTime = time.Second
	// maxUnsaved bounds the origins that wait at an instance. The oldest are dropped.
	maxUnsaved = 8192
)

// errNotStorable is returned for an origin whose texts are too long, or that nothing has proven.
var errNotStorable = errors.New("the origin cannot be saved")

// Sender sends the origins of an instance to the holder of the lease until they are saved. Where the holder does
// not save them the instance does. Its exported fields must be set.
type Sender struct {
	// Send sends origins to the holder. It returns nil once they are saved.
	Send func(context.Context, []streamtracker.Origin) error
	// HasHolder reports whether the holder responds, as far as is known, nil if it always does.
	HasHolder func() bool
	// SaveLocally saves origins by a call of this instance to the log, nil if only the holder saves.
	SaveLocally func(context.Context, []streamtracker.Origin) error
	// NumInstances returns the number of live instances.
	NumInstances func() int
	Log          *zap.Logger
	Metrics      *Metrics

	mu      sync.Mutex
	unsaved []unsaved
	wake    chan struct{}
	// failedAt is when the last call failed, zero if it did not, and sentAt is when the present one began.
	failedAt, sentAt time.Time
}

type unsaved struct {
	streamtracker.Origin
	until time.Time
	saved chan struct{} // closed once it is saved, nil if nobody waits for it
}

// Add saves origins soon.
func (s *Sender) Add(list ...streamtracker.Origin) {
	now := time.Now()
	s.mu.Lock()
	for _, o := range list {
		if isStorable(o) {
			s.unsaved = append(s.unsaved, unsaved{Origin: o, until: now.Add(o.TTL)})
		}
	}
	s.dropOldestLocked()
	s.mu.Unlock()
	s.notify()
}

// Save saves an origin and returns once it is saved.
func (s *Sender) Save(ctx context.Context, o streamtracker.Origin) error {
	return s.SaveAll(ctx, []streamtracker.Origin{o})
}

// SaveAll saves origins and returns once they are saved.
func (s *Sender) SaveAll(ctx context.Context, list []streamtracker.Origin) error {
	now := time.Now()
	waiting := make([]unsaved, 0, len(list))
	for _, o := range list {
		if !isStorable(o) {
			return errNotStorable
		}
		waiting = append(waiting, unsaved{o, now.Add(o.TTL), make(chan struct{})})
	}
	s.mu.Lock()
	s.unsaved = append(s.unsaved, waiting...)
	s.dropOldestLocked()
	s.mu.Unlock()
	s.notify()
	for _, u := range waiting {
		select {
		case <-u.saved:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "origin not saved")
		}
	}
	return nil
}

// IsSaving reports whether origins are saved, as far as the last call and the present one say.
func (s *Sender) IsSaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return (s.failedAt.IsZero() || time.Since(s.failedAt) >= failureTime) && (s.sentAt.IsZero() || time.Since(s.sentAt) < slowSaveTime)
}

func (s *Sender) dropOldestLocked() {
	if n := len(s.unsaved) - maxUnsaved; n > 0 {
		s.unsaved = append([]unsaved(nil), s.unsaved[n:]...)
		s.Metrics.origins.WithLabelValues("dropped").Add(float64(n))
	}
}

func (s *Sender) notify() {
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
	s.beginCall()
	isLocal, err := s.call(ctx, out)
	s.endCall(err)
	if err != nil {
		s.Log.Info("origins of streams not saved", zap.Int("streams", len(out)), logger.Error(err))
		s.Metrics.origins.WithLabelValues("failed").Add(float64(len(out)))
		s.putBack(list)
		sleeper.Sleep(ctx, retryInterval)
		return true
	}
	for _, u := range list {
		if u.saved != nil {
			close(u.saved)
		}
	}
	s.Metrics.origins.WithLabelValues("saved").Add(float64(len(out)))
	interval := sendIntervalPerInstance
	if isLocal {
		interval = localIntervalPerInstance
	}
	sleeper.Sleep(ctx, max(minSendInterval, time.Duration(s.NumInstances())*interval))
	return true
}

// call has the holder save origins. If it does not, or does not respond, this instance saves them.
func (s *Sender) call(ctx context.Context, list []streamtracker.Origin) (isLocal bool, err error) {
	if s.HasHolder == nil || s.HasHolder() {
		sctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		if err = s.Send(sctx, list); err == nil || s.SaveLocally == nil {
			return false, err
		}
	}
	if lerr := s.SaveLocally(ctx, list); lerr != nil {
		return false, errors.CombineErrors(err, lerr)
	}
	return true, nil
}

func (s *Sender) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt = time.Now()
}

func (s *Sender) endCall(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt, s.failedAt = time.Time{}, time.Time{}
	if err != nil {
		s.failedAt = time.Now()
	}
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
