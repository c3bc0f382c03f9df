package queuer

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/pacer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// statementTTL is how long the upstreams of a service are chosen by pace after one of them
	// has stated how long its work takes. They state it in each response.
	statementTTL = 10 * time.Second
	// minModelPrior and maxModelPrior bound the pace that is assumed for a model by its size:
	// models differ in pace by a factor of up to 4.
	minModelPrior, maxModelPrior = 0.5, 2
	// maxPacedModels bounds the models of a service whose pace is kept.
	maxPacedModels = 1024
	// maxProbeRate and maxProbeBurst bound the probes of an instance: one costs about 0.2 ms of
	// a core, of which the smallest instances have 0.15.
	maxProbeRate, maxProbeBurst = 40, 20
)

// pacing is what a Table knows about the pace of upstreams. Services whose upstreams do not
// state how long their work takes have no entry.
type pacing struct {
	services  map[string]*servicePace
	upstreams map[string]*upstreamPace
	scratch   []paceCandidate
	probes    *rate.Limiter
	chosen    Choice
}

// servicePace is what is known about a service.
type servicePace struct {
	statedAt time.Time // when an upstream last stated how long its work takes
	shape    pacer.Service
	models   map[string]pacer.Model
	// maxPause is the least bound of the pauses of its streams, which holds for all requests:
	// they delay the streams that run on the same upstream.
	maxPause time.Duration
	// meanSizeMB is the mean size of the models of the configuration with the version.
	meanSizeMB float64
	version    int64
}

// upstreamPace is what is known about one incarnation of an upstream.
type upstreamPace struct {
	startedAtMs int64
	pacer.Upstream
}

// Choice says by what an upstream was chosen. It is zero if it was not chosen by its pace.
type Choice struct {
	pacer.Estimate
	// SlowdownAge is how old the upstream's statement of its slowdown was, -1 for none.
	SlowdownAge time.Duration
	// Running is how many requests were assumed to run there, TokensInFront the prompt tokens
	// of this instance that were not processed there.
	Running       float64
	TokensInFront int
	// Compared is the number of upstreams that were compared.
	Compared int
}

// paceOf returns what is known about a service whose upstreams have stated recently how long
// their work takes, nil for other services.
func (t *Table) paceOf(service string, now time.Time) *servicePace {
	p := t.pacing.services[service]
	if p == nil || now.Sub(p.statedAt) >= statementTTL {
		return nil
	}
	return p
}

// RecordLoad records the load that an upstream states in a response to this instance.
func (t *Table) RecordLoad(u *registrar.Upstream, l registrar.Load, now time.Time) {
	t.recordOthers(u, l, now)
	if l.Slowdown > 0 {
		p := t.pacing.services[u.Service]
		if p == nil {
			if t.pacing.services == nil {
				t.pacing = pacing{
					services: make(map[string]*servicePace), upstreams: make(map[string]*upstreamPace), probes: rate.NewLimiter(maxProbeRate, maxProbeBurst),
				}
			}
			p = &servicePace{models: make(map[string]pacer.Model)}
			t.pacing.services[u.Service] = p
		}
		p.statedAt, p.shape = now, p.shape.WithSlowdown(l.Slowdown)
	}
	if t.paceOf(u.Service, now) == nil {
		return
	}
	e := t.upstreamPaceOf(u)
	e.Upstream = e.WithOthers(l.Running+l.Waiting-t.running[u.ID], now)
	if l.Slowdown > 0 {
		e.Upstream = e.WithSlowdown(l.Slowdown, now)
	}
}

// RecordFirst records the time to the first event, or to the response of a plain service.
func (t *Table) RecordFirst(u *registrar.Upstream, req Request, took time.Duration, now time.Time) {
	if p := t.paceOf(u.Service, now); p != nil && took > 0 {
		e := t.upstreamPaceOf(u)
		x := pacer.Sample{Took: took, Tokens: req.Tokens, Running: max(0, float64(t.running[u.ID])+e.Others(u.NumPeerAttempts, now)-1)}
		var m pacer.Model
		p.shape, e.Upstream, m = pacer.LearnFirst(p.shape, e.Upstream, p.models[req.Model], x, now)
		p.keep(req.Model, m)
	}
}

