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

func all(string) bool { return true }

// TestTallyProperties checks the counts, the earliest deadline, the most urgent
// class and the heat against a plain list of tickets.
func TestTallyProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tl Tallier
		target := Target{Model: "levy-status"}
		now := time.Now()
		var tickets []*Ticket
		take := func(t *rapid.T) int {
			if len(tickets) == 0 {
				t.Skip("no ticket")
			}
			return rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				tickets = append(tickets, tl.Wait(target, recordv1.RequestClass(rapid.IntRange(1, 3).Draw(t, "class")),
					now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "slack"))*time.Second)))
			},
			"run": func(t *rapid.T) { tickets[take(t)].Run() },
			"done": func(t *rapid.T) {
				i := take(t)
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
				got := tl.Take(now, all)[target]
				got.Arrived, got.LastUsed = 0, time.Time{}
				require.Equal(t, want, got)
				require.Equal(t, len(tickets), tl.Heat(target.Model))
			},
		})
	})
}

// TestForget checks that targets and peers that are not used for long leave the
// tally, and that a silent peer's heat ends before.
func TestForget(t *testing.T) {
	var tl Tallier
	now := time.Now()
	for i := range 100 {
		tl.Wait(Target{Model: fmt.Sprint(i)}, 1, now).Done()
	}
	for _, l := range tl.local {
		l.sent = true
	}
	tl.Receive(&peerv1.WantRequest{Instance: "entry-2", Demands: []*peerv1.Demand{{Model: "1", Waiting: 3, Running: 2}}}, now)
	require.Equal(t, 5, tl.Heat("1"))
	tl.forget(now.Add(2 * expiry))
	require.Zero(t, tl.Heat("1"))
	require.Len(t, tl.local, 100)
	tl.forget(now.Add(2 * forgetAfter))
	require.Empty(t, tl.local)
	require.Empty(t, tl.remot)
	require.Empty(t, tl.heat)
}

// TestSilentHolder checks that a holder that does not answer gets one message at
// a time, and everything once it answers again; and that Run ends with its context.
func TestSilentHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var open, most, arrived atomic.Int64
		var silent atomic.Bool
		silent.Store(true)
		tl := &Tallier{Instance: "entry-1", Holder: func(string) string { return "entry-2" }}
		tl.Send = func(ctx context.Context, _ string, req *peerv1.WantRequest) error {
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			if silent.Load() {
				<-ctx.Done()
				return errors.Wrap(ctx.Err(), "silent")
			}
			for _, d := range req.GetDemands() {
				arrived.Add(int64(d.GetArrived()))
			}
			return nil
		}
		go tl.Run(ctx)
		for range 500 {
			tl.Wait(Target{Model: "levy-status"}, 1, time.Now().Add(time.Minute))
			time.Sleep(10 * time.Millisecond)
		}
		silent.Store(false)
		time.Sleep(3 * time.Second)
		require.EqualValues(t, 1, most.Load())
		require.EqualValues(t, 500, arrived.Load())
		cancel()
		synctest.Wait()
	})
}
