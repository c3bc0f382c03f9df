// Package emulator simulates a load on a fleet of engines in virtual time, to
// compare placement policies.
//
// It models the memory of engines, the tiers from which a model is loaded, the
// limit of concurrent loads from the weight store, request slots, prefill of one
// prompt at a time, unloads that wait for running requests, and engine outages.
// The decisions are made by production code: a queuer.Table grants, orders and
// refuses requests, and a Policy, arranger.Plan or a baseline, makes the moves.
// Client accounts and clients that repeat refused requests at once can be part of a load.
// Several entry instances know of each other's requests by a view that is refreshed
// periodically, and a full engine sheds. The network and adapters are not modelled.
package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/authenticator"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/rater"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// RequestKind describes a stream of similar requests with Poisson arrivals.
type RequestKind struct {
	Name     string
	Rate     float64 // arrivals per second
	Priority int
	// Model returns the model of a request that arrives at the given time after
	// the first request.
	Model        func(at time.Duration, rng *rand.Rand) string
	Objective    time.Duration // deadline for the first event, after the arrival
	Timeout      time.Duration // the client disconnects if the request has not been granted within this time
	PromptTokens int
	// ResponseTokens is the maximum length of the response, and Account the client account.
	ResponseTokens int
	Account        string
	// Retries is how often a client repeats a refused request at once, within its timeout.
	Retries int
	// From and To limit the period of the arrivals; 0 for To means the whole run.
	From, To time.Duration
	MeanRun  time.Duration // mean time from the first event to the end
	// IsResumable says that clients take up streams that broke, at the software version that
	// began them. The requests for the rest count under restOf(Name).
	IsResumable bool
}

// restOf returns the name under which the requests for the rest of streams of a kind count.
func restOf(kind string) string { return kind + "/rest" }

// Outage is an outage of an engine, which ends all its running requests. The engine
// returns without loaded models. It still has the checkpoints on its disk unless
// LosesDisk is set.
type Outage struct {
	Engine       int
	At, Duration time.Duration // At is the start of the outage, counted from the first request
	LosesDisk    bool
}

// Setup describes a fleet and its load.
type Setup struct {
	Engines int
	Engine  matcher.Engine
	// PrefillRate is the prefill rate of an engine in tokens per millisecond.
	PrefillRate   float64
	InitialModels func(engine int) []string // models loaded at the start
	SoftwareOf    func(engine int) string   // version of an engine's software, nil for one version
	// MaxHostCheckpoints and MaxDiskCheckpoints limit the checkpoints that an
	// engine keeps in host memory and on disk.
	MaxHostCheckpoints, MaxDiskCheckpoints int
	Kinds                                  []RequestKind
	// Accounts are the client accounts of the configuration. Without any, the waiting
	// requests are in the order for deployments without accounts.
	Accounts []string
	// Instances is the number of entry instances, 0 for 1. A request arrives at a random one.
	Instances int
	Outages   []Outage
	WarmUp    time.Duration // time before the first request
	Length    time.Duration // period of the arrivals
	Seed      uint64
}

// Policy returns the moves for a state of the fleet.
type Policy func(arranger.Fleet) []arranger.Move

// Result counts the requests of a kind by how they ended. Late ones were served
// after the objective, Refused ones were refused or timed out in the queue, and
// Interrupted ones had been granted to an engine when it was lost. HeldToEnd counts the
// refused ones that had waited until their timeout. Attempts counts the repetitions of refused
// requests as well, and Shed the attempts that found their engine full.
type Result struct {
	Arrived, InTime, Late, Refused, Interrupted int
	HeldToEnd, Attempts, Shed                   int
	FirstEventTotal                             time.Duration // of those in time and late
}

// MeanFirstEvent returns the mean time from the arrival to the first event.
func (r Result) MeanFirstEvent() time.Duration {
	return r.FirstEventTotal / time.Duration(max(r.InTime+r.Late, 1))
}

// InTimeShare returns the share of requests served within the objective.
func (r Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Arrived, 1)) }

func (r Result) String() string {
	return fmt.Sprintf("%d asked, %.3f in time, %d late, %d refused, %d broken", r.Arrived, r.InTimeShare(), r.Late, r.Refused, r.Interrupted)
}

// service is the name of the emulated service.
const service = "lm"

// Constants of the simulation.
const (
	// planInterval is the interval between plans.
	planInterval = 50 * time.Millisecond
	// reportDelay is the delay until a finished load is reported.
	reportDelay = 60 * time.Millisecond
	// storeLoadLimit is the number of concurrent loads from the weight store that
	// run at full speed.
	storeLoadLimit = 4
	// finishTime is how long a run continues after the last arrival, so that queued
	// and running requests can finish.
	finishTime = 25 * time.Second
	// priorRatePerReplica is the request rate, per second, that is assumed for each
	// replica of a model beyond the first until requests arrive.
	priorRatePerReplica = 13.0
)

