package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func tableWithOne() *Table {
	t := &Table{}
	t.ApplyRegistrations(map[string]*Upstream{"u1": {ID: "u1", StartedAtMs: 1}}, start)
	return t
}

// limitOf returns the limit of the upstream, -1 for none.
func (t *Table) limitOf(id string) float64 {
	if u := t.Snapshot().ByID[id]; u != nil && u.IsLimited {
		return u.RequestRate
	}
	return -1
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestResponsesThatOvertakeEachOtherOnlyLowerALimit guards against a limit that ends or
// rises because of a response that is older than the one that stated it.
func TestResponsesThatOvertakeEachOtherOnlyLowerALimit(t *testing.T) {
	limited := func(rate float64, sentMs int) Notice {
		return Notice{IsLimited: true, RequestRate: rate, SentAt: at(sentMs)}
	}
	none := func(sentMs int) Notice { return Notice{IsAuthentic: true, SentAt: at(sentMs)} }
	steps := []struct {
		notice    Notice
		arrivedMs int
		want      float64
	}{
		{none(0), 10, -1},
		{limited(2, 0), 20, 2},
		{none(10), 30, 2},
		{limited(3, 10), 30, 2},
		{limited(1.5, 10), 30, 1.5},
		{limited(4, 31), 40, 4},
		{Notice{SentAt: at(50)}, 60, 4}, // not certainly the upstream's own response
		{Notice{IsLimited: true, RequestRate: 5}, 60, 4},
		{Notice{IsLimited: true, RequestRate: 0}, 60, 0},
		{none(61), 70, -1},
		{limited(2, 65), 80, 2},
	}
	table := tableWithOne()
	var changes []float64
	table.OnLimit = func(_ Incarnation, isLimited bool, rate float64) {
		if !isLimited {
			rate = -1
		}
		changes = append(changes, rate)
	}
	for n, s := range steps {
		table.ApplyNotice("u1", 1, s.notice, at(s.arrivedMs))
		require.Equal(t, s.want, table.limitOf("u1"), "step %d", n)
	}
	require.Equal(t, []float64{2, 1.5, 4, 0, -1, 2}, changes)
	table.ApplyRegistrations(map[string]*Upstream{"u1": {ID: "u1", StartedAtMs: 2}}, at(90))
	require.Equal(t, -1.0, table.limitOf("u1"), "another incarnation")
	table.ApplyNotice("u1", 1, limited(1, 90), at(100))
	require.Equal(t, -1.0, table.limitOf("u1"))
}

func TestNewestStatementOfALimitHolds(t *testing.T) {
	a, b := tableWithOne(), tableWithOne()
	a.ApplyNotice("u1", 1, Notice{IsLimited: true, RequestRate: 2, SentAt: at(0)}, at(10))
	b.MergeLimits(a.Limits(at(20)), at(30))
	require.Equal(t, 2.0, b.limitOf("u1"))
	b.ApplyNotice("u1", 1, Notice{IsAuthentic: true, SentAt: at(40)}, at(50))
	require.Equal(t, -1.0, b.limitOf("u1"))
	b.MergeLimits(a.Limits(at(60)), at(60))
	require.Equal(t, -1.0, b.limitOf("u1"), "an older statement")
	a.MergeLimits(b.Limits(at(60)), at(60))
	require.Equal(t, -1.0, a.limitOf("u1"))
	require.Len(t, a.Limits(at(60)), 1)
	require.Empty(t, a.Limits(at(60).Add(overTTL)))
	require.Empty(t, a.limits)
	a.MergeLimits([]LimitStatement{{Incarnation{"u1", 7}, true, 1, 0}, {Incarnation{"u9", 1}, true, 1, 0}}, at(70))
	require.Empty(t, a.Limits(at(70)), "not registered")
}
