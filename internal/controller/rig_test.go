package controller

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/orderer"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/standin/checker"
	"github.com/primrosedrift/primrosedrift/internal/standin/engine"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const (
	gibibyte         = 1 << 30
	modelName        = "levy-status"
	maxDeliveryDelay = time.Second
	testTimeout      = 30 * time.Second
)

// rig runs controllers against stand-in engines and an in-memory log. Decisions
// use virtual time, orders real time.
type rig struct {
	t         *testing.T
	now       time.Time
	nodes     []*node
	upstreams map[string]*upstream

	mu                sync.Mutex
	log               [][]byte
	members           map[string]watcher.Member // by name
	unreachable       map[[2]string]bool        // pairs of an observer and a member that it cannot reach
	endedIncarnations map[string]bool
	listedInstances   map[string]*platformv1.Instance // the platform's instance list, by upstream

	violations []string // violated invariants
}

// node is the control plane of one entry instance.
type node struct {
	*Controller
	rig        *rig
	keeper     *keeper.Keeper
	recorder   *recorder.Recorder
	tickets    []*tallier.Ticket
	transport  *delayingTransport
	isFrozen   bool
	nextOffset int           // of the log
	unblocked  chan struct{} // closed while orders may be sent

	reached          chan struct{} // receives a value when an order has passed its last check
	isLeaving        bool
	confirmedUnloads atomic.Int32 // unload orders that an engine confirmed
}

// upstream serves an engine at an address that stays the same across restarts
// of the engine.
type upstream struct {
	mu      sync.Mutex
	engine  *engine.Engine
	server  *httptest.Server
	fencing bool
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	e := u.engine
	u.mu.Unlock()
	if e == nil {
		panic(http.ErrAbortHandler)
	}
	e.Handler().ServeHTTP(w, r)
}

// restart replaces the engine by a new one without replicas.
func (u *upstream) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.engine = &engine.Engine{MemoryBytes: 80 * gibibyte, Slots: 8, ChecksFencing: u.fencing}
}

func (u *upstream) current() *engine.Engine {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.engine
}

// delayingTransport sends orders. It can hold back an order to deliver it late.
type delayingTransport struct {
	mu       sync.Mutex
	holdNext bool     // holds back the next order and fails its request
	held     []func() // send the orders that are held back
}

func (p *delayingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	p.mu.Lock()
	shouldHold := p.holdNext && strings.HasSuffix(req.URL.Path, "/Order")
	p.holdNext = p.holdNext && !shouldHold
	p.mu.Unlock()
	if !shouldHold {
		return http.DefaultTransport.RoundTrip(req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	late := req.Clone(context.WithoutCancel(req.Context()))
	p.mu.Lock()
	p.held = append(p.held, func() {
		late.Body = io.NopCloser(bytes.NewReader(body))
		if resp, err := http.DefaultTransport.RoundTrip(late); err == nil {
			_ = resp.Body.Close()
		}
	})
	p.mu.Unlock()
	return nil, errors.New("connection closed")
}

// holdNextOrder holds back the next order.
func (p *delayingTransport) holdNextOrder() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdNext = true
}

func (p *delayingTransport) numHeldOrders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

func (p *delayingTransport) deliverHeldOrders() {
	p.mu.Lock()
	held := p.held
	p.held = nil
	p.mu.Unlock()
	for _, f := range held {
		f()
	}
}

func newRig(t *testing.T, fencing bool, names ...string) *rig {
	r := &rig{
		t: t, now: time.Unix(1_000_000, 0), upstreams: make(map[string]*upstream), members: make(map[string]watcher.Member),
		unreachable: make(map[[2]string]bool), endedIncarnations: make(map[string]bool), listedInstances: make(map[string]*platformv1.Instance),
	}
	var upstreams []*recordv1.ConfigObject
	for _, name := range []string{"engine-1", "engine-2"} {
		u := &upstream{fencing: fencing}
		u.restart()
		u.server = httptest.NewServer(u)
		t.Cleanup(u.server.Close)
		r.upstreams[name] = u
		upstreams = append(upstreams, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Upstream{Upstream: &recordv1.Upstream{
			Name: name, Address: strings.TrimPrefix(u.server.URL, "http://"), Kind: recordv1.UpstreamKind_UPSTREAM_KIND_ENGINE,
			MemoryBytes: 80 * gibibyte, Slots: 8, ChecksFencing: fencing,
		}}})
	}
	r.publish(append(
		upstreams,
		&recordv1.ConfigObject{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{Customer: "tolwerk", Replicas: 2, MemoryBytes: 160 * gibibyte}}},
		&recordv1.ConfigObject{Object: &recordv1.ConfigObject_Model{Model: &recordv1.Model{Name: modelName, Customer: "tolwerk", MemoryBytes: 20 * gibibyte, Checkpoint: "c"}}},
	), nil)
	for _, name := range names {
		r.addNode(name, name+"-run-1")
	}
	return r
}

