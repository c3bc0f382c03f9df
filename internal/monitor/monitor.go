// Package monitor keeps what the upstreams report and what this instance
// knows of them beyond the reports.
//
// Reports lag. The load of an upstream is what others had there at its last
// report plus what this instance has there now.
//
// The rules:
//
//   - An upstream is out of use as soon as anything says so: the list, its own
//     report, its refusal of an attempt, or a refused connection.
//   - It is in use again only by its own word: a report that was asked for
//     after the failure, or a newer incarnation.
//   - One that reports itself well and fails its attempts is kept back by a
//     breaker, whatever it reports.
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
	// DefaultStaleAfter is the age at which a report says nothing any more.
	DefaultStaleAfter = 2 * time.Second
	probeTimeout      = 500 * time.Millisecond
	strandedAfter     = time.Second
)

// Monitor polls the upstreams. Upstreams and HTTP must be set before Run.
type Monitor struct {
	// Upstreams returns the upstreams in force.
	Upstreams func() map[string]*recordv1.Upstream
	// Listed, if set, returns what the instance list says of an upstream.
	Listed   func(name string) *platformv1.Instance
	HTTP     *http.Client
	Interval time.Duration

	mu       sync.RWMutex
	views    map[string]View
	prefixes map[string]*prefixer.Memory
	changed  chan struct{}
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

// latencyWeight is the part of a new latency in the smoothed one.
const latencyWeight = 8

// Succeed notes an attempt that was answered, and its time to the first byte.
func (m *Monitor) Succeed(name string, firstByte time.Duration) {
	m.update(name, func(v View) View {
		v.Breaker = v.Breaker.WithSuccess()
		if v.Latency == 0 {
			v.Latency = firstByte
		}
		v.Latency += (firstByte - v.Latency) / latencyWeight
		return v
	})
}

// Fail notes an attempt that began at the given time and failed.
func (m *Monitor) Fail(name string, began time.Time) {
	m.update(name, func(v View) View {
		v.Breaker = v.Breaker.WithFailure(began, time.Now())
		return v
	})
}

// Unreachable puts an upstream out of use until it reports again.
func (m *Monitor) Unreachable(name string) {
	m.update(name, func(v View) View {
		return v.withFailure(time.Now())
	})
}

// Refused notes that an upstream said that it leaves.
func (m *Monitor) Refused(name string) {
	m.update(name, func(v View) View {
		v.Left = v.Report.GetIncarnation()
		return v
	})
}

// Leaving returns the incarnations of upstreams that are known to leave.
func (m *Monitor) Leaving() []string {
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

// PeerSays takes over which incarnations a peer knows to leave.
func (m *Monitor) PeerSays(leaving []string) {
	if len(leaving) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, v := range m.views {
		if slices.Contains(leaving, v.Report.GetIncarnation()) {
			v.Left = v.Report.GetIncarnation()
			m.views[name] = v
		}
	}
}

// Probe asks an upstream for its report now and returns whether the given
// incarnation still runs. An upstream that says nothing in time may run.
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
				_ = m.poll(ctx, u) // the view notes the failure
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
	if m.Listed == nil {
		return nil
	}
	return m.Listed(name)
}

func (m *Monitor) poll(ctx context.Context, u *recordv1.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	asked := time.Now()
	before, _ := m.View(u.GetName())
	resp, err := upstreamv1connect.NewEngineQueriesClient(m.HTTP, "http://"+u.GetAddress()).
		Report(ctx, connect.NewRequest(&upstreamv1.ReportRequest{}))
	m.update(u.GetName(), func(v View) View {
		if err != nil {
			return v.withFailure(time.Now())
		}
		v = withReport(v, resp.Msg, asked)
		v.Reported = before.Outstanding
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
