package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func engine(id string, startedAt int64, models ...string) *Upstream {
	u := &Upstream{ID: id, Service: "lm", Address: "192.0.2.1:1", StartedAtMs: startedAt, Slots: 8}
	for _, m := range models {
		u.Models = append(u.Models, Model{Name: m})
	}
	return u
}

func byID(list ...*Upstream) map[string]*Upstream {
	out := make(map[string]*Upstream)
	for _, u := range list {
		out[u.ID] = u
	}
	return out
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	var table Table
	table.ApplyRegistrations(byID(engine("e1", 1), engine("e2", 1)), start)
	leaving := *engine("e1", 1)
	leaving.IsLeaving = true
	table.ApplyRegistrations(byID(&leaving), start)
	s := table.Snapshot()
	require.Len(t, s.ByService["lm"], 1)
	require.Equal(t, "e2", s.ByService["lm"][0].ID)
	require.Contains(t, s.ByID, "e1", "a leaving upstream is still listed")
	table.ApplyRegistrations(map[string]*Upstream{"e2": nil}, start)
	require.Empty(t, table.Snapshot().ByService["lm"])
}

func TestVanishedRegistrationsAreKeptDuringPlatformOutage(t *testing.T) {
	var ended []string
	table := Table{RemovalGrace: 2 * time.Second, OnIncarnationEnd: func(u *Upstream, _ string) { ended = append(ended, u.ID) }}
	table.ApplyRegistrations(byID(engine("e1", 1), engine("e2", 1)), start)
	table.SetPlatformLost(true, start)
	table.ApplyRegistrations(map[string]*Upstream{"e1": nil, "e2": nil}, start)
	require.Len(t, table.Snapshot().ByService["lm"], 2, "vanished registrations are kept during the outage")
	regained := start.Add(10 * time.Second)
	table.SetPlatformLost(false, regained)
	table.Sweep(regained.Add(time.Second))
	table.ApplyRegistrations(byID(engine("e1", 1)), regained.Add(time.Second))
	require.Len(t, table.Snapshot().ByService["lm"], 2)
	table.Sweep(regained.Add(2 * time.Second))
	require.Len(t, table.Snapshot().ByService["lm"], 1)
	require.Equal(t, []string{"e2"}, ended)
}

func TestReplaceDropsUnlistedRegistrations(t *testing.T) {
	var table Table
	table.ApplyRegistrations(byID(engine("e1", 1), engine("e2", 1)), start)
	table.Replace(byID(engine("e2", 1), engine("e3", 1)), start)
	s := table.Snapshot()
	require.NotContains(t, s.ByID, "e1")
	require.Contains(t, s.ByID, "e3")
}

func TestViewOverridesModelsOfRegistration(t *testing.T) {
	var table Table
	table.ApplyRegistrations(byID(engine("e1", 1, "m1")), start)
	table.ApplyViews([]View{{ID: "e1", StartedAtMs: 1, NumOrders: 3, Models: []Model{{Name: "m2", Adapters: []string{"a1"}}}, Running: 4}}, start)
	u := table.Snapshot().ByID["e1"]
	require.False(t, u.Holds("m1", ""))
	require.True(t, u.Holds("m2", "a1"))
	require.False(t, u.Holds("m2", "a2"))
	require.Equal(t, 4, u.NumPeerAttempts)

	// A view of an earlier incarnation is ignored.
	table.ApplyRegistrations(byID(engine("e1", 2)), start)
	require.False(t, table.Snapshot().ByID["e1"].Holds("m2", ""))
}

func TestLoadingModelIsNotHeld(t *testing.T) {
	var table Table
	table.ApplyRegistrations(byID(engine("e1", 1)), start)
	table.ApplyViews([]View{{ID: "e1", StartedAtMs: 1, Models: []Model{{Name: "m1", ReadyAt: start.Add(time.Second)}}}}, start)
	require.False(t, table.Snapshot().ByID["e1"].Holds("m1", ""))
}

