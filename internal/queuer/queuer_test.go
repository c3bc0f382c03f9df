package queuer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

var start = time.Unix(1000, 0)

const (
	storeLoadDuration = 6 * time.Second
	diskLoadDuration  = 800 * time.Millisecond
)

func config() *matcher.Config {
	models := map[string]matcher.Model{"m1": {Name: "m1", StoreLoadDuration: storeLoadDuration, DiskLoadDuration: diskLoadDuration, HostLoadDuration: diskLoadDuration / 2}}
	return matcher.New(1, nil, map[string]matcher.Service{
		"lm":    {Name: "lm", Engine: &matcher.Engine{Slots: 2, Models: models}},
		"plain": {Name: "plain"},
	}, matcher.Limits{})
}

func snapshot(list ...*registrar.Upstream) *registrar.Snapshot {
	var t registrar.Table
	all := make(map[string]*registrar.Upstream)
	for _, u := range list {
		all[u.ID] = u
	}
	t.ApplyRegistrations(all, start)
	return t.Snapshot()
}

func engine(id string, models ...registrar.Model) *registrar.Upstream {
	return &registrar.Upstream{ID: id, Service: "lm", DataCentre: "dc1", Slots: 2, StartedAtMs: 1, Models: models}
}

func newRequest(priority int, objective time.Duration) Request {
	return Request{Service: "lm", Model: "m1", Priority: priority, Objective: start.Add(objective), StartBy: start.Add(2 * time.Second)}
}

func newTable() *Table { return &Table{DataCentre: "dc1", HasConductor: true} }

func TestPeerRequestsOccupySlots(t *testing.T) {
	u := engine("e1", registrar.Model{Name: "m1"})
	u.NumPeerAttempts = 1
	table, s, cfg := newTable(), snapshot(u), config()
	require.NotNil(t, table.Grant(newRequest(1, 0), s, cfg, start))
	require.Nil(t, table.Grant(newRequest(1, 0), s, cfg, start))
	table.Release(newRequest(1, 0), "e1")
	require.NotNil(t, table.Grant(newRequest(1, 0), s, cfg, start))
}

func TestPlainUpstreamsQueueBeyondTheirSlots(t *testing.T) {
	s := snapshot(&registrar.Upstream{ID: "p1", Service: "plain", Slots: 1})
	table, cfg := newTable(), config()
	req := Request{Service: "plain", StartBy: start.Add(time.Second)}
	for range 1 + plainQueueLength {
		require.NotNil(t, table.Grant(req, s, cfg, start))
	}
	require.Nil(t, table.Grant(req, s, cfg, start))
}

func TestLocalDataCentreIsPreferredWhileLightlyLoaded(t *testing.T) {
	far := engine("e1", registrar.Model{Name: "m1"})
	far.DataCentre = "dc2"
	near := engine("e2", registrar.Model{Name: "m1"})
	table, s, cfg := newTable(), snapshot(far, near), config()
	require.Equal(t, "e2", table.Grant(newRequest(1, 0), s, cfg, start).ID)
	require.Equal(t, "e2", table.Grant(newRequest(1, 0), s, cfg, start).ID, "one of two slots in use is below maxLocalLoad")
	require.Equal(t, "e1", table.Grant(newRequest(1, 0), s, cfg, start).ID)
}

// Waiting requests are granted by priority, then by objective.
func TestWaitersAreGrantedByPriorityThenObjective(t *testing.T) {
	table, cfg := newTable(), config()
	u := engine("e1", registrar.Model{Name: "m1"})
	u.Slots = 3
	late := table.Wait(newRequest(1, 900*time.Millisecond), start)
	urgent := table.Wait(newRequest(0, 2*time.Second), start)
	early := table.Wait(newRequest(1, 300*time.Millisecond), start)
	last := table.Wait(newRequest(2, 0), start)
	table.GrantWaiting(snapshot(u), cfg, start)
	for _, w := range []*Waiter{late, urgent, early} {
		require.Len(t, w.granted, 1)
	}
	require.Empty(t, last.granted)
	require.False(t, table.Remove(urgent))
	require.True(t, table.Remove(last))
}

