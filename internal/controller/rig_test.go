package controller

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
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

	"github.com/primrosedrift/primrosedrift/internal/folder"
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
	gibibyte  = 1 << 30
	modelName = "levy-status"
	lateAfter = time.Second
	generous  = 30 * time.Second
)

// rig runs controllers against stand-in engines and a log in memory. Decisions
// run in virtual time, orders in real time.
type rig struct {
	t         *testing.T
	now       time.Time
	nodes     []*node
	upstreams map[string]*upstream

	mu      sync.Mutex
	log     [][]byte
	members map[string]watcher.Member // by name
	unseen  map[[2]string]bool        // who does not see whom
	gone    map[string]bool
	ended   map[string]*platformv1.Instance

	broken []string // invariants that broke
}

// node is one entry instance's control.
type node struct {
	*Controller
	rig      *rig
	keeper   *keeper.Keeper
	recorder *recorder.Recorder
	tickets  []*tallier.Ticket
	post     *post
	frozen   bool
	next     int
	gate     chan struct{} // closed unless an order is held after its last check

	checked chan struct{} // hears of orders that wait at the gate
	leaving bool
	unloads atomic.Int32 // unloads that an engine confirmed
}

// upstream is an engine at an address that outlives its process.
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

// restart replaces the engine's process by one that holds nothing.
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

// post carries orders, and may lose replies or keep requests back.
type post struct {
	mu   sync.Mutex
	hold bool     // keeps the next order back and cuts its connection
	kept []func() // delivers what was kept back
}

func (p *post) RoundTrip(req *http.Request) (*http.Response, error) {
	p.mu.Lock()
	hold := p.hold && strings.HasSuffix(req.URL.Path, "/Order")
	p.hold = p.hold && !hold
	p.mu.Unlock()
	if !hold {
		return http.DefaultTransport.RoundTrip(req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	late := req.Clone(context.WithoutCancel(req.Context()))
	p.mu.Lock()
	p.kept = append(p.kept, func() {
		late.Body = io.NopCloser(bytes.NewReader(body))
		if resp, err := http.DefaultTransport.RoundTrip(late); err == nil {
			_ = resp.Body.Close()
		}
	})
	p.mu.Unlock()
	return nil, errors.New("connection was cut")
}

func (p *post) keepNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = true
}

func (p *post) keptCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.kept)
}

func (p *post) deliver() {
	p.mu.Lock()
	kept := p.kept
	p.kept = nil
	p.mu.Unlock()
	for _, f := range kept {
		f()
	}
}

func newRig(t *testing.T, fencing bool, names ...string) *rig {
	r := &rig{
		t: t, now: time.Unix(1_000_000, 0), upstreams: make(map[string]*upstream), members: make(map[string]watcher.Member),
		unseen: make(map[[2]string]bool), gone: make(map[string]bool), ended: make(map[string]*platformv1.Instance),
	}
	var ups []*recordv1.ConfigObject
	for _, name := range []string{"engine-1", "engine-2"} {
		u := &upstream{fencing: fencing}
		u.restart()
		u.server = httptest.NewServer(u)
		t.Cleanup(u.server.Close)
		r.upstreams[name] = u
		ups = append(ups, &recordv1.ConfigObject{Object: &recordv1.ConfigObject_Upstream{Upstream: &recordv1.Upstream{
			Name: name, Address: strings.TrimPrefix(u.server.URL, "http://"), Kind: recordv1.UpstreamKind_UPSTREAM_KIND_ENGINE,
			MemoryBytes: 80 * gibibyte, Slots: 8, ChecksFencing: fencing,
		}}})
	}
	r.publish(append(
		ups,
		&recordv1.ConfigObject{Object: &recordv1.ConfigObject_Contract{Contract: &recordv1.Contract{Customer: "tolwerk", Replicas: 2, MemoryBytes: 160 * gibibyte}}},
		&recordv1.ConfigObject{Object: &recordv1.ConfigObject_Model{Model: &recordv1.Model{Name: modelName, Customer: "tolwerk", MemoryBytes: 20 * gibibyte, Checkpoint: "c"}}},
	), nil)
	for _, name := range names {
		r.add(name, name+"-run-1")
	}
	return r
}

