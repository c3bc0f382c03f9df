package queuer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// versionEngine is engine with a software version.
func versionEngine(id, software string, models ...registrar.Model) *registrar.Upstream {
	u := engine(id, models...)
	u.Software = software
	return u
}

// The load: streams that began at one software version wait for it beside new requests, which
// may run anywhere.
func TestRestOfAStreamRunsOnlyAtItsVersion(t *testing.T) {
	m1 := registrar.Model{Name: "m1"}
	s, cfg, table := snapshot(versionEngine("e1", "v1", m1), versionEngine("e2", "v2", m1)), config(), newTable()
	v1 := "v1"
	bound := newRequest(1, 0)
	bound.Software = &v1
	require.Equal(t, "e1", table.Grant(bound, s, cfg, start).ID)
	require.Equal(t, "e1", table.Grant(bound, s, cfg, start).ID)
	require.Nil(t, table.Grant(bound, s, cfg, start), "the other version has room")
	waiting := table.Wait(bound, start)
	unbound := table.Wait(newRequest(2, 0), start)
	table.GrantWaiting(s, cfg, start)
	require.Equal(t, "e2", unbound.Granted().ID, "does not wait behind the stream")
	require.Nil(t, waiting.Granted())
	for _, d := range table.Demands(start) {
		require.Equal(t, d.Software != nil, d.Waiting == 1, "the demand names the version")
	}
	table.Release(bound, "e1")
	table.GrantWaiting(s, cfg, start)
	require.Equal(t, "e1", waiting.Granted().ID)
}

func TestRestOfAStreamOfAnAbsentVersion(t *testing.T) {
	m1 := registrar.Model{Name: "m1"}
	both, one, cfg := snapshot(versionEngine("e1", "v1", m1), versionEngine("e2", "v2", m1)), snapshot(versionEngine("e2", "v2", m1)), config()
	v1 := "v1"
	bound := newRequest(1, 0)
	bound.Software, bound.StartBy = &v1, start.Add(time.Minute)

	require.Equal(t, absentVersionDelay, newTable().Estimate(bound, one, cfg, start).Delay, "never seen")
	table := newTable()
	require.NotNil(t, table.Grant(bound, both, cfg, start))
	require.Less(t, table.Estimate(bound, one, cfg, start.Add(versionReturnTime)).Delay, bound.StartBy.Sub(start), "its upstream may return")
	require.Equal(t, absentVersionDelay, table.Estimate(bound, one, cfg, start.Add(versionReturnTime+1)).Delay)

	loaded := snapshot(versionEngine("e1", "v1"), versionEngine("e2", "v2", m1))
	e := newTable().Estimate(bound, loaded, cfg, start)
	require.True(t, e.NeedsLoad, "the other version does not help")
	require.Equal(t, storeLoadDuration+swapOverhead, e.Delay)
}
