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
