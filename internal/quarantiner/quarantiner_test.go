package quarantiner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var now = time.Unix(1_000_000, 0)

func TestRecordLossReturnsTheRequestsThatRanThere(t *testing.T) {
	var q Quarantiner
	done := q.Begin("u", "1", 10, false)
	broken := q.Begin("u", "1", 11, false)
	q.Begin("u", "1", 12, false)
	q.Begin("u", "2", 13, false)
	q.Begin("v", "1", 14, false)
	done.End(false, now)
	broken.End(true, now)
	require.Equal(t, []uint64{11, 12}, q.RecordLoss("u", "1", now))
	require.Equal(t, 1, q.Losses(11, nil, now))
	require.Equal(t, 1, q.Losses(11, []string{"1"}, now), "the same loss must count once")
	require.Equal(t, 2, q.Losses(11, []string{"9"}, now))
	require.Equal(t, 0, q.Losses(11, nil, now.Add(lossTTL+1)))
	q.Clear(11)
	require.Equal(t, 0, q.Losses(11, nil, now))
}

func TestOnlyOneSuspectRunsOnAnUpstream(t *testing.T) {
	var q Quarantiner
	a := q.Begin("u", "1", 10, true)
	require.NotNil(t, a)
	require.Nil(t, q.Begin("u", "1", 11, true))
	require.NotNil(t, q.Begin("u", "1", 12, false))
	require.False(t, q.CanRunSuspect("u"))
	a.End(false, now)
	require.NotNil(t, q.Begin("u", "1", 11, true))
}

// findPoison runs one poison request among innocent ones and returns the number of
// lost upstreams and the requests with two losses. If suspects are isolated, only
// the poison request has two losses, it crashes two upstreams, and every innocent
// request completes.
func findPoison(t *rapid.T, isIsolated bool) (lost int, blocked []uint64) {
	var q Quarantiner
	const poison = uint64(0)
	n := rapid.IntRange(2, 12).Draw(t, "requests")
	crash := func(upstream, incarnation string, fps []uint64) {
		var as []*Attempt
		for _, f := range fps {
			as = append(as, q.Begin(upstream, incarnation, f, false))
		}
		lost++
		for _, a := range as {
			a.End(true, now)
		}
		q.RecordLoss(upstream, incarnation, now)
	}
	var all []uint64
	for f := range uint64(n) {
		all = append(all, f)
	}
	crash("u", "u1", all)
	if !isIsolated {
		crash("v", "v1", all) // the suspects run together again
	} else {
		for _, f := range rapid.Permutation(all).Draw(t, "order") {
			a := q.Begin("v", "v1", f, true)
			require.NotNil(t, a)
			a.End(f == poison, now)
			if f == poison {
				lost++
				q.RecordLoss("v", "v1", now)
				continue
			}
			q.Clear(f)
		}
	}
	for _, f := range all {
		if q.Losses(f, nil, now) >= 2 {
			blocked = append(blocked, f)
		}
	}
	return lost, blocked
}

func TestOnlyThePoisonRequestIsBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lost, blocked := findPoison(t, true)
		require.Equal(t, 2, lost)
		require.Equal(t, []uint64{0}, blocked)
	})
}

func TestInnocentRequestsAreBlockedWithoutIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, blocked := findPoison(t, false)
		require.Greater(t, len(blocked), 1, "without isolation innocent requests must be blocked")
	})
}

func TestNumberOfBrokenAttemptsIsBounded(t *testing.T) {
	var q Quarantiner
	for i := range 1000 {
		q.Begin("u", "1", uint64(i), false).End(true, now.Add(time.Duration(i)*time.Second))
	}
	require.LessOrEqual(t, len(q.running[upstreamRun{"u", "1"}]), int(brokenAttemptTTL/time.Second)+1)
}
