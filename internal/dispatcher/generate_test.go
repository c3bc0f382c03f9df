package dispatcher

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/breaker"
	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
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

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestPoisonRequestIsRefusedAfterItsWaitForAdmission guards against a request that waits
// for admission while its second loss becomes known.
func TestPoisonRequestIsRefusedAfterItsWaitForAdmission(t *testing.T) {
	for name, numLosses := range map[string]int{"poison": 2, "suspect": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			d := c.instances[0].Dispatcher
			ticket := d.Tallier.Add(tallier.Target{Model: "m"}, 1, time.Now().Add(longTimeout))
			t.Cleanup(ticket.Done)
			var numChoices, numSent atomic.Int32
			d.Attempter.HTTP = &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
				numSent.Add(1)
				return http.DefaultTransport.RoundTrip(r)
			})}
			var isFree atomic.Bool
			g := &generation{
				d: d, req: &callerv1.GenerateRequest{}, ticket: ticket, fingerprint: 1, tried: make(map[string]bool), ran: verdict.NotRun,
				adm: admitter.Request{ID: "r", Customer: "thottam", Target: "m/", Deadline: time.Now().Add(longTimeout)},
			}
			g.candidates = func(now time.Time) []router.Candidate {
				numChoices.Add(1)
				if !isFree.Load() {
					return nil
				}
				return d.services("booking", now)
			}
			// Another suspect runs on the only upstream.
			other := d.Quarantiner.Begin("booking-1", "", 2, true)
			done := make(chan error, 1)
			go func() {
				_, err := g.run(t.Context())
				done <- err
			}()
			awaitChoices := func(n int32) {
				require.Eventually(t, func() bool { return numChoices.Load() >= n || len(done) > 0 }, longTimeout, time.Millisecond)
			}
			awaitChoices(1)
			for n := range numLosses {
				upstream := []string{"x", "y"}[n]
				d.Quarantiner.Begin(upstream, upstream, 1, false)
				d.Quarantiner.RecordLoss(upstream, upstream, time.Now())
			}
			isFree.Store(true)
			if numLosses < 2 {
				awaitChoices(numChoices.Load() + 5)
				require.Zero(t, numSent.Load(), "it must not run beside another suspect")
				other.End(false, time.Now())
				require.Error(t, <-done, "the service is no engine")
				return
			}
			refusal := verdict.FromError(<-done)
			require.Equal(t, verdict.ReasonPoison, refusal.Reason)
			require.Equal(t, verdict.NotRun, refusal.Ran)
			require.Zero(t, numSent.Load())
		})
	}
}
