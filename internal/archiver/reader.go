package archiver

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

const (
	// reloadInterval is how old the last load may be at most for a stream to count as not
	// saved.
	reloadInterval = 500 * time.Millisecond
	// loadTimeout bounds a load. Client requests wait for it.
	loadTimeout = 500 * time.Millisecond
)

// Reader loads the saved origins into a Tracker. Its exported fields must be set.
type Reader struct {
	Store   Store
	Tracker *streamtracker.Tracker
	Log     *zap.Logger
	Metrics *Metrics

	mu       sync.Mutex
	loadedAt time.Time
	// malformed is the error of a slot that the last load could not read, nil for none.
	malformed error
	running   *load
}

// load is a load that runs, for which several requests may wait.
type load struct {
	done chan struct{}
	err  error
}

// Load makes the tracker know all origins that were saved until reloadInterval ago.
func (r *Reader) Load(ctx context.Context) error {
	r.mu.Lock()
	if !r.loadedAt.IsZero() && time.Since(r.loadedAt) < reloadInterval {
		r.mu.Unlock()
		return nil
	}
	if r.running == nil {
		r.running = &load{done: make(chan struct{})}
		// The load outlives the request that starts it, since others wait for it as well.
		go r.run(context.WithoutCancel(ctx), r.running)
	}
	l := r.running
	r.mu.Unlock()
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LoadSince makes the tracker know all origins that were saved before a time. It returns an error if some of
// them cannot be read: a stream without a record may be one of these.
func (r *Reader) LoadSince(ctx context.Context, at time.Time) error {
	for {
		r.mu.Lock()
		if !r.loadedAt.Before(at) {
			defer r.mu.Unlock()
			return r.malformed
		}
		if r.running == nil {
			r.running = &load{done: make(chan struct{})}
			go r.run(context.WithoutCancel(ctx), r.running)
		}
		l := r.running
		r.mu.Unlock()
		select {
		case <-l.done:
			if l.err != nil {
				return l.err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Reader) run(ctx context.Context, l *load) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	began := time.Now()
	batches, malformed, _, err := r.Store.Load(ctx)
	logMalformed(r.Log, malformed)
	numStreams := 0
	for _, b := range batches {
		for _, o := range b {
			if isStorable(o) {
				r.Tracker.Record(o, began)
				numStreams++
			}
		}
	}
	result := "failed"
	if err == nil {
		result = "loaded"
		r.Log.Info("saved origins of streams loaded", zap.Int("batches", len(batches)), zap.Int("streams", numStreams), zap.Duration("took", time.Since(began)))
	}
	r.Metrics.loads.WithLabelValues(result).Inc()
	r.mu.Lock()
	if err == nil {
		r.loadedAt, r.malformed = began, nil
		for _, err := range malformed {
			if m := (MalformedError{}); errors.As(err, &m) {
				r.malformed = m
			}
		}
	}
	l.err, r.running = err, nil
	r.mu.Unlock()
	close(l.done)
}
