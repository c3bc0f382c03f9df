// Package engine stands in for a model engine.
//
// It keeps replicas in limited memory, fetches checkpoints from the weight
// store, responds to each request with the requested number of deterministic
// tokens, and optionally checks fencing tokens. It counts the requests that it ran.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/primrosedrift/primrosedrift/internal/prefixer"
	"github.com/primrosedrift/primrosedrift/internal/standin/checker"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
)

// Headers of error replies, as sent by the upstreams of the system.
const (
	headerAttempt = "Primrosedrift-Attempt"
	headerLeaving = "Primrosedrift-Leaving"
	headerRan     = "Primrosedrift-Ran"
)

// Engine is a model engine. MemoryBytes and Slots must be set.
type Engine struct {
	Faults        faulter.Faulter
	MemoryBytes   uint64
	Slots         uint32
	ChecksFencing bool
	// Software is the version of the engine's software, empty if it states none.
	Software string
	// Store is the source of checkpoints. If it is nil, loads fetch nothing.
	Store platformv1connect.WeightStoreQueriesClient
	// Exit ends the process. Nil means os.Exit.
	Exit func(code int)

	once        sync.Once
	incarnation string

	mu            sync.Mutex
	replicas      map[string]*replica
	fencingTokens map[uint32]uint64
	disk          []string
	running       uint32
	sequence      uint64
	stats         Stats
	cache         promptCache
	reports       []timedReport // oldest first, as far back as Faults.LagMs requires
}

// timedReport is a report with the time at which it was made.
type timedReport struct {
	at     time.Time
	report *upstreamv1.ReportResponse
}

type replica struct {
	model    string
	bytes    uint64
	loaded   bool
	done     chan struct{} // closed when loaded
	adapters map[string]bool
	running  uint32
}

// Stats counts what the engine did since its start.
type Stats struct {
	// PeakBytes is the maximum of the memory in use.
	PeakBytes uint64
	// RejectedLoads counts loads rejected because they did not fit in memory.
	RejectedLoads int
	// FencedOrders counts orders rejected because of an old fencing token or
	// another incarnation.
	FencedOrders int
	NumLoads     int
	// NumRequests counts the requests that ran.
	NumRequests int
}

func (e *Engine) init() {
	e.once.Do(func() {
		e.incarnation = ulid.Make().String()
		e.replicas = make(map[string]*replica)
		e.fencingTokens = make(map[uint32]uint64)
	})
}

// Incarnation identifies this run of the engine.
func (e *Engine) Incarnation() string {
	e.init()
	return e.incarnation
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Replicas returns the model by id of each replica, loaded or loading.
func (e *Engine) Replicas() map[string]string {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]string)
	for id, r := range e.replicas {
		out[id] = r.model
	}
	return out
}

// State returns the state and counts of the engine for the checker.
func (e *Engine) State() checker.EngineState {
	e.init()
	replicas := e.Replicas()
	s := e.Stats()
	return checker.EngineState{
		Incarnation: e.incarnation, MemoryBytes: e.MemoryBytes, PeakBytes: s.PeakBytes, RejectedLoads: s.RejectedLoads,
		NumLoads: s.NumLoads, FencedOrders: s.FencedOrders, Replicas: replicas,
	}
}

// Handler serves the engine, and GET /held for its state as checker.EngineState.
func (e *Engine) Handler() http.Handler {
	e.init()
	mux := http.NewServeMux()
	mux.Handle(upstreamv1connect.NewEngineCommandsHandler(e, connect.WithCompressMinBytes(1024)))
	mux.Handle(upstreamv1connect.NewEngineQueriesHandler(e, connect.WithCompressMinBytes(1024)))
	mux.HandleFunc("GET /held", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.State())
	})
	return e.Faults.Wrap(mux, func(path string) bool { return strings.HasSuffix(path, "/Order") })
}

// refuse returns an error with headers that mark the attempt as not run.
func refuse(code connect.Code, attempt, text string) *connect.Error {
	err := connect.NewError(code, errors.New(text))
	err.Meta().Set(headerAttempt, attempt)
	err.Meta().Set(headerRan, "not-run")
	return err
}