func TestAbsenceOverridesOtherSourcesUntilExpiryOrNextOrder(t *testing.T) {
	var table Table
	table.ApplyRegistrations(byID(engine("e1", 1)), start)
	view := View{ID: "e1", StartedAtMs: 1, Models: []Model{{Name: "m1", Adapters: []string{"a1", "a2"}}, {Name: "m2"}}}
	table.ApplyViews([]View{view}, start)
	u := table.Snapshot().ByID["e1"]
	table.RecordMisdirected(u, "m1", "a1", start)
	require.False(t, table.Snapshot().ByID["e1"].Holds("m1", "a1"))
	require.True(t, table.Snapshot().ByID["e1"].Holds("m1", "a2"), "an adapter may have been swapped out by an order")
	require.True(t, table.Snapshot().ByID["e1"].Holds("m2", ""))
	table.Sweep(start.Add(absenceTTL))
	require.True(t, table.Snapshot().ByID["e1"].Holds("m1", "a1"))

	table.RecordMisdirected(u, "m1", "a1", start.Add(absenceTTL))
	view.NumOrders = 1
	table.ApplyViews([]View{view}, start.Add(absenceTTL))
	require.True(t, table.Snapshot().ByID["e1"].Holds("m1", "a1"), "the upstream has accepted another order since")
}

func TestGoneIncarnationStaysRemoved(t *testing.T) {
	var table Table
	table.ApplyRegistrations(byID(engine("e1", 1)), start)
	table.RecordGone("e1", 1, "test")
	require.Empty(t, table.Snapshot().ByService["lm"])
	table.ApplyRegistrations(byID(engine("e1", 1)), start)
	require.Empty(t, table.Snapshot().ByService["lm"], "a registration of the same incarnation does not restore it")
	table.ApplyRegistrations(byID(engine("e1", 2)), start)
	require.Len(t, table.Snapshot().ByService["lm"], 1)
}

func TestChangedIsClosedOnNewSnapshot(t *testing.T) {
	var table Table
	s := table.Snapshot()
	table.ApplyRegistrations(byID(engine("e1", 1)), start)
	<-s.Changed
	require.NotSame(t, s, table.Snapshot())
}

// TestUpstreamThatRestartedUnderItsIDIsNotUsedByItsOldRegistration guards against requests for
// an incarnation that reach the next one, which may be of another software version.
func TestUpstreamThatRestartedUnderItsIDIsNotUsedByItsOldRegistration(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.ApplyRegistrations(map[string]*Upstream{"u": {ID: "u", Service: "s", StartedAtMs: 1, Software: "v1"}}, now)
	table.ApplyViews([]View{{ID: "u", StartedAtMs: 2}}, now)
	require.Empty(t, table.Snapshot().ByService["s"], "the conductor knows a later incarnation")
	table.ApplyRegistrations(map[string]*Upstream{"u": {ID: "u", Service: "s", StartedAtMs: 2, Software: "v2"}}, now)
	require.Equal(t, "v2", table.Snapshot().ByID["u"].Software)
	table.ApplyViews([]View{{ID: "u", StartedAtMs: 1}}, now)
	require.Len(t, table.Snapshot().ByService["s"], 1, "a view of an earlier one does not matter")
}

// TestLifeOfAProcessIsNotThatOfTheNext guards against a registration of the next process that counts
// as proof for connections to the one before.
func TestLifeOfAProcessIsNotThatOfTheNext(t *testing.T) {
	var table Table
	first, next := Incarnation{"e1", 1}, Incarnation{"e1", 2}
	table.RecordAlive(first, start)
	require.False(t, table.WasAlive(first, start), "not registered")
	table.ApplyRegistrations(byID(engine("e1", 1)), start)
	table.RecordAlive(first, start.Add(time.Second))
	table.RecordAlive(first, start)
	require.True(t, table.WasAlive(first, start.Add(time.Second)))
	require.False(t, table.WasAlive(first, start.Add(time.Second+1)))
	require.False(t, table.WasAlive(next, start))
	table.ApplyRegistrations(byID(engine("e1", 2)), start)
	require.False(t, table.WasAlive(next, start))
	require.True(t, table.WasAlive(first, start), "it lived then, whatever came later")
	table.RecordAlive(next, start.Add(2*time.Second))
	require.True(t, table.WasAlive(first, start.Add(time.Second)))
	require.False(t, table.WasAlive(first, start.Add(time.Second+1)), "the next one lives, not the first")
	require.True(t, table.WasAlive(next, start))
	require.False(t, table.WasAlive(next, start.Add(2*time.Second+1)))
}