func TestEstimateStart(t *testing.T) {
	notLoaded := engine("e1")
	onDisk := engine("e1")
	onDisk.OnDisk = []string{"m1"}
	loading := engine("e1", registrar.Model{Name: "m1", ReadyAt: start.Add(3 * time.Second)})
	loaded := engine("e1", registrar.Model{Name: "m1"})
	adapter := newRequest(1, 0)
	adapter.Adapter = "a1"
	tests := []struct {
		name         string
		u            *registrar.Upstream
		request      Request
		hasConductor bool
		start        time.Duration
		needsLoad    bool
	}{
		{"in the store", notLoaded, newRequest(1, 0), true, storeLoadDuration + swapOverhead, true},
		{"on disk", onDisk, newRequest(1, 0), true, diskLoadDuration + swapOverhead, true},
		{"on disk, no conductor", onDisk, newRequest(1, 0), false, diskLoadDuration + swapOverhead + failoverDelay, true},
		{"in the store, no conductor", notLoaded, newRequest(1, 0), false, storeLoadDuration + swapOverhead + failoverDelay, true},
		{"loading", loading, newRequest(1, 0), true, 3 * time.Second, true},
		{"loading, no conductor", loading, newRequest(1, 0), false, 3 * time.Second, true},
		{"loaded", loaded, newRequest(1, 0), true, 0, false},
		{"adapter not loaded", loaded, adapter, true, adapterLoadDelay, true},
	}
	for _, tt := range tests {
		table := newTable()
		table.HasConductor = tt.hasConductor
		require.Equal(t, StartEstimate{Delay: tt.start, NeedsLoad: tt.needsLoad}, table.Estimate(tt.request, snapshot(tt.u), config(), start), tt.name)
	}
}

// A request whose model will not be loaded in time is refused as soon as this is
// known, and not at its latest start time.
func TestWaitersThatCannotStartInTimeAreRefusedEarly(t *testing.T) {
	table, cfg := newTable(), config()
	onDisk := engine("e1")
	onDisk.OnDisk = []string{"m1"}
	w := table.Wait(newRequest(1, 0), start)
	table.Expire(snapshot(onDisk), cfg, start)
	require.Empty(t, w.refused)
	table.Expire(snapshot(onDisk), cfg, start.Add(time.Second))
	require.Equal(t, diskLoadDuration+swapOverhead, (<-w.refused).Delay)
	require.Zero(t, table.Waiting())
}

func TestRefusedRequestsCountAsDemandUntilRetry(t *testing.T) {
	table := newTable()
	table.Arrive(newRequest(1, 300*time.Millisecond))
	table.ExpectRetry(newRequest(1, 300*time.Millisecond), start, start.Add(3*time.Second))
	demands := table.Demands(start)
	require.Equal(t, 1, demands[0].Arrived)
	require.Equal(t, 1, demands[0].Waiting)
	require.Equal(t, 300*time.Millisecond, demands[0].Objective)
	require.Equal(t, 1, table.Demands(start.Add(2 * time.Second))[0].Waiting)
	require.Empty(t, table.Demands(start.Add(4*time.Second)))
}

func TestUpstreamThatShedsOrFailsIsSkipped(t *testing.T) {
	table, s, cfg := newTable(), snapshot(engine("e1", registrar.Model{Name: "m1"})), config()
	table.Arrive(newRequest(1, 0))
	table.Shed(newRequest(1, 0), s.ByID["e1"], start)
	require.Nil(t, table.Grant(newRequest(1, 0), s, cfg, start))
	u := table.Grant(newRequest(1, 0), s, cfg, start.Add(shedDelay))
	require.NotNil(t, u)
	opened := false
	for range 5 {
		opened = table.RecordOutcome(u, Outcome{Failed: true, Began: start}, start.Add(time.Second)) || opened
	}
	require.True(t, opened)
	require.Nil(t, table.Grant(newRequest(1, 0), s, cfg, start.Add(time.Second)))
}

func newQueue(list ...*registrar.Upstream) *Queue {
	upstreams := &registrar.Table{}
	all := make(map[string]*registrar.Upstream)
	for _, u := range list {
		all[u.ID] = u
	}
	upstreams.ApplyRegistrations(all, time.Now())
	cfg := config()
	return &Queue{Upstreams: upstreams, Config: func() *matcher.Config { return cfg }, HasConductor: func() bool { return true }}
}

