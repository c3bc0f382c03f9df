package tallier

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

func includeAll(string) bool { return true }

// TestCountsMatchTickets checks the counts, the earliest deadline, the most
// urgent class and NumRequests against a list of tickets.
func TestCountsMatchTickets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tl Tallier
		target := Target{Model: "levy-status"}
		now := time.Now()
		var tickets []*Ticket
		drawTicket := func(t *rapid.T) int {
			if len(tickets) == 0 {
				t.Skip("no ticket")
			}
			return rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				tickets = append(tickets, tl.Add(target, recordv1.RequestClass(rapid.IntRange(1, 3).Draw(t, "class")),
					now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "slack"))*time.Second)))
			},
			"run": func(t *rapid.T) { tickets[drawTicket(t)].MarkRunning() },
			"done": func(t *rapid.T) {
				i := drawTicket(t)
				tickets[i].Done()
				tickets = append(tickets[:i:i], tickets[i+1:]...)
			},
			"": func(t *rapid.T) {
				var want Demand
				for _, k := range tickets {
					if k.running {
						want.Running++
						continue
					}
					want.Waiting++
					if want.Deadline.IsZero() || k.deadline.Before(want.Deadline) {
						want.Deadline = k.deadline
					}
					if want.Class == 0 || k.class < want.Class {
						want.Class = k.class
					}
				}
				got := tl.TakeDemand(now, includeAll)[target]
				got.Arrived, got.LastUsed = 0, time.Time{}
				require.Equal(t, want, got)
				require.Equal(t, len(tickets), tl.NumRequests(target.Model))
			},
		})
	})
}

// TestIdleTargetsAndPeersExpire checks that unused targets and peers are removed,
// and that the counts of a peer that sends nothing are reset before.
func TestIdleTargetsAndPeersExpire(t *testing.T) {
	var tl Tallier
	now := time.Now()
	for i := range 100 {
		tl.Add(Target{Model: fmt.Sprint(i)}, 1, now).Done()
	}
	for _, l := range tl.local {
		l.isSent = true
	}
	tl.Receive(&peerv1.WantRequest{Instance: "entry-2", Demands: []*peerv1.Demand{{Model: "1", Waiting: 3, Running: 2}}}, now)
	require.Equal(t, 5, tl.NumRequests("1"))
	tl.expire(now.Add(2 * remoteTTL))
	require.Zero(t, tl.NumRequests("1"))
	require.Len(t, tl.local, 100)
	tl.expire(now.Add(2 * idleTargetTTL))
	require.Empty(t, tl.local)
	require.Empty(t, tl.remote)
	require.Empty(t, tl.numRequests)
}

// TestUnresponsiveHolder checks that a holder that does not respond gets one
// message at a time, and the counts of all requests once it responds again; and
// that Run ends with its context.
func TestUnresponsiveHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var inFlight, maxInFlight, arrived atomic.Int64
		var isUnresponsive atomic.Bool
		isUnresponsive.Store(true)
		tl := &Tallier{Instance: "entry-1", Holder: func(string) string { return "entry-2" }}
		tl.Send = func(ctx context.Context, _ string, req *peerv1.WantRequest) error {
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
			if isUnresponsive.Load() {
				<-ctx.Done()
				return errors.Wrap(ctx.Err(), "no response")
			}
			for _, d := range req.GetDemands() {
				arrived.Add(int64(d.GetArrived()))
			}
			return nil
		}
		go tl.Run(ctx)
		for range 500 {
			tl.Add(Target{Model: "levy-status"}, 1, time.Now().Add(time.Minute))
			time.Sleep(10 * time.Millisecond)
		}
		isUnresponsive.Store(false)
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 1, maxInFlight.Load())
		require.EqualValues(t, 500, arrived.Load())
		cancel()
		synctest.Wait()
	})
}
