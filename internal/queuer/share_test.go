package queuer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

func limitedEngine(id string, rate float64) *registrar.Upstream {
	u := engine(id, registrar.Model{Name: "m1"})
	u.Slots, u.IsLimited, u.RequestRate = 1000, true, rate
	return u
}

func instanceNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("edge-%03d", i))
	}
	return out
}

// TestLimitIsKeptByAllInstancesTogether plays a minute of more requests than a limited
// upstream takes: 200 a second over all instances, in turn.
func TestLimitIsKeptByAllInstancesTogether(t *testing.T) {
	const window, length, step = 4 * time.Second, time.Minute, 5 * time.Millisecond
	for _, n := range []int{1, 2, 6, 30, 195, 1600} {
		for _, limit := range []float64{0.3, 1.9, 10, 80} {
			t.Run(fmt.Sprint(n, " instances, ", limit, " a second"), func(t *testing.T) {
				names, cfg := instanceNames(n), config()
				tables := make([]*Table, n)
				for i := range tables {
					tables[i] = newTable()
					tables[i].SetInstances(names[i], names)
				}
				s := snapshot(limitedEngine("e1", limit))
				var granted []time.Time
				for k := range int(length / step) {
					now := start.Add(time.Duration(k) * step)
					req := newRequest(1, 0)
					if u := tables[k%n].Grant(req, s, cfg, now); u != nil {
						granted = append(granted, now)
						tables[k%n].RecordPrefill(req, u.ID)
						tables[k%n].Release(req, u.ID)
					}
				}
				most, first := 0, 0
				for i, at := range granted {
					for at.Sub(granted[first]) > window {
						first++
					}
					most = max(most, i-first+1)
				}
				require.LessOrEqual(t, float64(most), 1.5*limit*window.Seconds()+5)
				if n <= 30 { // with more, the senders get fewer than that of the requests
					require.GreaterOrEqual(t, float64(len(granted)), 0.6*limit*length.Seconds())
				}
			})
		}
	}
}

func TestSharesOfALimit(t *testing.T) {
	for _, n := range []int{1, 6, 195} {
		for _, limit := range []float64{0.1, 2, 50} {
			sum, names := 0.0, instanceNames(n)
			for _, name := range names {
				sum += shareOf("u", limit, name, names)
			}
			require.InDelta(t, limit, sum, 1e-9)
		}
	}
	require.InDelta(t, 0.5, shareOf("u", 3, "edge-001", nil), 1e-9, "the other instances are not known yet")
}

func TestOtherUpstreamTakesWhatALimitedOneDoesNot(t *testing.T) {
	table, cfg := newTable(), config()
	other := engine("e2", registrar.Model{Name: "m1"})
	other.Slots = 1000
	s := snapshot(limitedEngine("e1", 1), other)
	table.SetInstances("a", []string{"a"})
	got := map[string]int{}
	for k := range 1000 {
		got[table.Grant(newRequest(1, 0), s, cfg, start.Add(time.Duration(k)*10*time.Millisecond)).ID]++
	}
	require.LessOrEqual(t, got["e1"], 11)
	require.Equal(t, 1000, got["e1"]+got["e2"])
	require.Zero(t, table.Estimate(newRequest(1, 0), s, cfg, start).Delay)
}

// TestRequestsForALimitedUpstreamWaitOrAreRefused checks that a request waits only for as
// long as the limit says, behind those before it, and is refused at once if that is too
// long.
func TestRequestsForALimitedUpstreamWaitOrAreRefused(t *testing.T) {
	table, s, cfg := newTable(), snapshot(limitedEngine("e1", 2)), config()
	table.SetInstances("a", []string{"a"})
	require.Zero(t, table.Estimate(newRequest(1, 0), s, cfg, start).Delay)
	require.NotNil(t, table.Grant(newRequest(1, 0), s, cfg, start))
	require.Nil(t, table.Grant(newRequest(1, 0), s, cfg, start))
	var waiters []*Waiter
	for n := range 6 {
		e := table.Estimate(newRequest(1, 0), s, cfg, start)
		require.Equal(t, StartEstimate{Delay: time.Duration(n+1) * 500 * time.Millisecond, NeedsLoad: true}, e)
		waiters = append(waiters, table.Wait(newRequest(1, time.Duration(n)), start))
	}
	table.Expire(s, cfg, start)
	for n, w := range waiters {
		require.Len(t, w.refused, max(0, min(1, n-3)), "the fourth can start just in time")
	}
	for k := range 200 {
		table.GrantWaiting(s, cfg, start.Add(time.Duration(k)*10*time.Millisecond))
	}
	require.Len(t, waiters[2].granted, 1)
	require.Empty(t, waiters[3].granted)

	plain := limitedEngine("p1", 2)
	plain.Service = "plain"
	s = snapshot(plain)
	req := Request{Service: "plain", StartBy: start.Add(time.Second)}
	require.NotNil(t, table.Grant(req, s, cfg, start))
	require.Equal(t, 500*time.Millisecond, table.Estimate(req, s, cfg, start).Delay)
}

func TestInstanceThatIsNoSenderRefusesAtOnce(t *testing.T) {
	names := instanceNames(195)
	numSenders := 0
	for _, name := range names {
		q := newQueue(engine("e1", registrar.Model{Name: "m1"}))
		q.Upstreams.ApplyNotice("e1", 1, registrar.Notice{IsLimited: true}, time.Now())
		q.SetInstances(name, names)
		slot, err := q.Acquire(t.Context(), Request{Service: "lm", Model: "m1", StartBy: time.Now().Add(time.Second)})
		if err == nil {
			numSenders++
			slot.Release()
			continue
		}
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Ran)
	}
	require.Equal(t, minSenders, numSenders)
}
