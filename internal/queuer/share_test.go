package queuer

import (
	"fmt"
	"math/rand/v2"
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

// limitedVersion is limitedEngine with a software version.
func limitedVersion(id, software string, rate float64) *registrar.Upstream {
	u := limitedEngine(id, rate)
	u.Software = software
	return u
}

// boundRequest is newRequest for the rest of a stream that began at a version.
func boundRequest(software string, objective time.Duration) Request {
	req := newRequest(1, objective)
	req.Software = &software
	return req
}

// useUp takes the first request that each limited upstream grants at once.
func useUp(t *testing.T, table *Table, s *registrar.Snapshot, versions ...string) {
	for _, v := range versions {
		require.NotNil(t, table.Grant(boundRequest(v, 0), s, config(), start))
	}
}

// TestLimitOfOneVersionDoesNotDelayAnother guards against requests that are refused because of those
// ahead which only upstreams of other versions can serve.
func TestLimitOfOneVersionDoesNotDelayAnother(t *testing.T) {
	table, s, cfg := newTable(), snapshot(limitedVersion("e1", "v1", 2), limitedVersion("e2", "v2", 2)), config()
	table.SetInstances("a", []string{"a"})
	useUp(t, table, s, "v1", "v2")
	for n := range 5 {
		table.Wait(boundRequest("v2", time.Duration(n)), start)
	}
	rest := table.Admit(boundRequest("v1", 10), s, cfg, start).Waiter
	require.NotNil(t, rest, "its version grants one every 500 ms, and nothing waits for it")
	for n := range 4 {
		table.Wait(boundRequest("v2", time.Duration(5+n)), start)
	}
	late := boundRequest("v2", 11)
	late.StartBy = start.Add(4 * time.Second)
	require.Equal(t, 5*time.Second, table.Estimate(late, s, cfg, start).Delay, "behind 9 of its version")
	require.Nil(t, table.Admit(late, s, cfg, start).Waiter)
	anywhere := newRequest(1, 12)
	require.Equal(t, time.Second, table.Estimate(anywhere, s, cfg, start).Delay, "v1 grants it behind one request")
	table.Expire(s, cfg, start)
	_, isRefused := rest.Refused()
	require.False(t, isRefused, "refused in the queue")
}

// TestRestOfAStreamIsNotRefusedForWhatOtherVersionsCanServe guards against the rest of a stream that is
// refused because of new requests, which upstreams of another version may take.
func TestRestOfAStreamIsNotRefusedForWhatOtherVersionsCanServe(t *testing.T) {
	table, s, cfg := newTable(), snapshot(limitedVersion("e1", "v1", 2), limitedVersion("e2", "v2", 50)), config()
	table.SetInstances("a", []string{"a"})
	useUp(t, table, s, "v1", "v2")
	for n := range 8 {
		table.Wait(newRequest(1, time.Duration(n)), start)
	}
	rest := table.Admit(boundRequest("v1", 10), s, cfg, start).Waiter
	require.NotNil(t, rest, "v2 grants the eight within 160 ms")
	table.Expire(s, cfg, start)
	_, isRefused := rest.Refused()
	require.False(t, isRefused, "refused in the queue")

	one := snapshot(limitedVersion("e1", "v1", 2))
	require.Nil(t, table.Admit(boundRequest("v1", 10), one, cfg, start).Waiter, "only v1 has the model")
}

// TestLimitsOfVersionsAddUp checks the wait of a request that any version may run against a play.
func TestLimitsOfVersionsAddUp(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table, cfg := newTable(), config()
		table.SetInstances("a", []string{"a"})
		s := snapshot(limitedVersion("e1", "v1", 1+9*rng.Float64()), limitedVersion("e2", "v2", 1+9*rng.Float64()))
		useUp(t, table, s, "v1", "v2")
		for n := range rng.IntN(20) {
			req := newRequest(1, time.Duration(n))
			if v := rng.IntN(3); v > 0 {
				req = boundRequest(fmt.Sprint("v", v), time.Duration(n))
			}
			table.Wait(req, start)
		}
		last := newRequest(1, time.Hour)
		estimate := table.Estimate(last, s, cfg, start).Delay
		w, at := table.Wait(last, start), time.Duration(0)
		for ; len(w.granted) == 0; at += time.Millisecond {
			table.GrantWaiting(s, cfg, start.Add(at))
		}
		require.InDelta(t, at.Seconds(), estimate.Seconds(), 1, "seed %d: one request at a rate of 1 is 1 s", seed)
	}
}
