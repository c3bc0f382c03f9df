package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func engine(id string, born int64, models ...string) *Upstream {
	u := &Upstream{ID: id, Service: "lm", Address: "192.0.2.1:1", Born: born, Slots: 8}
	for _, m := range models {
		u.Models = append(u.Models, Model{Name: m})
	}
	return u
}

func entries(list ...*Upstream) map[string]*Upstream {
	out := make(map[string]*Upstream)
	for _, u := range list {
		out[u.ID] = u
	}
	return out
}

func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	var table Table
	table.ApplyEntries(entries(engine("e1", 1), engine("e2", 1)), start)
	leaves := *engine("e1", 1)
	leaves.IsLeaving = true
	table.ApplyEntries(entries(&leaves), start)
	s := table.Now()
	require.Len(t, s.Services["lm"], 1)
	require.Equal(t, "e2", s.Services["lm"][0].ID)
	require.Contains(t, s.ByID, "e1", "it is still known")
	table.ApplyEntries(map[string]*Upstream{"e2": nil}, start)
	require.Empty(t, table.Now().Services["lm"])
}

func TestEntriesThatVanishWhileThePlatformIsAway(t *testing.T) {
	var ended []string
	table := Table{Grace: 2 * time.Second, OnEnd: func(u *Upstream, _ string) { ended = append(ended, u.ID) }}
	table.ApplyEntries(entries(engine("e1", 1), engine("e2", 1)), start)
	table.SetAway(true, start)
	table.ApplyEntries(map[string]*Upstream{"e1": nil, "e2": nil}, start)
	require.Len(t, table.Now().Services["lm"], 2, "the old list is believed")
	back := start.Add(10 * time.Second)
	table.SetAway(false, back)
	table.Sweep(back.Add(time.Second))
	table.ApplyEntries(entries(engine("e1", 1)), back.Add(time.Second))
	require.Len(t, table.Now().Services["lm"], 2)
	table.Sweep(back.Add(2 * time.Second))
	require.Len(t, table.Now().Services["lm"], 1)
	require.Equal(t, []string{"e2"}, ended)
}

func TestListReplacesAll(t *testing.T) {
	var table Table
	table.ApplyEntries(entries(engine("e1", 1), engine("e2", 1)), start)
	table.Replace(entries(engine("e2", 1), engine("e3", 1)), start)
	s := table.Now()
	require.NotContains(t, s.ByID, "e1")
	require.Contains(t, s.ByID, "e3")
}

func TestViewSaysWhatAnUpstreamHolds(t *testing.T) {
	var table Table
	table.ApplyEntries(entries(engine("e1", 1, "m1")), start)
	table.ApplyViews([]View{{ID: "e1", Born: 1, Orders: 3, Models: []Model{{Name: "m2", Adapters: []string{"a1"}}}, Running: 4}}, start)
	u := table.Now().ByID["e1"]
	require.False(t, u.Holds("m1", ""))
	require.True(t, u.Holds("m2", "a1"))
	require.False(t, u.Holds("m2", "a2"))
	require.Equal(t, 4, u.PeersRunning)

	// A view of an earlier run of the process says nothing.
	table.ApplyEntries(entries(engine("e1", 2)), start)
	require.False(t, table.Now().ByID["e1"].Holds("m2", ""))
}

func TestModelThatIsLoading(t *testing.T) {
	var table Table
	table.ApplyEntries(entries(engine("e1", 1)), start)
	table.ApplyViews([]View{{ID: "e1", Born: 1, Models: []Model{{Name: "m1", ReadyAt: start.Add(time.Second)}}}}, start)
	require.False(t, table.Now().ByID["e1"].Holds("m1", ""))
}

func TestAnswersOutweighOtherSourcesForAWhile(t *testing.T) {
	var table Table
	table.ApplyEntries(entries(engine("e1", 1, "m1", "m2")), start)
	u := table.Now().ByID["e1"]
	table.NoteAbsent(u, "m1", "", start)
	require.False(t, table.Now().ByID["e1"].Holds("m1", ""))
	require.True(t, table.Now().ByID["e1"].Holds("m2", ""))
	table.Sweep(start.Add(absentFor))
	require.True(t, table.Now().ByID["e1"].Holds("m1", ""))

	table.NoteAbsent(u, "m1", "", start.Add(absentFor))
	table.ApplyViews([]View{{ID: "e1", Born: 1, Orders: 1, Models: []Model{{Name: "m1"}}}}, start.Add(absentFor))
	require.True(t, table.Now().ByID["e1"].Holds("m1", ""), "another order was given since")
}

func TestAddressThatAnswersAsAnotherUpstream(t *testing.T) {
	var table Table
	table.ApplyEntries(entries(engine("e1", 1)), start)
	table.NoteGone("e1", 1, "test")
	require.Empty(t, table.Now().Services["lm"])
	table.ApplyEntries(entries(engine("e1", 1)), start)
	require.Empty(t, table.Now().Services["lm"], "an entry of the same run does not bring it back")
	table.ApplyEntries(entries(engine("e1", 2)), start)
	require.Len(t, table.Now().Services["lm"], 1)
}

func TestChangedTellsOfANewSnapshot(t *testing.T) {
	var table Table
	s := table.Now()
	table.ApplyEntries(entries(engine("e1", 1)), start)
	<-s.Changed
	require.NotSame(t, s, table.Now())
}
