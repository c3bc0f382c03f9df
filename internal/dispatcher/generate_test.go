package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/breaker"
	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// The failure of an attempt that started before a breaker opened must not prolong
// the time for which the breaker stays open.
func TestFailureOfEarlierAttemptDoesNotProlongOpenBreaker(t *testing.T) {
	const upstream = "booking-1"
	c := newCluster(t, 1)
	d := c.instances[0].Dispatcher
	g := &generation{d: d, tried: make(map[string]bool), ran: verdict.NotRun, attemptedAt: time.Now()}
	for range breaker.FailuresToOpen {
		d.Monitor.RecordFailure(upstream, time.Now())
	}
	before, _ := d.Monitor.View(upstream)
	require.True(t, before.Breaker.IsOpen())
	require.Eventually(t, func() bool {
		v, _ := d.Monitor.View(upstream)
		return v.Breaker.Allows(time.Now())
	}, longTimeout, time.Millisecond, "the breaker allows a trial")
	grant := admitter.Grant{Candidate: router.Candidate{Upstream: upstream}}
	a := d.Quarantiner.Begin(upstream, "", 1, false)
	failure := attempter.Failure{Refusal: verdict.RefuseMayHaveRun(verdict.ReasonIncompleteReply, 0, "no end mark"), Kind: attempter.KindIncomplete}
	g.finishAttempt(t.Context(), grant, a, failure)
	after, _ := d.Monitor.View(upstream)
	require.Equal(t, before.Breaker, after.Breaker)
}