func (r *rig) publish(upserts []*recordv1.ConfigObject, deletes []*recordv1.ConfigKey) {
	s := r.currentState()
	r.append(r.t.Context(), &recordv1.Record{Id: recorder.NewID(), Kind: &recordv1.Record_ConfigChange{ConfigChange: &recordv1.ConfigChange{
		BaseVersion: s.Config.Version, Upserts: upserts, Deletes: deletes,
	}}})
}

func (r *rig) append(_ context.Context, recs ...*recordv1.Record) {
	payload, err := proto.Marshal(&recordv1.Batch{Version: applier.Version, Writer: "test", Records: recs})
	require.NoError(r.t, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, payload)
}

// currentState returns the state after all records of the log.
func (r *rig) currentState() *applier.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := new(applier.State)
	for i, p := range r.log {
		s.Apply(uint64(i), p)
	}
	return s
}

// addNode starts a node.
func (r *rig) addNode(name, incarnation string) *node {
	n := &node{rig: r, keeper: new(keeper.Keeper), transport: new(delayingTransport), reached: make(chan struct{}, 16), unblocked: make(chan struct{})}
	close(n.unblocked)
	n.recorder = &recorder.Recorder{Incarnation: incarnation, Append: func(_ context.Context, p []byte) error {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.log = append(r.log, p)
		return nil
	}}
	n.keeper.Subscribe(n.recorder.OnEvents)
	n.Controller = &Controller{
		Membership: Membership{
			Members: func() []watcher.Member { return r.membersSeenBy(n) }, AreMembersKnown: func() bool { return true },
			HasProcessEnded: func(i string) bool { r.mu.Lock(); defer r.mu.Unlock(); return r.endedIncarnations[i] },
			ListedInstance: func(name string) *platformv1.Instance {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.listedInstances[name]
			},
			IsLeaving: func() bool { return n.isLeaving },
		},
		Instance: name, Incarnation: incarnation, Keeper: n.keeper, Recorder: n.recorder, Log: zap.NewNop(),
		Monitor: &monitor.Monitor{HTTP: http.DefaultClient, Interval: 10 * time.Millisecond, Upstreams: func() map[string]*recordv1.Upstream {
			var out map[string]*recordv1.Upstream
			n.keeper.View(func(s *applier.State) { out = maps.Clone(s.Config.Upstreams) })
			return out
		}},
		Tallier: &tallier.Tallier{Instance: name, Holder: tallier.HolderOf(n.keeper.View)},
		IsReady: func() bool { return true }, KeepWarm: time.Hour,
		TakeoverAfter: time.Second, RebalanceAfter: time.Second,
	}
	n.Orderer = &orderer.Orderer{
		HTTP: &http.Client{Transport: n.transport}, Timeout: time.Second, MaxDeliveryDelay: maxDeliveryDelay, Submit: n.recorder.Submit, NextOffset: n.keeper.NextOffset,
		OnResult: func(t orderer.Task, err error) {
			if err == nil && t.Order.GetAction() == recordv1.DecisionAction_DECISION_ACTION_UNLOAD {
				n.confirmedUnloads.Add(1)
			}
		},
		MaySend: func(t orderer.Task) bool {
			ok := MaySend(n.keeper.View, t)
			if ok {
				n.waitUntilUnblocked()
			}
			return ok
		},
	}
	n.Init()
	r.mu.Lock()
	r.members[name] = watcher.Member{Name: name, Incarnation: incarnation, IsAlive: true}
	r.mu.Unlock()
	r.nodes = append(r.nodes, n)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { n.recorder.Run(ctx) })
	wg.Go(func() { n.Monitor.Run(ctx) })
	r.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return n
}

// waitUntilUnblocked blocks an order between its last check and its sending, as
// if the process was frozen there, until orders may be sent.
func (n *node) waitUntilUnblocked() {
	n.rig.mu.Lock()
	unblocked := n.unblocked
	n.rig.mu.Unlock()
	select {
	case n.reached <- struct{}{}:
	default:
	}
	<-unblocked
}

// blockOrders blocks the node's orders until unblockOrders.
func (n *node) blockOrders() {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	n.unblocked = make(chan struct{})
	n.reached = make(chan struct{}, 16)
}

func (n *node) unblockOrders() {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	close(n.unblocked)
}

