package queuer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// restRequest is a request for the rest of a stream that began at version v1.
func restRequest(startIn time.Duration) Request {
	v1 := "v1"
	req := newRequest(1, 0)
	req.Software, req.StartBy = &v1, start.Add(startIn)
	return req
}

// withCopy is an upstream of version v1 with the weights on its disk.
func withCopy() *registrar.Upstream {
	u := versionEngine("e1", "v1")
	u.OnDisk = []string{"m1"}
	return u
}

// TestRestOfAStreamWaitsWithoutAConductor guards against streams that are refused by the longest failover, though their model is on disk.
func TestRestOfAStreamWaitsWithoutAConductor(t *testing.T) {
	const timeLeft = 2850 * time.Millisecond
	s, cfg := snapshot(withCopy(), versionEngine("e2", "v2", registrar.Model{Name: "m1"})), config()
	for silence := 1500 * time.Millisecond; silence < 11*time.Second; silence += 500 * time.Millisecond {
		table := newTable()
		table.HasConductor, table.ConductorSilence = false, silence
		w := table.Admit(restRequest(timeLeft), s, cfg, start).Waiter
		require.NotNil(t, w, "no conductor for %v", silence)
		for at := time.Duration(0); at < timeLeft-diskLoadDuration; at += grantInterval {
			table.ConductorSilence = silence + at
			table.Expire(s, cfg, start.Add(at))
			require.Equal(t, 1, table.Waiting(), "no conductor for %v, after %v", silence, at)
		}
		table.Expire(s, cfg, start.Add(timeLeft-diskLoadDuration/2+1))
		require.Zero(t, table.Waiting(), "held though it cannot start any more")
	}
}

// TestRestOfAStreamThatCannotStartInTimeIsRefusedAtOnce guards against streams that are held for nothing.
func TestRestOfAStreamThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	table, cfg := newTable(), config()
	require.Nil(t, table.Admit(restRequest(storeLoadDuration-time.Millisecond), snapshot(versionEngine("e1", "v1")), cfg, start).Waiter, "no copy")
	require.Nil(t, table.Admit(restRequest(diskLoadDuration/3), snapshot(withCopy()), cfg, start).Waiter, "on disk")
	loading := versionEngine("e1", "v1", registrar.Model{Name: "m1", ReadyAt: start.Add(2 * time.Second)})
	require.Nil(t, table.Admit(restRequest(1900*time.Millisecond), snapshot(loading), cfg, start).Waiter, "its load takes longer")
}

// TestEstimateWithoutAConductorFallsWithItsAge guards against new requests that are refused by the longest failover, whatever has passed of it.
func TestEstimateWithoutAConductorFallsWithItsAge(t *testing.T) {
	table, s, cfg := newTable(), snapshot(withCopy()), config()
	table.HasConductor = false
	previous := time.Hour
	for silence := 1500 * time.Millisecond; silence < 4*time.Second; silence += 250 * time.Millisecond {
		table.ConductorSilence = silence
		delay := table.Estimate(newRequest(1, 0), s, cfg, start).Delay
		require.Less(t, delay, previous, "no conductor for %v", silence)
		require.LessOrEqual(t, delay, diskLoadDuration+swapOverhead+failoverDelay-silence, "no conductor for %v", silence)
		previous = delay
	}
}

// TestWaitingRestOfAStreamIsReportedAsDemand guards against streams that wait unseen by the conductor until they are refused.
func TestWaitingRestOfAStreamIsReportedAsDemand(t *testing.T) {
	table, s, cfg := newTable(), snapshot(withCopy()), config()
	req := restRequest(10 * time.Second)
	arriving := req
	arriving.Software = nil // it is known only later
	table.Arrive(arriving)
	require.NotNil(t, table.Admit(req, s, cfg, start).Waiter)
	for range 2 { // also in the reports after the first
		waiting := map[bool]int{}
		for _, d := range table.Demands(start) {
			waiting[d.Software != nil && *d.Software == "v1"] += d.Waiting
		}
		require.Equal(t, 1, waiting[true], "at its version")
		require.Zero(t, waiting[false])
	}
}

