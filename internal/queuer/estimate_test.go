package queuer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/estimator"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// An upstream that fails one attempt in four, but never three in a row, keeps
// its breaker closed. It gets few of the requests that another upstream can run.
func TestUpstreamThatOftenFailsIsAvoided(t *testing.T) {
	table, cfg := newTable(), config()
	s := snapshot(engine("bad", registrar.Model{Name: "m1"}), engine("good", registrar.Model{Name: "m1"}))
	failures, attempts := 0, map[string]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		req := newRequest(1, 0)
		u := table.Grant(req, s, cfg, now)
		attempts[u.ID]++
		failed := u.ID == "bad" && attempts["bad"]%4 == 0
		if failed {
			failures++
		}
		table.RecordOutcome(u, Outcome{Failed: failed, FirstEventAfter: 20 * time.Millisecond, Began: now}, now)
		table.RecordPrefill(req, u.ID)
		table.Release(req, u.ID)
	}
	require.Less(t, failures, 20, "of 400 requests; 50 if both upstreams get the same number")
	require.Positive(t, attempts["bad"], "the failing upstream is tried again")
}

// Failures that other instances have seen count as well.
func TestPeersFailureEstimateCounts(t *testing.T) {
	table, cfg := newTable(), config()
	bad, good := engine("bad", registrar.Model{Name: "m1"}), engine("good", registrar.Model{Name: "m1"})
	good.DataCentre = "dc2"
	bad.PeerFailureEstimate = estimator.New(0.3, start)
	s := snapshot(bad, good)
	for range 2 {
		require.Equal(t, "good", table.Grant(newRequest(1, 0), s, cfg, start).ID)
	}
	require.Equal(t, "bad", table.Grant(newRequest(1, 0), s, cfg, start).ID, "the reliable upstream is full")
}

// Failures are returned once, with the attempts since the previous call.
func TestOutcomesAreReturnedOnce(t *testing.T) {
	table := newTable()
	u := engine("e1")
	table.init()
	table.RecordOutcome(u, Outcome{FirstEventAfter: time.Millisecond}, start)
	require.Empty(t, table.Outcomes())
	table.RecordOutcome(u, Outcome{Failed: true}, start)
	require.Equal(t, []OutcomeCounts{{Upstream: "e1", StartedAtMs: 1, Attempts: 2, Failures: 1}}, table.Outcomes())
	require.Empty(t, table.Outcomes())
}

// Health entries of ended upstreams are dropped.
func TestHealthOfEndedUpstreamsIsDropped(t *testing.T) {
	table, s := newTable(), snapshot(engine("e1"))
	table.init()
	for i := range 3 * maxStaleHealth {
		u := engine(string(rune('a'+i%26)) + string(rune('a'+i/26)))
		table.RecordOutcome(u, Outcome{Failed: true}, start)
	}
	table.RecordOutcome(engine("e1"), Outcome{Failed: true}, start)
	table.Expire(s, config(), start)
	require.Len(t, table.health, 1)
}