func TestAcquireRefusesAtOnceIfTheLoadTakesTooLong(t *testing.T) {
	q := newQueue(engine("e1"))
	notified := 0
	q.OnDemandChange = func() { notified++ }
	_, err := q.Acquire(t.Context(), Request{Service: "lm", Model: "m1", StartBy: time.Now().Add(storeLoadDuration)})
	r := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, r.Ran)
	require.Equal(t, verdict.ReasonNoUpstream, r.Reason)
	require.Equal(t, storeLoadDuration+swapOverhead, r.RetryAfter)
	require.Equal(t, 1, notified)
}

func TestWaiterIsGrantedWhenItsModelIsLoaded(t *testing.T) {
	u := engine("e1")
	u.OnDisk = []string{"m1"}
	q := newQueue(u)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	q.OnDemandChange = func() {
		q.Upstreams.ApplyViews([]registrar.View{{ID: "e1", StartedAtMs: 1, Models: []registrar.Model{{Name: "m1"}}}}, time.Now())
		go q.Run(ctx)
	}
	slot, err := q.Acquire(t.Context(), Request{Service: "lm", Model: "m1", StartBy: time.Now().Add(time.Hour)})
	require.NoError(t, err)
	require.Equal(t, "e1", slot.Upstream.ID)
	slot.Release()
	require.Zero(t, q.Table.Running("e1"))
}

func TestCloseRefusesWaitingRequests(t *testing.T) {
	u := engine("e1")
	u.OnDisk = []string{"m1"}
	q := newQueue(u)
	q.OnDemandChange = func() { go q.Close() }
	_, err := q.Acquire(t.Context(), Request{Service: "lm", Model: "m1", StartBy: time.Now().Add(time.Hour)})
	require.Equal(t, verdict.ReasonStopping, verdict.FromError(err).Reason)
}

func TestCanceledRequestStopsWaiting(t *testing.T) {
	u := engine("e1")
	u.OnDisk = []string{"m1"}
	q := newQueue(u)
	ctx, cancel := context.WithCancel(t.Context())
	q.OnDemandChange = cancel
	_, err := q.Acquire(ctx, Request{Service: "lm", Model: "m1", StartBy: time.Now().Add(time.Hour)})
	require.Equal(t, verdict.ReasonCanceled, verdict.FromError(err).Reason)
	require.Zero(t, q.Table.Waiting())
}

// A short prompt starts although an earlier one of the same model is too long for
// what the upstream can process at present.
func TestShortPromptIsGrantedBehindLongOne(t *testing.T) {
	table, s, cfg := newTable(), snapshot(engine("e1", registrar.Model{Name: "m1"})), config()
	first, long, short := newRequest(1, 0), newRequest(1, time.Second), newRequest(1, 2*time.Second)
	first.Tokens, long.Tokens, short.Tokens = maxPrefillTokens/2, maxPrefillTokens, maxPrefillTokens/4
	require.NotNil(t, table.Grant(first, s, cfg, start))
	longWaiter, shortWaiter := table.Wait(long, start), table.Wait(short, start)
	table.GrantWaiting(s, cfg, start)
	require.Nil(t, longWaiter.Granted())
	require.NotNil(t, shortWaiter.Granted())
}

// A request that is refused at the moment at which its time runs out counts as
// demand like one that is refused earlier.
func TestRefusalThatRacesWithTimerCountsAsDemand(t *testing.T) {
	u := engine("e1")
	u.OnDisk = []string{"m1"}
	q := newQueue(u)
	q.OnDemandChange = func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		for _, w := range q.Table.waiting {
			// The refusal has taken the request out of the table and is delivered after
			// the timer.
			time.AfterFunc(time.Until(w.Request.StartBy)+10*time.Millisecond, func() {
				w.refused <- StartEstimate{Delay: time.Second, NeedsLoad: true}
			})
		}
		q.Table.waiting = nil
	}
	req := Request{Service: "lm", Model: "m1", StartBy: time.Now().Add(diskLoadDuration + swapOverhead + 50*time.Millisecond)}
	_, err := q.Acquire(t.Context(), req)
	require.Equal(t, verdict.ReasonNoUpstream, verdict.FromError(err).Reason)
	demands, _ := q.Demands()
	require.Len(t, demands, 1)
	require.Equal(t, 1, demands[0].Waiting)
}
