package test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/standin/checker"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/caller"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// nextOffset returns the offset of the log's next append.
func (f *fleet) nextOffset() uint64 {
	f.t.Helper()
	resp, err := platformv1connect.NewLogQueriesClient(http.DefaultClient, "http://"+f.log).
		Bounds(context.Background(), connect.NewRequest(&platformv1.BoundsRequest{}))
	require.NoError(f.t, err)
	return resp.Msg.GetNextOffset()
}

// state reads the whole log and returns the resulting state.
func (f *fleet) state() *applier.State {
	f.t.Helper()
	return f.stateBefore(f.nextOffset())
}

// stateBefore returns the state that results from the records before an offset.
func (f *fleet) stateBefore(next uint64) *applier.State {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	stream, err := platformv1connect.NewLogQueriesClient(http.DefaultClient, "http://"+f.log).
		Tail(ctx, connect.NewRequest(&platformv1.TailRequest{}))
	require.NoError(f.t, err)
	s := new(applier.State)
	for s.NextOffset < next && stream.Receive() {
		for _, e := range stream.Msg().GetEntries() {
			if e.GetOffset() < next {
				s.Apply(e.GetOffset(), e.GetPayload())
			}
		}
	}
	require.GreaterOrEqual(f.t, s.NextOffset, next, "%v", stream.Err())
	return s
}

// engineStates returns the state of each engine.
func (f *fleet) engineStates() []checker.EngineState {
	f.t.Helper()
	var out []checker.EngineState
	for name := range f.procs {
		if !strings.HasPrefix(name, "taalmodellen") {
			continue
		}
		resp, err := http.Get("http://" + f.addresses[name] + "/held")
		require.NoError(f.t, err)
		state := checker.EngineState{}
		require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&state))
		require.NoError(f.t, resp.Body.Close())
		state.Upstream = name
		out = append(out, state)
	}
	return out
}

// checkEngines fails the test if an engine has a replica without a decision in
// the log.
func (f *fleet) checkEngines() {
	f.t.Helper()
	before := f.engineStates()
	s := f.state()
	require.Empty(f.t, checker.CheckEngines(before, s, f.engineStates()))
}

// hasOutcome reports whether the outcome of the key is in the log.
func (f *fleet) hasOutcome(key string) bool {
	f.t.Helper()
	in, ok := f.state().Intents.Get(applier.IntentKey{Customer: "tolwerk", Key: key})
	return ok && in.Outcome != recordv1.OutcomeKind_OUTCOME_KIND_UNSPECIFIED
}

// hasIntentBefore reports whether the intent of the key is among the records before an offset.
func (f *fleet) hasIntentBefore(key string, offset uint64) bool {
	f.t.Helper()
	_, ok := f.stateBefore(offset).Intents.Get(applier.IntentKey{Customer: "tolwerk", Key: key})
	return ok
}

// callLog collects the results of calls by key.
type callLog struct {
	mu      sync.Mutex
	results []checker.CallResult
}

// call sends a debit with the key to one entry instance and records the result.
func (f *fleet) call(calls *callLog, e *entryProcess, key string, deadlineMs uint32) (*callerv1.CallResponse, error) {
	c := &caller.Client{Customer: "tolwerk", Entries: []string{e.caller}, HTTP: pinnedClient(e.caller)}
	resp, err := c.Call(context.Background(), &callerv1.CallRequest{Service: "kernheffing", Method: "debit", Key: key, DeadlineMs: deadlineMs})
	calls.mu.Lock()
	defer calls.mu.Unlock()
	calls.results = append(calls.results, checker.CallResult{Key: key, Err: err})
	return resp, err
}

// retryWhileNotRun repeats the call with the key while it is refused as not run.
func (f *fleet) retryWhileNotRun(calls *callLog, e *entryProcess, key string) {
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err := f.call(calls, e, key, 20_000); err == nil || verdict.FromError(err).Ran != verdict.NotRun {
			return
		}
	}
}

// pinnedClient returns a client that sends all requests to one address.
func pinnedClient(address string) *http.Client {
	return &http.Client{Transport: pinnedTransport{address}}
}

type pinnedTransport struct{ address string }

func (p pinnedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Host = p.address
	return http.DefaultTransport.RoundTrip(r)
}

// checkCalls fails the test if a key ran twice, or if the run counts of the
// service contradict the results of the calls.
func (f *fleet) checkCalls(calls *callLog) {
	f.t.Helper()
	calls.mu.Lock()
	defer calls.mu.Unlock()
	require.Empty(f.t, checker.CheckCalls(f.runCounts("kernheffing-1"), calls.results))
}