// Order executes an order. It is idempotent by replica id and adapter.
func (e *Engine) Order(ctx context.Context, req *connect.Request[upstreamv1.OrderRequest]) (*connect.Response[upstreamv1.OrderResponse], error) {
	o := req.Msg
	if err := e.checkFence(o); err != nil {
		return nil, err
	}
	var err error
	switch o.GetAction() {
	case recordv1.DecisionAction_DECISION_ACTION_LOAD:
		err = e.load(ctx, o)
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD:
		e.unload(o.GetReplica())
	case recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:
		err = e.setAdapter(o, true)
	case recordv1.DecisionAction_DECISION_ACTION_UNLOAD_ADAPTER:
		err = e.setAdapter(o, false)
	default:
		err = connect.NewError(connect.CodeInvalidArgument, errors.New("unknown action"))
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&upstreamv1.OrderResponse{Done: true}), nil
}

func (e *Engine) checkFence(o *upstreamv1.OrderRequest) error {
	if !e.ChecksFencing {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if inc := o.GetUpstreamIncarnation(); inc != "" && inc != e.incarnation {
		e.stats.FencedOrders++
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("order is for another incarnation"))
	}
	if o.GetEpoch() < e.fencingTokens[o.GetShard()] {
		e.stats.FencedOrders++
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("fencing number is old"))
	}
	e.fencingTokens[o.GetShard()] = o.GetEpoch()
	return nil
}

func (e *Engine) usedLocked() uint64 {
	var n uint64
	for _, r := range e.replicas {
		n += r.bytes
	}
	return n
}

func (e *Engine) load(ctx context.Context, o *upstreamv1.OrderRequest) error {
	if e.Faults.Get().FailLoads {
		return connect.NewError(connect.CodeResourceExhausted, errors.New("load failed"))
	}
	r, err := e.reserve(o)
	if err != nil {
		return err
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return connect.NewError(connect.CodeDeadlineExceeded, errors.New("still loading"))
	}
}

// reserve returns the replica, and starts its load if it is new.
func (e *Engine) reserve(o *upstreamv1.OrderRequest) (*replica, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.replicas[o.GetReplica()]; r != nil {
		return r, nil
	}
	used := e.usedLocked()
	if used+o.GetMemoryBytes() > e.MemoryBytes {
		e.stats.RejectedLoads++
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("no memory left"))
	}
	e.stats.PeakBytes = max(e.stats.PeakBytes, used+o.GetMemoryBytes())
	e.stats.NumLoads++
	r := &replica{model: o.GetModel(), bytes: o.GetMemoryBytes(), done: make(chan struct{}), adapters: make(map[string]bool)}
	e.replicas[o.GetReplica()] = r
	onDisk := slices.Contains(e.disk, o.GetCheckpoint())
	go e.fetch(r, o.GetCheckpoint(), onDisk)
	return r, nil
}

func (e *Engine) fetch(r *replica, checkpoint string, onDisk bool) {
	for !onDisk && e.Store != nil {
		_, err := e.Store.Fetch(context.Background(), connect.NewRequest(&platformv1.FetchRequest{Checkpoint: checkpoint}))
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Duration(e.Faults.Get().LoadMs) * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	r.loaded = true
	close(r.done)
	if checkpoint != "" && !slices.Contains(e.disk, checkpoint) {
		e.disk = append(e.disk, checkpoint)
	}
}

func (e *Engine) unload(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.replicas, id)
}

func (e *Engine) setAdapter(o *upstreamv1.OrderRequest, isLoaded bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.replicas[o.GetReplica()]
	if r == nil || !r.loaded {
		return connect.NewError(connect.CodeNotFound, errors.New("no such loaded replica"))
	}
	if isLoaded {
		r.adapters[o.GetAdapter()] = true
	} else {
		delete(r.adapters, o.GetAdapter())
	}
	return nil
}

