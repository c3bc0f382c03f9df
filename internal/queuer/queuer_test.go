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
	fromStore = 6 * time.Second
	fromDisk  = 800 * time.Millisecond
)

func config() *matcher.Config {
	models := map[string]matcher.Model{"m1": {Name: "m1", FromStore: fromStore, FromDisk: fromDisk, FromHost: fromDisk / 2}}
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
	t.ApplyEntries(all, start)
	return t.Now()
}

func engine(id string, models ...registrar.Model) *registrar.Upstream {
	return &registrar.Upstream{ID: id, Service: "lm", DataCentre: "dc1", Slots: 2, Born: 1, Models: models}
}

func ask(priority int, objective time.Duration) Ask {
	return Ask{Service: "lm", Model: "m1", Priority: priority, Objective: start.Add(objective), Limit: start.Add(2 * time.Second)}
}

func newTable() *Table { return &Table{DataCentre: "dc1", IsLed: true} }

func TestSlotsCountWhatPeersRun(t *testing.T) {
	u := engine("e1", registrar.Model{Name: "m1"})
	u.PeersRunning = 1
	table, s, cfg := newTable(), snapshot(u), config()
	require.NotNil(t, table.Grant(ask(1, 0), s, cfg, start))
	require.Nil(t, table.Grant(ask(1, 0), s, cfg, start))
	table.Release(ask(1, 0), "e1")
	require.NotNil(t, table.Grant(ask(1, 0), s, cfg, start))
}

func TestPlainUpstreamsQueueALittle(t *testing.T) {
	s := snapshot(&registrar.Upstream{ID: "p1", Service: "plain", Slots: 1})
	table, cfg := newTable(), config()
	a := Ask{Service: "plain", Limit: start.Add(time.Second)}
	for range 1 + plainQueue {
		require.NotNil(t, table.Grant(a, s, cfg, start))
	}
	require.Nil(t, table.Grant(a, s, cfg, start))
}

func TestOwnDataCentreFirstWhileItHasRoom(t *testing.T) {
	far := engine("e1", registrar.Model{Name: "m1"})
	far.DataCentre = "dc2"
	near := engine("e2", registrar.Model{Name: "m1"})
	table, s, cfg := newTable(), snapshot(far, near), config()
	require.Equal(t, "e2", table.Grant(ask(1, 0), s, cfg, start).ID)
	require.Equal(t, "e2", table.Grant(ask(1, 0), s, cfg, start).ID, "one of two slots is below the share")
	require.Equal(t, "e1", table.Grant(ask(1, 0), s, cfg, start).ID)
}

// Waiting requests go by priority, then by objective, as room comes.
func TestOrderOfWaiters(t *testing.T) {
	table, cfg := newTable(), config()
	u := engine("e1", registrar.Model{Name: "m1"})
	u.Slots = 3
	late := table.Wait(ask(1, 900*time.Millisecond), start)
	urgent := table.Wait(ask(0, 2*time.Second), start)
	early := table.Wait(ask(1, 300*time.Millisecond), start)
	last := table.Wait(ask(2, 0), start)
	table.Pump(snapshot(u), cfg, start)
	for _, w := range []*Waiter{late, urgent, early} {
		require.Len(t, w.granted, 1)
	}
	require.Empty(t, last.granted)
	require.False(t, table.Leave(urgent))
	require.True(t, table.Leave(last))
}

func TestEstimate(t *testing.T) {
	plain := engine("e1")
	disk := engine("e1")
	disk.OnDisk = []string{"m1"}
	loading := engine("e1", registrar.Model{Name: "m1", ReadyAt: start.Add(3 * time.Second)})
	held := engine("e1", registrar.Model{Name: "m1"})
	adapter := ask(1, 0)
	adapter.Adapter = "a1"
	tests := []struct {
		name    string
		u       *registrar.Upstream
		ask     Ask
		led     bool
		start   time.Duration
		missing bool
	}{
		{"in the store", plain, ask(1, 0), true, fromStore + swapDelay, true},
		{"on disk", disk, ask(1, 0), true, fromDisk + swapDelay, true},
		{"on disk, nobody gives orders", disk, ask(1, 0), false, fromStore + swapDelay + leaderless, true},
		{"loading", loading, ask(1, 0), true, 3 * time.Second, true},
		{"loading, nobody gives orders", loading, ask(1, 0), false, 3 * time.Second, true},
		{"held", held, ask(1, 0), true, 0, false},
		{"adapter missing", held, adapter, true, adapterDelay, true},
	}
	for _, tt := range tests {
		table := newTable()
		table.IsLed = tt.led
		require.Equal(t, Outlook{tt.start, tt.missing}, table.Estimate(tt.ask, snapshot(tt.u), config(), start), tt.name)
	}
}