// RecordPause records the mean pause between some events of a stream.
func (t *Table) RecordPause(u *registrar.Upstream, req Request, took time.Duration, now time.Time) {
	if p := t.paceOf(u.Service, now); p != nil && took > 0 {
		e := t.upstreamPaceOf(u)
		x := pacer.Sample{Took: took, Running: float64(t.running[u.ID]) + e.Others(u.NumPeerAttempts, now)}
		var m pacer.Model
		p.shape, e.Upstream, m = pacer.LearnPause(p.shape, e.Upstream, p.models[req.Model], x, now)
		p.keep(req.Model, m)
	}
}

// setMaxPause takes the bound of a stream's pauses into account.
func (p *servicePace) setMaxPause(bound time.Duration) {
	if bound > 0 && (p.maxPause == 0 || bound < p.maxPause) {
		p.maxPause = bound
	}
}

// keep keeps what is known about a model. Requests without a model share one pace.
func (p *servicePace) keep(model string, m pacer.Model) {
	if _, ok := p.models[model]; !ok && len(p.models) >= maxPacedModels {
		clear(p.models) // names of the configuration only; it has changed many times
	}
	p.models[model] = m
}

// modelOf returns what is known about a model. Nothing has run of a new one: it is assumed to
// be as much slower than the others as the square root of its size says.
func (p *servicePace) modelOf(name string, cfg *matcher.Config, svc *matcher.Engine) pacer.Model {
	m, ok := p.models[name]
	if ok || svc == nil {
		return m
	}
	if p.version != cfg.Version {
		p.version, p.meanSizeMB = cfg.Version, 0
		for _, x := range svc.Models {
			p.meanSizeMB += x.SizeMB / float64(len(svc.Models))
		}
	}
	if size := svc.Models[name].SizeMB; size > 0 && p.meanSizeMB > 0 {
		m = m.WithPrior(min(max(math.Sqrt(size/p.meanSizeMB), minModelPrior), maxModelPrior))
	}
	p.keep(name, m)
	return m
}

func (t *Table) upstreamPaceOf(u *registrar.Upstream) *upstreamPace {
	e := t.pacing.upstreams[u.ID]
	if e == nil {
		e = &upstreamPace{}
		t.pacing.upstreams[u.ID] = e
	}
	if e.startedAtMs != u.StartedAtMs {
		*e = upstreamPace{startedAtMs: u.StartedAtMs}
	}
	return e
}

// knownOf returns what is known about the upstream.
func (t *Table) knownOf(u *registrar.Upstream) pacer.Upstream {
	if e := t.pacing.upstreams[u.ID]; e != nil && e.startedAtMs == u.StartedAtMs {
		return e.Upstream
	}
	return pacer.Upstream{}
}

// dropEndedPaces drops what is known about upstreams that have ended.
func (t *Table) dropEndedPaces(s *registrar.Snapshot) {
	if len(t.pacing.upstreams) <= 2*len(s.ByID)+maxStaleHealth {
		return
	}
	for id := range t.pacing.upstreams {
		if s.ByID[id] == nil {
			delete(t.pacing.upstreams, id)
		}
	}
}

// ProbeTargets returns the upstreams whose present load should be requested before the request
// acquires a slot.
func (q *Queue) ProbeTargets(req Request) []*registrar.Upstream {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.Table.ProbeTargets(req, q.Upstreams.Snapshot(), q.Config(), time.Now())
}

// RecordLoad records the load that an upstream states in the response to a probe.
func (q *Queue) RecordLoad(u *registrar.Upstream, l registrar.Load) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.Table.RecordLoad(u, l, time.Now())
}

// RecordLoad records the load that the upstream states in its response.
func (s *Slot) RecordLoad(l registrar.Load) {
	s.q.RecordLoad(s.Upstream, l)
}

// RecordFirst records the time to the first event, or to the response of a plain service.
func (s *Slot) RecordFirst(took time.Duration) {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.q.Table.RecordFirst(s.Upstream, s.request, took, time.Now())
}

// RecordPause records the mean pause between some events of the stream.
func (s *Slot) RecordPause(took time.Duration) {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.q.Table.RecordPause(s.Upstream, s.request, took, time.Now())
}