// Generate streams the tokens that Token returns.
func (e *Engine) Generate(ctx context.Context, req *connect.Request[upstreamv1.GenerateRequest], stream *connect.ServerStream[upstreamv1.GenerateResponse]) error {
	m := req.Msg
	f := e.Faults.Get()
	if f.CrashOn != "" && strings.Contains(m.GetPrompt(), f.CrashOn) {
		e.exit()
	}
	done, err := e.begin(m)
	if err != nil {
		return err
	}
	defer done()
	attempt := m.GetAttempt()
	if f.WrongAttemptIDs {
		attempt = "another"
	}
	for i := m.GetFromToken(); i < m.GetMaxTokens(); i++ {
		if f.CutAfterTokens > 0 && int(i-m.GetFromToken()) >= f.CutAfterTokens {
			panic(http.ErrAbortHandler)
		}
		if f.TokenMs > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(time.Duration(f.TokenMs) * time.Millisecond):
			}
		}
		if err := stream.Send(&upstreamv1.GenerateResponse{Attempt: attempt, Index: i, Token: Token(m.GetPrompt(), i), Software: e.Software}); err != nil {
			return errors.Wrap(err, "send")
		}
	}
	return stream.Send(&upstreamv1.GenerateResponse{Attempt: attempt, End: true, Count: max(m.GetMaxTokens(), m.GetFromToken())})
}

// Token returns the token at an index of the answer to a prompt.
func Token(prompt string, index uint32) string {
	return prompt + "-" + strconv.FormatUint(uint64(index), 10)
}

func (e *Engine) exit() {
	if e.Exit != nil {
		e.Exit(3)
		return
	}
	os.Exit(3)
}

// begin checks that the request can run and counts it. The returned function
// ends the request.
func (e *Engine) begin(m *upstreamv1.GenerateRequest) (func(), error) {
	if e.Faults.Get().Leaving {
		err := refuse(connect.CodeUnavailable, m.GetAttempt(), "leaving")
		err.Meta().Set(headerLeaving, "true")
		return nil, err
	}
	if m.GetSoftware() != "" && m.GetSoftware() != e.Software {
		return nil, refuse(connect.CodeFailedPrecondition, m.GetAttempt(), "another software version")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.replicas[m.GetReplica()]
	if r == nil || !r.loaded || r.model != m.GetModel() {
		return nil, refuse(connect.CodeFailedPrecondition, m.GetAttempt(), "no such loaded replica")
	}
	if m.GetAdapter() != "" && !r.adapters[m.GetAdapter()] {
		return nil, refuse(connect.CodeFailedPrecondition, m.GetAttempt(), "adapter is not loaded")
	}
	e.running++
	r.running++
	e.stats.NumRequests++
	e.cache.add(m.GetModel(), prefixer.Hash(m.GetModel(), m.GetAdapter(), m.GetPrompt()))
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		r.running--
	}, nil
}

// Report returns the newest report that is at least Faults.LagMs old, or the
// oldest one if none is.
func (e *Engine) Report(context.Context, *connect.Request[upstreamv1.ReportRequest]) (*connect.Response[upstreamv1.ReportResponse], error) {
	lag := time.Duration(e.Faults.Get().LagMs) * time.Millisecond
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, timedReport{now, e.reportLocked()})
	for len(e.reports) > 1 && !e.reports[1].at.After(now.Add(-lag)) {
		e.reports = e.reports[1:]
	}
	return connect.NewResponse(e.reports[0].report), nil
}

func (e *Engine) reportLocked() *upstreamv1.ReportResponse {
	e.sequence++
	resp := &upstreamv1.ReportResponse{
		Incarnation: e.incarnation, Sequence: e.sequence, Leaving: e.Faults.Get().Leaving,
		Running: min(e.running, e.Slots), Queued: e.running - min(e.running, e.Slots), Slots: e.Slots,
		MemoryBytes: e.MemoryBytes, UsedBytes: e.usedLocked(), DiskCheckpoints: slices.Clone(e.disk),
		CacheEvents: slices.Clone(e.cache.events),
	}
	for id, r := range e.replicas {
		v := &upstreamv1.ReplicaReport{Replica: id, Model: r.model, Running: r.running, MemoryBytes: r.bytes, State: upstreamv1.ReplicaState_REPLICA_STATE_LOADING}
		if r.loaded {
			v.State = upstreamv1.ReplicaState_REPLICA_STATE_LOADED
		}
		for a := range r.adapters {
			v.Adapters = append(v.Adapters, a)
		}
		resp.Replicas = append(resp.Replicas, v)
	}
	return resp
}