// TestLifeOfAProcessIsKnownAfterItsEnd guards against proof that is lost with the registration, although
// the streams that the process began go on.
func TestLifeOfAProcessIsKnownAfterItsEnd(t *testing.T) {
	var table Table
	i := Incarnation{"e1", 1}
	table.ApplyRegistrations(byID(engine("e1", 1)), start)
	table.RecordAlive(i, start)
	table.ApplyRegistrations(map[string]*Upstream{"e1": nil}, start.Add(time.Second))
	require.True(t, table.WasAlive(i, start))
	table.RecordAlive(i, start.Add(time.Second))
	require.True(t, table.WasAlive(i, start.Add(time.Second)), "a state that was requested before")
	table.Sweep(start.Add(time.Second + lifeMemory - 1))
	require.True(t, table.WasAlive(i, start))
	table.Sweep(start.Add(time.Second + lifeMemory))
	require.False(t, table.WasAlive(i, start))
	require.Empty(t, table.lives)
	require.Empty(t, table.lastRegistered)
}

// TestOnlyAnUnbrokenWatchShowsThatThereWasNoSuccessor guards against an upstream that counts as the
// registered process although another one may have begun under its id, and against one that
// does not, although another would have been noticed.
func TestOnlyAnUnbrokenWatchShowsThatThereWasNoSuccessor(t *testing.T) {
	at := start.Add
	const openedAt, checkedAt = time.Second, 5 * time.Second
	i := Incarnation{"e1", 1}
	drop := map[string]*Upstream{"e1": nil}
	tests := map[string]struct {
		events   map[time.Duration]func(*Table) // by time
		unread   [2]time.Duration               // nothing is read after the first until the second
		isProven bool
	}{
		"it stays registered": {isProven: true},
		"its registration is removed": {map[time.Duration]func(*Table){
			1100 * time.Millisecond: func(t *Table) { t.ApplyRegistrations(drop, at(1100*time.Millisecond)) },
		}, [2]time.Duration{}, true},
		"another upstream registers": {map[time.Duration]func(*Table){
			2 * time.Second: func(t *Table) { t.ApplyRegistrations(byID(engine("e2", 2)), at(2*time.Second)) },
		}, [2]time.Duration{}, true},
		"the reads pause for a moment": {nil, [2]time.Duration{2 * time.Second, 2*time.Second + maxWatchGap}, true},
		"the reads pause for longer":   {nil, [2]time.Duration{2 * time.Second, 2*time.Second + maxWatchGap + 100*time.Millisecond}, false},
		"too early to know":            {nil, [2]time.Duration{3900 * time.Millisecond, time.Hour}, false},
		"another process registers under its id": {map[time.Duration]func(*Table){
			2 * time.Second: func(t *Table) { t.ApplyRegistrations(byID(engine("e1", 2)), at(2*time.Second)) },
		}, [2]time.Duration{}, false},
		"another process registers under its id after a removal": {map[time.Duration]func(*Table){
			2 * time.Second: func(t *Table) { t.ApplyRegistrations(drop, at(2*time.Second)) },
			3 * time.Second: func(t *Table) { t.ApplyRegistrations(byID(engine("e1", 2)), at(3*time.Second)) },
		}, [2]time.Duration{}, false},
		"another process registers late, since it could not reach the log": {map[time.Duration]func(*Table){
			4900 * time.Millisecond: func(t *Table) { t.ApplyRegistrations(byID(engine("e1", 2)), at(4900*time.Millisecond)) },
		}, [2]time.Duration{}, false},
		"another process, then the copy of an older registration": {map[time.Duration]func(*Table){
			2 * time.Second: func(t *Table) { t.ApplyRegistrations(byID(engine("e1", 2)), at(2*time.Second)) },
			3 * time.Second: func(t *Table) { t.ApplyRegistrations(byID(engine("e1", 1)), at(3*time.Second)) },
		}, [2]time.Duration{}, false},
		"another process responds": {map[time.Duration]func(*Table){
			4 * time.Second: func(t *Table) { t.ConfirmRestart(i, at(4*time.Second)) },
		}, [2]time.Duration{}, false},
		"another process responds after the removal": {map[time.Duration]func(*Table){
			2 * time.Second: func(t *Table) { t.ApplyRegistrations(drop, at(2*time.Second)) },
			4 * time.Second: func(t *Table) { t.ConfirmRestart(i, at(4*time.Second)) },
		}, [2]time.Duration{}, false},
		"the conductor knows another process": {map[time.Duration]func(*Table){
			4 * time.Second: func(t *Table) { t.ApplyViews([]View{{ID: "e1", StartedAtMs: 2}}, at(4*time.Second)) },
		}, [2]time.Duration{}, false},
		"the store is away for a moment": {map[time.Duration]func(*Table){
			2 * time.Second:                     func(t *Table) { t.SetPlatformLost(true, at(2*time.Second)) },
			2*time.Second + 10*time.Millisecond: func(t *Table) { t.SetPlatformLost(false, at(2*time.Second+10*time.Millisecond)) },
		}, [2]time.Duration{}, false},
		"the store is away before": {map[time.Duration]func(*Table){
			800 * time.Millisecond: func(t *Table) { t.SetPlatformLost(true, at(800*time.Millisecond)) },
			900 * time.Millisecond: func(t *Table) { t.SetPlatformLost(false, at(900*time.Millisecond)) },
		}, [2]time.Duration{}, false},
		"the log comes back from an older copy": {map[time.Duration]func(*Table){
			2 * time.Second: func(t *Table) { t.RecordRestore(at(2 * time.Second)) },
		}, [2]time.Duration{}, false},
		"it is in a list that replaces missed records": {map[time.Duration]func(*Table){
			2 * time.Second: func(t *Table) { t.Replace(byID(engine("e1", 1)), at(2*time.Second)) },
		}, [2]time.Duration{}, true},
		"it is not in a list that replaces missed records": {map[time.Duration]func(*Table){
			2 * time.Second: func(t *Table) { t.Replace(nil, at(2*time.Second)) },
		}, [2]time.Duration{}, false},
		"its registration was removed before such a list": {map[time.Duration]func(*Table){
			1500 * time.Millisecond: func(t *Table) { t.ApplyRegistrations(drop, at(1500*time.Millisecond)) },
			2 * time.Second:         func(t *Table) { t.Replace(byID(engine("e2", 1)), at(2*time.Second)) },
		}, [2]time.Duration{}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := &Table{RemovalGrace: 200 * time.Millisecond}
			table.ApplyRegistrations(byID(engine("e1", 1)), start)
			for now := time.Duration(0); now <= checkedAt; now += 10 * time.Millisecond {
				if e := tt.events[now]; e != nil {
					e(table)
				}
				if now%(100*time.Millisecond) == 0 && (now <= tt.unread[0] || now >= tt.unread[1]) {
					table.RecordWatch(at(now), at(now))
				}
			}
			require.Equal(t, tt.isProven, table.HadNoSuccessor(i, at(openedAt)))
			require.False(t, table.HadNoSuccessor(Incarnation{"e3", 1}, at(openedAt)), "was never registered")
			table.RecordWatch(at(checkedAt+lifeMemory), at(checkedAt+lifeMemory))
			require.Len(t, table.watches, 1, "the old ones are dropped")
		})
	}
}
