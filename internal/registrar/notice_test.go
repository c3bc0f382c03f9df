package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func tableWith(u *Upstream) *Table {
	t := &Table{RemovalGrace: time.Second}
	t.ApplyRegistrations(map[string]*Upstream{u.ID: u}, start)
	return t
}

// An upstream that has responded that it is leaving stays left out, whatever its
// registration says, until its incarnation has ended.
func TestLeavingHoldsForTheIncarnation(t *testing.T) {
	table := tableWith(&Upstream{ID: "u1", Service: "s", StartedAtMs: 1})
	var notified []Incarnation
	table.OnLeaving = func(i Incarnation) { notified = append(notified, i) }
	usable := func() int { return len(table.Snapshot().ByService["s"]) }
	table.ApplyNotice("u1", 1, Notice{}, start)
	table.ApplyNotice("u1", 2, Notice{IsLeaving: true}, start)
	require.Equal(t, 1, usable(), "said by another incarnation")
	table.ApplyNotice("u1", 1, Notice{IsLeaving: true}, start)
	table.ApplyNotice("u1", 1, Notice{IsLeaving: true}, start)
	require.Zero(t, usable())
	require.True(t, table.Snapshot().ByID["u1"].IsLeaving)
	require.Equal(t, []Incarnation{{"u1", 1}}, notified)
	table.ApplyRegistrations(map[string]*Upstream{"u1": {ID: "u1", Service: "s", StartedAtMs: 1}}, start)
	require.Zero(t, usable(), "an older registration does not take it back")
	table.ApplyRegistrations(map[string]*Upstream{"u1": {ID: "u1", Service: "s", StartedAtMs: 2}}, start)
	require.Equal(t, 1, usable())
	table.ApplyRegistrations(map[string]*Upstream{"u1": nil}, start)
	require.Empty(t, table.Leaving())
}

// A retry delay holds for the incarnation that stated it, and is not shortened by a
// later one.
func TestPauseLastsAsLongAsStated(t *testing.T) {
	table := tableWith(&Upstream{ID: "u1", Service: "s", StartedAtMs: 1})
	u := func() *Upstream { return table.Snapshot().ByID["u1"] }
	require.False(t, u().IsPaused(start))
	table.ApplyNotice("u1", 1, Notice{RetryAfter: 3 * time.Second}, start)
	table.ApplyNotice("u1", 1, Notice{RetryAfter: time.Second}, start)
	require.True(t, u().IsPaused(start.Add(3*time.Second-1)))
	require.False(t, u().IsPaused(start.Add(3*time.Second)))
	table.ApplyNotice("u1", 1, Notice{RetryAfter: 1000 * time.Hour}, start)
	require.False(t, u().IsPaused(start.Add(maxPause)), "bounded")
	table.ApplyRegistrations(map[string]*Upstream{"u1": {ID: "u1", Service: "s", StartedAtMs: 2}}, start)
	require.False(t, u().IsPaused(start))
}

// Registrations that are missing from a restored log may return for a while.
func TestRegistrationsMissingAfterRestoreAreKeptForGrace(t *testing.T) {
	table := tableWith(&Upstream{ID: "u1", Service: "s", StartedAtMs: 1})
	table.RecordRestore(start)
	table.Replace(nil, start)
	table.Sweep(start.Add(time.Second - 1))
	require.Len(t, table.Snapshot().ByID, 1)
	table.Sweep(start.Add(time.Second))
	require.Empty(t, table.Snapshot().ByID)

	table = tableWith(&Upstream{ID: "u1", Service: "s", StartedAtMs: 1})
	table.RecordRestore(start)
	table.Replace(nil, start)
	table.ApplyRegistrations(map[string]*Upstream{"u1": {ID: "u1", Service: "s", StartedAtMs: 1}}, start.Add(time.Second/2))
	table.Sweep(start.Add(2 * time.Second))
	require.Len(t, table.Snapshot().ByID, 1, "written again in time")
}

func TestRegistrationsAreIncompleteAroundOutages(t *testing.T) {
	var empty Table
	require.False(t, empty.IsComplete(start), "nothing was read yet")
	u := &Upstream{ID: "u1", StartedAtMs: 1}
	table := tableWith(u)
	require.True(t, table.IsComplete(start))
	table.SetPlatformLost(true, start)
	require.False(t, table.IsComplete(start))
	table.SetPlatformLost(false, start)
	require.False(t, table.IsComplete(start), "registrations may return")
	require.True(t, table.IsComplete(start.Add(table.RemovalGrace)))
	table.RecordRestore(start.Add(time.Minute))
	require.False(t, table.IsComplete(start.Add(time.Minute)))

	require.True(t, table.IsRegistered(u.Incarnation()))
	require.False(t, table.IsRegistered(Incarnation{"u1", 2}))
	table.RecordGone("u1", 1, "its address answers as another upstream")
	require.False(t, table.IsRegistered(u.Incarnation()))
}
