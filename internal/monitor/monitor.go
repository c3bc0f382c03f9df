// Package monitor keeps what the upstreams report and what this instance
// knows of them beyond the reports.
//
// Reports lag. The load of an upstream is its last report plus what this
// instance has sent since. An upstream is out of use as soon as anything says
// so: the list, its own report, or a refused connection; it is in use again
// only by its own word.
package monitor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
)

// Defaults of a Monitor.
const (
	DefaultInterval = 200 * time.Millisecond
	// DefaultStaleAfter is the age at which a report says nothing any more.
	DefaultStaleAfter = 2 * time.Second
)

// View is an upstream as this instance sees it. Reports are never changed in place.
type View struct {
	Config *recordv1.Upstream
	Report *upstreamv1.ReportResponse // nil before the first
	Heard  time.Time
	// Failed is when the last attempt or report failed, zero after a newer report.
	Failed time.Time
	// Outstanding is what this instance has sent and not heard the end of.
	Outstanding int
	// SentSince is what this instance has sent since the last report.
	SentSince int
}

// IsUsable reports whether new work may go to the upstream at the given time.
func (v View) IsUsable(now time.Time) bool {
	return v.Report != nil && !v.Report.GetLeaving() && v.Failed.IsZero() && now.Sub(v.Heard) < DefaultStaleAfter
}

// Load returns the requests that run or wait at the upstream, as far as known.
func (v View) Load() int {
	reported := int(v.Report.GetRunning() + v.Report.GetQueued())
	return max(reported+v.SentSince, v.Outstanding)
}

// Monitor polls the upstreams. Upstreams and HTTP must be set before Run.
type Monitor struct {
	// Upstreams returns the upstreams in force.
	Upstreams func() map[string]*recordv1.Upstream
	HTTP      *http.Client
	Interval  time.Duration

	mu      sync.RWMutex
	views   map[string]View
	changed chan struct{}
}

// View returns the upstream with the given name.
func (m *Monitor) View(name string) (View, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.views[name]
	return v, ok
}

// Views returns all upstreams by name.
func (m *Monitor) Views() map[string]View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]View, len(m.views))
	for k, v := range m.views {
		out[k] = v
	}
	return out
}

// Changed returns a channel that is closed at the next report or end of an attempt.
func (m *Monitor) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

func (m *Monitor) update(name string, f func(View) View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.views[name]
	if !ok {
		return
	}
	m.views[name] = f(v)
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// Begin counts an attempt on an upstream. The returned function ends it.
func (m *Monitor) Begin(name string) func() {
	m.update(name, func(v View) View {
		v.Outstanding++
		v.SentSince++
		return v
	})
	return func() {
		m.update(name, func(v View) View {
			v.Outstanding--
			return v
		})
	}
}

// Fail puts an upstream out of use until its next report.
func (m *Monitor) Fail(name string) {
	m.update(name, func(v View) View {
		v.Failed = time.Now()
		return v
	})
}

// Run polls until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	interval := m.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := make(map[string]bool)
	var busyMu sync.Mutex
	for {
		for name, u := range m.syncConfig() {
			busyMu.Lock()
			skip := busy[name]
			busy[name] = true
			busyMu.Unlock()
			if skip {
				continue
			}
			wg.Go(func() {
				m.poll(ctx, u)
				busyMu.Lock()
				delete(busy, name)
				busyMu.Unlock()
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// syncConfig takes over the upstreams in force.
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
		}
	}
	for name, u := range ups {
		v := m.views[name]
		if v.Config.GetAddress() != u.GetAddress() {
			v = View{}
		}
		v.Config = u
		m.views[name] = v
	}
	return ups
}

func (m *Monitor) poll(ctx context.Context, u *recordv1.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	asked := time.Now()
	resp, err := upstreamv1connect.NewEngineQueriesClient(m.HTTP, "http://"+u.GetAddress()).
		Report(ctx, connect.NewRequest(&upstreamv1.ReportRequest{}))
	m.update(u.GetName(), func(v View) View {
		if err != nil {
			v.Failed = time.Now()
			return v
		}
		return withReport(v, resp.Msg, asked)
	})
}

// withReport takes over a report that is newer than the last one. A report
// clears a failure only if it was asked for after the failure.
func withReport(v View, r *upstreamv1.ReportResponse, asked time.Time) View {
	same := v.Report.GetIncarnation() == r.GetIncarnation()
	if same && r.GetSequence() < v.Report.GetSequence() {
		return v
	}
	if !same || r.GetSequence() != v.Report.GetSequence() {
		v.SentSince = 0
	}
	v.Report = r
	v.Heard = time.Now()
	if asked.After(v.Failed) {
		v.Failed = time.Time{}
	}
	return v
}
