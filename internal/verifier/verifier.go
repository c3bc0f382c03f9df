package verifier

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// requestTimeout bounds a request for the state of an upstream. Upstreams that are busy state it
	// late, although they respond to requests at once.
	requestTimeout = 2 * time.Second
	// silenceTimeout is the time without a state after which the registrations may prove a process.
	silenceTimeout = 400 * time.Millisecond
)

// Verifier requests the states of upstreams. Its exported fields must be set.
type Verifier struct {
	Upstreams *registrar.Table
	// StartOf requests when the process of an upstream started, in Unix milliseconds. It returns
	// 0 if the upstream does not state it.
	StartOf func(ctx context.Context, u *registrar.Upstream) (int64, error)
	Log     *zap.Logger
	Metrics *Metrics

	mu       sync.Mutex
	requests map[registrar.Incarnation]*request // in flight
}

// Metrics counts the requests.
type Metrics struct{ requests *prometheus.CounterVec }

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "primrosedrift_verified_processes_total",
		Help: "Requests for the start time of an upstream's process, by what they show: registered, other or unknown.",
	}, []string{"result"})}
	r.MustRegister(m.requests)
	return m
}

type request struct {
	sentAt time.Time
	done   chan struct{}
	// isUnanswered says, after done is closed, that no state has come.
	isUnanswered bool
}

// IsProven reports whether a connection that was opened at a time is known to lead to the
// registered process of an upstream.
func (v *Verifier) IsProven(u *registrar.Upstream, openedAt time.Time) bool {
	return v.Upstreams.WasAlive(u.Incarnation(), openedAt)
}

// Verify is IsProven after the state of the upstream was requested. If the upstream does not respond,
// the process may have ended: it was the registered one if no other has registered since. Verify
// reports false if ctx ends before that is known. The request goes on, and what it shows counts for
// later calls.
func (v *Verifier) Verify(ctx context.Context, u *registrar.Upstream, openedAt time.Time) bool {
	for !v.IsProven(u, openedAt) {
		if v.Upstreams.IsReplaced(u.Incarnation()) {
			return false // the process has ended
		}
		r := v.join(u, openedAt)
		if r == nil {
			return true
		}
		isSentAfter := !r.sentAt.Before(openedAt)
		if isSentAfter && r.isSilent(ctx) && v.Upstreams.HadNoSuccessor(u.Incarnation(), openedAt) {
			return true
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return v.IsProven(u, openedAt)
		}
		if isSentAfter {
			return v.IsProven(u, openedAt) || r.isUnanswered && v.Upstreams.HadNoSuccessor(u.Incarnation(), openedAt)
		}
	}
	return true
}

// isSilent waits for the state, and reports whether none has come within silenceTimeout.
func (r *request) isSilent(ctx context.Context) bool {
	timer := time.NewTimer(time.Until(r.sentAt.Add(silenceTimeout)))
	defer timer.Stop()
	select {
	case <-r.done:
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// join returns the request for the state of an upstream that is in flight, or a new one. It returns nil
// if the last one has brought the proof meanwhile. The table of upstreams is locked after mu.
func (v *Verifier) join(u *registrar.Upstream, openedAt time.Time) *request {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := u.Incarnation()
	if r := v.requests[i]; r != nil {
		return r
	}
	if v.IsProven(u, openedAt) {
		return nil
	}
	if v.requests == nil {
		v.requests = make(map[registrar.Incarnation]*request)
	}
	r := &request{sentAt: time.Now(), done: make(chan struct{})}
	v.requests[i] = r
	go v.run(u, r)
	return r
}

func (v *Verifier) run(u *registrar.Upstream, r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout) // others wait for it as well
	defer cancel()
	started, err := v.StartOf(ctx, u)
	result := "unknown"
	r.isUnanswered = err != nil
	switch {
	case err != nil || started == 0:
		v.Log.Info("process of an upstream not verified", zap.String("upstream", u.ID), zap.Int64("born", u.StartedAtMs), logger.Error(err))
	case started == u.StartedAtMs:
		result = "registered"
		v.Upstreams.RecordAlive(u.Incarnation(), r.sentAt)
	default:
		result = "other"
		v.Log.Warn("another process responds than the registered one", zap.String("upstream", u.ID), zap.Int64("born", u.StartedAtMs), zap.Int64("reported-born", started))
		v.Upstreams.ConfirmRestart(u.Incarnation(), time.Now())
	}
	v.Metrics.requests.WithLabelValues(result).Inc()
	v.mu.Lock()
	delete(v.requests, u.Incarnation())
	v.mu.Unlock()
	close(r.done)
}
