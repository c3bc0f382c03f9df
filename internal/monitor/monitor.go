// Package monitor polls the upstreams and keeps their reports, together with what
// this instance knows of them from its own attempts.
//
// Reports lag. The load of an upstream is the load of the other instances at its
// last report plus the requests that this instance has outstanding there now.
//
// The rules:
//
//   - An upstream is unusable as soon as one source shows it: the instance list,
//     its own report, its refusal of an attempt, or a refused connection.
//   - It becomes usable again only by its own report. After a failure, this is a
//     report that was requested after the failure. After the list, a peer or a
//     refusal has shown it as shutting down, this is a report of a newer
//     incarnation.
//   - An upstream that reports itself as healthy but fails its attempts is
//     excluded by a circuit breaker, whatever it reports.
package monitor

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/prefixer"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
)

// Defaults of a Monitor.
const (
	DefaultInterval = 200 * time.Millisecond
	// DefaultStaleAfter is the age from which a report is ignored.
	DefaultStaleAfter = 2 * time.Second
	probeTimeout      = 500 * time.Millisecond
	// replaceAfter is how long an upstream must fail before the replicas on it
	// are replaced.
	replaceAfter = time.Second
)

// Monitor polls the upstreams. Upstreams and HTTP must be set before Run.
type Monitor struct {
	// Upstreams returns the upstreams in force.
	Upstreams func() map[string]*recordv1.Upstream
	// ListedInstance, if set, returns the entry of an upstream in the instance list.
	ListedInstance func(name string) *platformv1.Instance
	HTTP           *http.Client
	Interval       time.Duration // between two reports; DefaultInterval if zero

	mu       sync.RWMutex
	views    map[string]View
	prefixes map[string]*prefixer.PrefixSet
	changed  chan struct{}
}

// View returns the view of the upstream with the given name.
func (m *Monitor) View(name string) (View, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.views[name]
	return v, ok
}

// Views returns the views of all upstreams by name.
func (m *Monitor) Views() map[string]View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]View, len(m.views))
	for k, v := range m.views {
		out[k] = v
	}
	return out
}

// Changed returns a channel that is closed at the next report of an upstream, and at
// the next start, end or result of an attempt.
func (m *Monitor) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// update replaces the view of an upstream and wakes the receivers of Changed.
func (m *Monitor) update(name string, f func(View) View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.views[name]
	if !ok {
		return
	}
	m.views[name] = f(v)
	m.notifyLocked()
}

// notifyLocked wakes the receivers of Changed.
func (m *Monitor) notifyLocked() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Begin counts an attempt on an upstream. The returned function counts its end.
func (m *Monitor) Begin(name string) func() {
	now := time.Now()
	m.update(name, func(v View) View {
		v.Outstanding++
		v.Breaker = v.Breaker.WithAttempt(now)
		return v
	})
	return func() {
		m.update(name, func(v View) View {
			v.Outstanding--
			return v
		})
	}
}

// latencyDivisor sets the weight of a new latency in the moving average to
// 1/latencyDivisor.
const latencyDivisor = 8

// RecordSuccess records a successful attempt and its time to the first byte.
func (m *Monitor) RecordSuccess(name string, firstByte time.Duration) {
	m.update(name, func(v View) View {
		v.Breaker = v.Breaker.WithSuccess()
		if v.Latency == 0 {
			v.Latency = firstByte
		}
		v.Latency += (firstByte - v.Latency) / latencyDivisor
		return v
	})
}

// RecordFailure records a failed attempt that started at the given time.
func (m *Monitor) RecordFailure(name string, startedAt time.Time) {
	m.update(name, func(v View) View {
		v.Breaker = v.Breaker.WithFailure(startedAt, time.Now())
		return v
	})
}

// MarkUnreachable makes an upstream unusable until it reports again.
func (m *Monitor) MarkUnreachable(name string) {
	m.update(name, func(v View) View {
		return v.withFailure(time.Now())
	})
}

// MarkLeaving records that an upstream refused an attempt because it is shutting
// down.
func (m *Monitor) MarkLeaving(name string) {
	m.update(name, func(v View) View {
		v.LeavingIncarnation = v.Report.GetIncarnation()
		return v
	})
}

// LeavingIncarnations returns the incarnations of upstreams that are shutting
// down.
func (m *Monitor) LeavingIncarnations() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []string
	for _, v := range m.views {
		if v.IsLeaving() {
			out = append(out, v.Report.GetIncarnation())
		}
	}
	return out
}

// RecordPeerLeaving records the incarnations that a peer reports as shutting down.
func (m *Monitor) RecordPeerLeaving(leaving []string) {
	if len(leaving) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	isNew := false
	for name, v := range m.views {
		if slices.Contains(leaving, v.Report.GetIncarnation()) && v.LeavingIncarnation != v.Report.GetIncarnation() {
			v.LeavingIncarnation = v.Report.GetIncarnation()
			m.views[name] = v
			isNew = true
		}
	}
	if isNew {
		m.notifyLocked()
	}
}

// Probe requests a report from an upstream now and returns whether the given
// incarnation is still running. It returns true if the upstream does not respond
// within probeTimeout, since it may be running.
func (m *Monitor) Probe(ctx context.Context, name, incarnation string) bool {
	v, ok := m.View(name)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := m.poll(ctx, v.Config); err != nil {
		return errors.Is(err, context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded
	}
	v, _ = m.View(name)
	return v.Report.GetIncarnation() == incarnation
}

// Run polls the upstreams until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	interval := m.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(map[string]bool)
	var inFlightMu sync.Mutex
	for {
		for name, u := range m.syncConfig() {
			inFlightMu.Lock()
			skip := inFlight[name]
			inFlight[name] = true
			inFlightMu.Unlock()
			if skip {
				continue
			}
			wg.Go(func() {
				_ = m.poll(ctx, u) // the view records the failure
				inFlightMu.Lock()
				delete(inFlight, name)
				inFlightMu.Unlock()
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// syncConfig updates the views to the upstreams in force and returns these.
func (m *Monitor) syncConfig() map[string]*recordv1.Upstream {
	ups := m.Upstreams()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.views == nil {
		m.views = make(map[string]View)
	}
	for name := range m.views {
		if ups[name] == nil {
			delete(m.views, name)
			delete(m.prefixes, name)
		}
	}
	for name, u := range ups {
		v := m.views[name]
		if v.Config.GetAddress() != u.GetAddress() {
			v = View{}
		}
		v.Config = u
		m.views[name] = v.withListed(m.listed(name))
	}
	return ups
}

func (m *Monitor) listed(name string) *platformv1.Instance {
	if m.ListedInstance == nil {
		return nil
	}
	return m.ListedInstance(name)
}

// poll requests a report from an upstream and updates its view.
func (m *Monitor) poll(ctx context.Context, u *recordv1.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	requestedAt := time.Now()
	before, _ := m.View(u.GetName())
	resp, err := upstreamv1connect.NewEngineQueriesClient(m.HTTP, "http://"+u.GetAddress()).
		Report(ctx, connect.NewRequest(&upstreamv1.ReportRequest{}))
	m.update(u.GetName(), func(v View) View {
		if err != nil {
			return v.withFailure(time.Now())
		}
		v = withReport(v, resp.Msg, requestedAt)
		v.OutstandingAtReport = before.Outstanding
		return v
	})
	if err != nil {
		return errors.Wrap(err, "report")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prefixLocked(u.GetName()).Observe(resp.Msg)
	return nil
}