// TestRestOfAStreamIsNotRefusedForTheBacklogOfAnotherVersion guards against streams that are refused because upstreams that cannot serve them are busy.
func TestRestOfAStreamIsNotRefusedForTheBacklogOfAnotherVersion(t *testing.T) {
	table, _, cfg := backlog(t, 50)
	now, v1 := start.Add(3*time.Second), "v1"
	s := snapshot(withCopy(), versionEngine("e2", "v2", registrar.Model{Name: "m1"}))
	req := accountRequest("a", 1, 40*time.Second)
	req.Software, req.StartBy = &v1, now.Add(5*time.Second)
	a := table.Admit(req, s, cfg, now)
	require.NotNil(t, a.Waiter, "a load from disk takes %v, and it is refused for a wait of %v", diskLoadDuration, a.Estimate.Delay)
	table.Expire(s, cfg, now)
	e, isRefused := a.Waiter.Refused()
	require.False(t, isRefused, "refused in the queue for a wait of %v", e.Delay)
}

// TestRequestsWaitForAConductorThatIsBackLate guards against requests that are held while a conductor is
// expected and refused once it is late, though it is back before their latest start, with as much time to
// spare as it is late. The holder of the lease in docs/incidents/thottam-lost.md was back after 5.1 s.
func TestRequestsWaitForAConductorThatIsBackLate(t *testing.T) {
	const backAfter, arrivedAfter = 5100 * time.Millisecond, 1500 * time.Millisecond
	table, s, cfg := newTable(), snapshot(withCopy()), config()
	table.HasConductor, table.ConductorSilence = false, arrivedAfter
	req := newRequest(1, 0)
	req.StartBy = start.Add(backAfter - arrivedAfter + diskLoadDuration + swapOverhead + backAfter - failoverDelay)
	w := table.Admit(req, s, cfg, start).Waiter
	require.NotNil(t, w)
	for silence := arrivedAfter; silence < backAfter; silence += 100 * time.Millisecond {
		table.ConductorSilence = silence
		table.Expire(s, cfg, start.Add(silence-arrivedAfter))
		e, isRefused := w.Refused()
		require.False(t, isRefused, "no conductor for %v: a wait of %v", silence, e.Delay)
	}
	table.HasConductor = true
	table.Expire(s, cfg, start.Add(backAfter-arrivedAfter))
	require.Equal(t, 1, table.Waiting(), "a load from disk is done in time")
}

// TestEstimateWithoutAConductorDoesNotJump guards against requests at all instances that are refused at one
// moment, and return at one: an estimate may rise by no more than the time that passes.
func TestEstimateWithoutAConductorDoesNotJump(t *testing.T) {
	const step = 50 * time.Millisecond
	table, s, cfg := newTable(), snapshot(withCopy()), config()
	table.HasConductor = false
	for silence := step; silence < 15*time.Second; silence += step {
		table.ConductorSilence = silence
		before := table.Estimate(newRequest(1, 0), s, cfg, start).Delay
		table.ConductorSilence += step
		require.LessOrEqual(t, table.Estimate(newRequest(1, 0), s, cfg, start).Delay-before, step, "no conductor for %v", silence)
	}
}

// TestRequestsDoNotWaitLongForAConductor guards against requests that are held in vain: while no conductor
// comes, each is refused once it would be too late even if one came at once.
func TestRequestsDoNotWaitLongForAConductor(t *testing.T) {
	const step = 100 * time.Millisecond
	for arrivedAfter := step; arrivedAfter < maxFailoverDelay; arrivedAfter += 500 * time.Millisecond {
		for timeLeft := 500 * time.Millisecond; timeLeft < 4*time.Second; timeLeft += 500 * time.Millisecond {
			table, s, cfg := newTable(), snapshot(withCopy()), config()
			table.HasConductor = false
			req := newRequest(1, 0)
			req.StartBy = start.Add(timeLeft)
			held := time.Duration(0)
			table.ConductorSilence = arrivedAfter
			if w := table.Admit(req, s, cfg, start).Waiter; w != nil {
				for ; table.Waiting() > 0; held += step {
					table.ConductorSilence = arrivedAfter + held
					table.Expire(s, cfg, start.Add(held))
				}
			}
			latest := timeLeft - diskLoadDuration - swapOverhead // with the conductor back at once
			require.LessOrEqual(t, held, max(latest, 0)+2*step, "no conductor for %v, %v left", arrivedAfter, timeLeft)
		}
	}
}