func (r *rig) membersSeenBy(n *node) []watcher.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []watcher.Member
	for _, m := range r.members {
		if r.unreachable[[2]string{n.Instance, m.Name}] {
			m.IsUnreachable, m.IsAlive = true, false
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b watcher.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// markLost makes all other nodes see the node as lost.
func (r *rig) markLost(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[n.Instance]
	m.IsUnreachable, m.IsAlive = true, false
	r.members[n.Instance] = m
}

// addDemand adds waiting requests at every node.
func (r *rig) addDemand(waiting int) {
	for _, n := range r.nodes {
		for range waiting {
			n.tickets = append(n.tickets, n.Tallier.Add(tallier.Target{Model: modelName}, 1, time.Now().Add(time.Hour)))
		}
	}
}

// engineStates returns the state of every engine.
func (r *rig) engineStates() []checker.EngineState {
	var out []checker.EngineState
	for name, u := range r.upstreams {
		h := u.current().State()
		h.Upstream = name
		out = append(out, h)
	}
	return out
}

// step applies the log to every node that is not frozen, steps it and checks
// the invariants.
func (r *rig) step() {
	for _, n := range r.nodes {
		if n.isFrozen {
			continue
		}
		n.sync()
		n.step(r.t.Context(), r.now)
		n.drainResolved()
	}
	before := r.engineStates()
	s := r.currentState()
	r.violations = append(r.violations, checker.CheckEngines(before, s, r.engineStates())...)
	r.now = r.now.Add(100 * time.Millisecond)
	r.settle()
	time.Sleep(5 * time.Millisecond) // gives orders time to run
}

// settle waits until the records that the nodes have submitted are in the log and
// read back, so that the decisions of the next step do not depend on the speed of
// the machine.
func (r *rig) settle() {
	limit := time.Now().Add(testTimeout)
	for {
		isSettled := true
		for _, n := range r.nodes {
			if n.isFrozen {
				continue
			}
			n.sync()
			n.drainResolved()
			isSettled = isSettled && len(n.pendingSubjects) == 0
		}
		if isSettled {
			return
		}
		require.True(r.t, time.Now().Before(limit), "records are read back")
		runtime.Gosched()
	}
}

// sync applies the new records of the log.
func (n *node) sync() {
	n.rig.mu.Lock()
	payloads := n.rig.log[n.nextOffset:]
	n.rig.mu.Unlock()
	for _, p := range payloads {
		n.keeper.Apply(uint64(n.nextOffset), p)
		n.nextOffset++
	}
}

// until steps until ok returns true. It fails the test after testTimeout.
func (r *rig) until(condition string, ok func(*applier.State) bool) {
	r.t.Helper()
	limit := time.Now().Add(testTimeout)
	for !ok(r.currentState()) {
		require.True(r.t, time.Now().Before(limit), condition)
		r.step()
	}
}

func (r *rig) steps(n int) {
	for range n {
		r.step()
	}
}

// holder returns the node that holds the model's shard.
func (r *rig) holder() *node {
	s := r.currentState()
	sh := s.Shard(applier.ShardOf(modelName))
	for _, n := range r.nodes {
		if n.Incarnation == sh.Holder.Incarnation && !sh.IsReleased {
			return n
		}
	}
	return nil
}

// awaitHolder waits until the model's shard has a holder and returns it.
func (r *rig) awaitHolder() *node {
	r.t.Helper()
	r.until("shard is held", func(*applier.State) bool { return r.holder() != nil })
	return r.holder()
}

func (r *rig) replicas(s *applier.State) []applier.Replica {
	var out []applier.Replica
	s.EachReplica(func(v applier.Replica) bool {
		out = append(out, v)
		return true
	})
	return out
}

// numLoads returns the number of loads that the engines have run.
func (r *rig) numLoads() int {
	n := 0
	for _, h := range r.engineStates() {
		n += h.NumLoads
	}
	return n
}

// numEngineReplicas returns the number of replicas on the engines.
func (r *rig) numEngineReplicas() int {
	n := 0
	for _, h := range r.engineStates() {
		n += len(h.Replicas)
	}
	return n
}

// decideUnloads appends decisions to unload every replica under the current
// claim.
func (r *rig) decideUnloads() {
	s := r.currentState()
	for _, v := range r.replicas(s) {
		r.append(r.t.Context(), &recordv1.Record{Id: recorder.NewID(), Kind: &recordv1.Record_Decision{Decision: &recordv1.Decision{
			Shard: v.Shard, Epoch: uint64(s.Shard(v.Shard).Holder.Claim), Action: recordv1.DecisionAction_DECISION_ACTION_UNLOAD,
			Replica: v.ID, Model: v.Model, Reason: "test",
		}}})
	}
}

// numAppends returns the number of appends to the log.
func (r *rig) numAppends() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.log)
}

// numClaims returns the number of claims in the log.
func (r *rig) numClaims() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, payload := range r.log {
		var b recordv1.Batch
		require.NoError(r.t, proto.Unmarshal(payload, &b))
		for _, rec := range b.GetRecords() {
			if rec.GetClaim() != nil {
				n++
			}
		}
	}
	return n
}

func (r *rig) endDemand() {
	for _, n := range r.nodes {
		for _, k := range n.tickets {
			k.Done()
		}
		n.tickets = nil
	}
}