// event is a function to run at a point in virtual time.
type event struct {
	at  time.Duration
	seq int // scheduling order, decides between events at the same time
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int      { return len(e) }
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulation is the state of one simulation run.
type simulation struct {
	Setup
	policy          Policy
	rng             *rand.Rand // for arrivals only, so that all policies get the same ones
	runRNG          *rand.Rand // for run durations and choices of the queue
	now             time.Duration
	events          eventQueue
	seq             int
	engines         []*engine
	instances       []*instance
	cfg             *matcher.Config
	rates           map[string]*rater.Rate
	results         map[string]*Result
	waiting         []*queued
	hasArrivals     bool
	streams         arranger.Streams
	initialReplicas map[string]int // replicas at the start, by model
}

// instance is an entry instance.
type instance struct {
	table    queuer.Table
	snapshot *registrar.Snapshot
}

// queued is a queued request.
type queued struct {
	*instance
	waiter  *queuer.Waiter
	request queuer.Request
	kind    RequestKind
	at      time.Duration // of the first attempt
	retries int           // left
}

// clientRoundTrip is the time after which a client that repeats a refused request at once
// does so.
const clientRoundTrip = 2 * time.Millisecond

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

func (sim *simulation) time() time.Time { return epoch.Add(sim.now) }

// Simulate simulates the load under a policy and returns the results by kind.
func Simulate(s Setup, p Policy) map[string]Result {
	sim := &simulation{
		Setup: s, policy: p, rng: rand.New(rand.NewPCG(s.Seed, 1)), runRNG: rand.New(rand.NewPCG(s.Seed, 2)), //nolint:gosec // seeded for reproducible runs
		rates: make(map[string]*rater.Rate), results: make(map[string]*Result), initialReplicas: make(map[string]int),
	}
	sim.cfg = matcher.New(1, nil, map[string]matcher.Service{service: {Name: service, Engine: &s.Engine}}, matcher.Limits{}).WithAccounts(accounts(s.Accounts))
	for range max(1, s.Instances) {
		sim.instances = append(sim.instances, &instance{table: queuer.Table{HasConductor: true, Rand: sim.runRNG}})
	}
	for i := range s.Engines {
		e := &engine{id: fmt.Sprintf("e%02d", i), incarnation: 1, runs: make(map[*run]bool)}
		for _, m := range s.InitialModels(i) {
			e.models = append(e.models, arranger.Resident{Model: m})
			sim.storeCheckpoint(e, m)
			sim.initialReplicas[m]++
		}
		if s.SoftwareOf != nil {
			e.software = s.SoftwareOf(i)
		}
		sim.engines = append(sim.engines, e)
	}
	sim.publish()
	for _, k := range s.Kinds {
		sim.results[k.Name] = &Result{}
		if k.IsResumable {
			sim.results[restOf(k.Name)] = &Result{}
		}
		sim.schedule(s.WarmUp+k.From, func() { sim.arrive(k) })
	}
	for _, o := range s.Outages {
		sim.schedule(s.WarmUp+o.At, func() { sim.interrupt(sim.engines[o.Engine], o) })
	}
	sim.schedule(0, sim.plan)
	if s.Instances > 1 {
		sim.schedule(0, sim.refreshViews)
	}
	if len(s.Accounts) > 0 {
		sim.schedule(0, sim.expire)
	}
	for len(sim.events) > 0 && sim.now <= s.WarmUp+s.Length+finishTime {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	out := make(map[string]Result)
	for name, r := range sim.results {
		out[name] = *r
	}
	return out
}

func (sim *simulation) schedule(t time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{t, sim.seq, run})
}

// arrive handles the arrival of a request and schedules the next arrival of its kind.
func (sim *simulation) arrive(k RequestKind) {
	if k.To > 0 && sim.now > sim.WarmUp+k.To || sim.now > sim.WarmUp+sim.Length {
		return
	}
	sim.schedule(sim.now+time.Duration(sim.rng.ExpFloat64()/k.Rate*float64(time.Second)), func() { sim.arrive(k) })
	sim.hasArrivals = true
	q := queuer.Request{
		Service: service, Model: k.Model(sim.now-sim.WarmUp, sim.rng), Priority: k.Priority, Tokens: k.PromptTokens,
		ResponseTokens: k.ResponseTokens, Account: k.Account, ID: fmt.Sprint(sim.seq),
		Objective: sim.time().Add(k.Objective), StartBy: sim.time().Add(k.Timeout),
	}
	sim.results[k.Name].Arrived++
	sim.rate(q.Model).Add(1, sim.time())
	i := sim.instances[0]
	if len(sim.instances) > 1 {
		i = sim.instances[sim.runRNG.IntN(len(sim.instances))]
	}
	sim.admit(&queued{instance: i, request: q, kind: k, at: sim.now, retries: k.Retries})
}

// admit makes an attempt of a request.
func (sim *simulation) admit(x *queued) {
	sim.results[x.kind.Name].Attempts++
	x.table.Arrive(x.request)
	a := x.table.Admit(x.request, x.snapshot, sim.cfg, sim.time())
	switch {
	case a.Upstream != nil:
		sim.run(a.Upstream, x)
	case a.Waiter == nil:
		if !a.Estimate.IsBusy {
			x.table.ExpectRetry(x.request, sim.time(), sim.time().Add(a.Estimate.Delay+time.Second))
		}
		sim.refuse(x)
	default:
		x.waiter = a.Waiter
		sim.waiting = append(sim.waiting, x)
		sim.schedule(x.at+x.kind.Timeout, func() {
			if x.table.Remove(a.Waiter) {
				sim.results[x.kind.Name].Refused++
				sim.results[x.kind.Name].HeldToEnd++
			}
		})
	}
	sim.collect()
}

// refuse ends a refused request, or schedules its next attempt.
func (sim *simulation) refuse(x *queued) {
	again := sim.now + clientRoundTrip
	if x.retries == 0 || again >= x.at+x.kind.Timeout {
		sim.results[x.kind.Name].Refused++
		return
	}
	next := *x
	next.retries--
	next.waiter = nil
	sim.schedule(again, func() { sim.admit(&next) })
}

// expireInterval is the interval at which waiting requests that cannot start in time are
// refused.
const expireInterval = 100 * time.Millisecond

func (sim *simulation) expire() {
	sim.schedule(sim.now+expireInterval, sim.expire)
	for _, i := range sim.instances {
		i.table.Expire(i.snapshot, sim.cfg, sim.time())
	}
	sim.collect()
}

func accounts(names []string) *authenticator.Accounts {
	var list []authenticator.Account
	for _, name := range names {
		list = append(list, authenticator.Account{Name: name})
	}
	out, err := authenticator.New(list)
	if err != nil {
		panic(err) // the names are those of a test
	}
	return out
}

func (sim *simulation) rate(model string) *rater.Rate {
	r := sim.rates[model]
	if r == nil {
		r = &rater.Rate{}
		sim.rates[model] = r
	}
	return r
}

// run simulates a request on the engine that it was granted.
func (sim *simulation) run(u *registrar.Upstream, x *queued) {
	q, k, arrived := x.request, x.kind, x.at
	e := sim.engine(u.ID)
	if len(e.runs) >= sim.Engine.Slots && len(sim.instances) > 1 {
		x.table.RecordPrefill(q, u.ID)
		x.table.Release(q, u.ID)
		x.table.Shed(q, u, sim.time())
		sim.results[k.Name].Shed++
		again := *x
		again.waiter = nil
		sim.schedule(sim.now+clientRoundTrip, func() { sim.admit(&again) })
		return
	}
	e.prefillEnd = max(e.prefillEnd, sim.now) + time.Duration(float64(k.PromptTokens)/sim.PrefillRate*float64(time.Millisecond))
	granted := sim.now
	r := &run{instance: x.instance, request: q, kind: k, end: e.prefillEnd + time.Duration(sim.runRNG.ExpFloat64()*float64(k.MeanRun))}
	e.runs[r] = true
	sim.schedule(e.prefillEnd, func() {
		if !e.runs[r] {
			return // ended by the loss of its engine
		}
		r.hasStarted = true
		x.table.RecordPrefill(q, u.ID)
		x.table.RecordFirstEvent(q, sim.now-granted)
		r.isInTime = sim.now-arrived <= k.Objective
		sim.results[k.Name].FirstEventTotal += sim.now - arrived
		sim.runGranted()
	})
	sim.schedule(r.end, func() {
		if !e.runs[r] {
			return
		}
		delete(e.runs, r)
		if r.isInTime {
			sim.results[k.Name].InTime++
		} else {
			sim.results[k.Name].Late++
		}
		x.table.Release(q, u.ID)
		x.table.RecordService(q, sim.now-granted)
		sim.runGranted()
	})
}

func (sim *simulation) engine(id string) *engine {
	i := slices.IndexFunc(sim.engines, func(e *engine) bool { return e.id == id })
	return sim.engines[i]
}

// runGranted runs the queued requests that can be granted now.
func (sim *simulation) runGranted() {
	for _, i := range sim.instances {
		i.table.GrantWaiting(i.snapshot, sim.cfg, sim.time())
	}
	sim.collect()
}

// collect runs the requests that were granted and ends those that were refused.
func (sim *simulation) collect() {
	var refused []*queued
	sim.waiting = slices.DeleteFunc(sim.waiting, func(x *queued) bool {
		u := x.waiter.Granted()
		if u != nil {
			sim.run(u, x)
		}
		_, isRefused := x.waiter.Refused()
		if isRefused {
			refused = append(refused, x)
		}
		return u != nil || isRefused || sim.now > x.at+x.kind.Timeout
	})
	for _, x := range refused {
		sim.refuse(x)
	}
}

// viewInterval is the interval at which instances learn of the attempts of others.
const viewInterval = 100 * time.Millisecond

func (sim *simulation) refreshViews() {
	sim.schedule(sim.now+viewInterval, sim.refreshViews)
	sim.publish()
	sim.runGranted()
}