func (r *rig) publish(upserts []*recordv1.ConfigObject, deletes []*recordv1.ConfigKey) {
	s := r.fold()
	r.append(r.t.Context(), &recordv1.Record{Id: recorder.NewID(), Kind: &recordv1.Record_ConfigChange{ConfigChange: &recordv1.ConfigChange{
		BaseVersion: s.Config.Version, Upserts: upserts, Deletes: deletes,
	}}})
}

func (r *rig) append(_ context.Context, recs ...*recordv1.Record) {
	payload, err := proto.Marshal(&recordv1.Batch{Version: folder.Version, Writer: "test", Records: recs})
	require.NoError(r.t, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, payload)
}

// fold returns the state of the whole log.
func (r *rig) fold() *folder.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := new(folder.State)
	for i, p := range r.log {
		s.Apply(uint64(i), p)
	}
	return s
}

// add starts a node.
func (r *rig) add(name, incarnation string) *node {
	n := &node{rig: r, keeper: new(keeper.Keeper), post: new(post), checked: make(chan struct{}, 16), gate: make(chan struct{})}
	close(n.gate)
	n.recorder = &recorder.Recorder{Incarnation: incarnation, Append: func(_ context.Context, p []byte) error {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.log = append(r.log, p)
		return nil
	}}
	n.keeper.Subscribe(n.recorder.OnEvents)
	n.Controller = &Controller{
		Membership: Membership{
			Members: func() []watcher.Member { return r.seenBy(n) }, IsKnown: func() bool { return true },
			IsGone:    func(i string) bool { r.mu.Lock(); defer r.mu.Unlock(); return r.gone[i] },
			Upstream:  func(name string) *platformv1.Instance { r.mu.Lock(); defer r.mu.Unlock(); return r.ended[name] },
			IsLeaving: func() bool { return n.leaving },
		},
		Instance: name, Incarnation: incarnation, Keeper: n.keeper, Recorder: n.recorder, Log: zap.NewNop(),
		Monitor: &monitor.Monitor{HTTP: http.DefaultClient, Interval: 10 * time.Millisecond, Upstreams: func() map[string]*recordv1.Upstream {
			var out map[string]*recordv1.Upstream
			n.keeper.View(func(s *folder.State) { out = maps.Clone(s.Config.Upstreams) })
			return out
		}},
		Tallier: &tallier.Tallier{Instance: name, Holder: tallier.HolderOf(n.keeper.View)},
		IsReady: func() bool { return true }, KeepWarm: time.Hour,
		TakeoverAfter: time.Second, RebalanceAfter: time.Second,
	}
	n.Orderer = &orderer.Orderer{
		HTTP: &http.Client{Transport: n.post}, Timeout: time.Second, LateAfter: lateAfter, Submit: n.recorder.Submit, AsOf: n.keeper.Next,
		OnResult: func(t orderer.Task, err error) {
			if err == nil && t.Order.GetAction() == recordv1.DecisionAction_DECISION_ACTION_UNLOAD {
				n.unloads.Add(1)
			}
		},
		MaySend: func(t orderer.Task) bool {
			ok := MaySend(n.keeper.View, t)
			if ok {
				n.pass()
			}
			return ok
		},
	}
	n.Init()
	r.mu.Lock()
	r.members[name] = watcher.Member{Name: name, Incarnation: incarnation, Alive: true}
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

// pass waits at the gate, where a process may be frozen between its last check
// and the sending of an order.
func (n *node) pass() {
	n.rig.mu.Lock()
	gate := n.gate
	n.rig.mu.Unlock()
	select {
	case n.checked <- struct{}{}:
	default:
	}
	<-gate
}

// shut makes the node wait before its next order.
func (n *node) shut() {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	n.gate = make(chan struct{})
	n.checked = make(chan struct{}, 16)
}

func (n *node) open() {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	close(n.gate)
}

func (r *rig) seenBy(n *node) []watcher.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []watcher.Member
	for _, m := range r.members {
		if r.unseen[[2]string{n.Instance, m.Name}] {
			m.Lost, m.Alive = true, false
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b watcher.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// lose makes all others see the node as lost.
func (r *rig) lose(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[n.Instance]
	m.Lost, m.Alive = true, false
	r.members[n.Instance] = m
}

// demand makes requests wait at every node.
func (r *rig) demand(waiting int) {
	for _, n := range r.nodes {
		for range waiting {
			n.tickets = append(n.tickets, n.Tallier.Wait(tallier.Target{Model: modelName}, 1, time.Now().Add(time.Hour)))
		}
	}
}

func (r *rig) held() []checker.Held {
	var out []checker.Held
	for name, u := range r.upstreams {
		h := u.current().Held()
		h.Upstream = name
		out = append(out, h)
	}
	return out
}

// step applies the log to every running node, steps it and checks the invariants.
func (r *rig) step() {
	for _, n := range r.nodes {
		if n.frozen {
			continue
		}
		n.sync()
		n.step(r.t.Context(), r.now)
		n.drainResults()
	}
	before := r.held()
	s := r.fold()
	r.broken = append(r.broken, checker.Engines(before, s, r.held())...)
	r.now = r.now.Add(100 * time.Millisecond)
	time.Sleep(5 * time.Millisecond) // lets recorders and orders run
}

func (n *node) sync() {
	n.rig.mu.Lock()
	rest := n.rig.log[n.next:]
	n.rig.mu.Unlock()
	for _, p := range rest {
		n.keeper.Apply(uint64(n.next), p)
		n.next++
	}
}

// until steps until ok, and fails the test if that never comes.
func (r *rig) until(what string, ok func(*folder.State) bool) {
	r.t.Helper()
	limit := time.Now().Add(generous)
	for !ok(r.fold()) {
		require.True(r.t, time.Now().Before(limit), what)
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
	s := r.fold()
	sh := s.Shard(folder.ShardOf(modelName))
	for _, n := range r.nodes {
		if n.Incarnation == sh.Current.Incarnation && !sh.Released {
			return n
		}
	}
	return nil
}

// firstHolder waits until the model's shard is held.
func (r *rig) firstHolder() *node {
	r.t.Helper()
	r.until("shard is held", func(*folder.State) bool { return r.holder() != nil })
	return r.holder()
}

func (r *rig) replicas(s *folder.State) []folder.Replica {
	var out []folder.Replica
	s.EachReplica(func(v folder.Replica) bool {
		out = append(out, v)
		return true
	})
	return out
}

func (r *rig) loads() int {
	n := 0
	for _, h := range r.held() {
		n += h.Loads
	}
	return n
}

// heldCount returns the number of replicas that the engines hold.
func (r *rig) heldCount() int {
	n := 0
	for _, h := range r.held() {
		n += len(h.Replicas)
	}
	return n
}

// unload decides to unload every replica in the holder's name.
func (r *rig) unload() {
	s := r.fold()
	for _, v := range r.replicas(s) {
		r.append(r.t.Context(), &recordv1.Record{Id: recorder.NewID(), Kind: &recordv1.Record_Decision{Decision: &recordv1.Decision{
			Shard: v.Shard, Epoch: uint64(s.Shard(v.Shard).Current.Claim), Action: recordv1.DecisionAction_DECISION_ACTION_UNLOAD,
			Replica: v.ID, Model: v.Model, Reason: "test",
		}}})
	}
}

// appends returns the number of appends to the log.
func (r *rig) appends() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.log)
}

func (r *rig) endDemand() {
	for _, n := range r.nodes {
		for _, k := range n.tickets {
			k.Done()
		}
		n.tickets = nil
	}
}