// A request whose model turns out not to come in time is refused as soon as
// that is known, not at its limit.
func TestExpire(t *testing.T) {
	table, cfg := newTable(), config()
	disk := engine("e1")
	disk.OnDisk = []string{"m1"}
	w := table.Wait(ask(1, 0), start)
	table.Expire(snapshot(disk), cfg, start)
	require.Empty(t, w.refused)
	table.Expire(snapshot(disk), cfg, start.Add(time.Second))
	require.Equal(t, fromDisk+swapDelay, (<-w.refused).Start)
	require.Zero(t, table.Waiting())
}

func TestRefusedRequestsStayWanted(t *testing.T) {
	table := newTable()
	table.Arrive(ask(1, 300*time.Millisecond))
	table.Want(ask(1, 300*time.Millisecond), start, start.Add(3*time.Second))
	uses := table.Uses(start)
	require.Equal(t, 1, uses[0].Arrived)
	require.Equal(t, 1, uses[0].Waiting)
	require.Equal(t, 300*time.Millisecond, uses[0].Objective)
	require.Equal(t, 1, table.Uses(start.Add(2 * time.Second))[0].Waiting)
	require.Empty(t, table.Uses(start.Add(4*time.Second)))
}

func TestUpstreamThatShedsOrFailsRests(t *testing.T) {
	table, s, cfg := newTable(), snapshot(engine("e1", registrar.Model{Name: "m1"})), config()
	table.Arrive(ask(1, 0))
	table.Shed(ask(1, 0), "e1", start)
	require.Nil(t, table.Grant(ask(1, 0), s, cfg, start))
	u := table.Grant(ask(1, 0), s, cfg, start.Add(shedPause))
	require.NotNil(t, u)
	opened := false
	for range 5 {
		opened = table.Note(u, Outcome{Failed: true, Began: start}, start.Add(time.Second)) || opened
	}
	require.True(t, opened)
	require.Nil(t, table.Grant(ask(1, 0), s, cfg, start.Add(time.Second)))
}

func newQueue(list ...*registrar.Upstream) *Queue {
	b := &registrar.Table{}
	all := make(map[string]*registrar.Upstream)
	for _, u := range list {
		all[u.ID] = u
	}
	b.ApplyEntries(all, time.Now())
	cfg := config()
	return &Queue{Beliefs: b, Config: func() *matcher.Config { return cfg }, IsLed: func() bool { return true }}
}

func TestAcquireRefusesAtOnceWhatCannotBeServed(t *testing.T) {
	q := newQueue(engine("e1"))
	woken := 0
	q.OnWait = func() { woken++ }
	_, err := q.Acquire(t.Context(), Ask{Service: "lm", Model: "m1", Limit: time.Now().Add(fromStore)})
	r := verdict.Of(err)
	require.Equal(t, verdict.NotRun, r.Ran)
	require.Equal(t, verdict.ReasonNoUpstream, r.Reason)
	require.Equal(t, fromStore+swapDelay, r.ComeBack)
	require.Equal(t, 1, woken)
}

func TestWaiterIsGrantedWhenItsModelIsLoaded(t *testing.T) {
	u := engine("e1")
	u.OnDisk = []string{"m1"}
	q := newQueue(u)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	q.OnWait = func() {
		q.Beliefs.ApplyViews([]registrar.View{{ID: "e1", Born: 1, Models: []registrar.Model{{Name: "m1"}}}}, time.Now())
		go q.Run(ctx)
	}
	slot, err := q.Acquire(t.Context(), Ask{Service: "lm", Model: "m1", Limit: time.Now().Add(time.Hour)})
	require.NoError(t, err)
	require.Equal(t, "e1", slot.Upstream.ID)
	slot.Release()
	require.Zero(t, q.Table.Running("e1"))
}

func TestCloseRefusesThoseWhoWait(t *testing.T) {
	u := engine("e1")
	u.OnDisk = []string{"m1"}
	q := newQueue(u)
	q.OnWait = func() { go q.Close() }
	_, err := q.Acquire(t.Context(), Ask{Service: "lm", Model: "m1", Limit: time.Now().Add(time.Hour)})
	require.Equal(t, verdict.ReasonStopping, verdict.Of(err).Reason)
}

func TestClientThatLeavesStopsWaiting(t *testing.T) {
	u := engine("e1")
	u.OnDisk = []string{"m1"}
	q := newQueue(u)
	ctx, cancel := context.WithCancel(t.Context())
	q.OnWait = cancel
	_, err := q.Acquire(ctx, Ask{Service: "lm", Model: "m1", Limit: time.Now().Add(time.Hour)})
	require.Equal(t, verdict.ReasonCanceled, verdict.Of(err).Reason)
	require.Zero(t, q.Table.Waiting())
}
