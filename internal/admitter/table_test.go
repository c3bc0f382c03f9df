package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const (
	urgent      = recordv1.RequestClass_REQUEST_CLASS_URGENT
	interactive = recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE
	batch       = recordv1.RequestClass_REQUEST_CLASS_BATCH
)

var epoch = time.Unix(0, 0)

var anyTarget = SlotFilter{Allows: func(string, string) bool { return true }}

// TestTableProperties checks the limits, the order, and that every request gets
// exactly one verdict, over random operations.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &Table{MaxWaiting: 12, MaxPerTarget: 7}
		now := epoch
		live := make(map[*Waiter]bool)
		end := func(w *Waiter) {
			require.True(t, live[w], "a request got a second verdict")
			delete(live, w)
		}
		oldestLive := func(t *rapid.T) *Waiter {
			var all []*Waiter
			for w := range live {
				all = append(all, w)
			}
			if len(all) == 0 {
				t.Skip("no request waits")
			}
			oldest := all[0]
			for _, w := range all {
				if w.seq < oldest.seq {
					oldest = w
				}
			}
			return oldest
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				w, out := table.Enqueue(Request{
					ID: "id", Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Class:  recordv1.RequestClass(rapid.IntRange(0, 3).Draw(t, "class")),
					Weight: rapid.SampledFrom([]float64{0, 1, 5}).Draw(t, "weight"),
					Target: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "target"), Deadline: now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "slack")) * time.Millisecond),
				}, rapid.IntRange(0, 3).Draw(t, "slots"), now)
				live[w] = true
				if out == nil {
					return
				}
				require.Equal(t, verdict.NotRun, out.Refusal.Ran)
				require.Positive(t, out.Refusal.RetryAfter)
				require.LessOrEqual(t, out.Refusal.RetryAfter, maxRetryDelay)
				end(out.Waiter)
			},
			"grant": func(t *rapid.T) {
				up := rapid.SampledFrom([]string{"up-1", "up-2"}).Draw(t, "upstream")
				w := table.Pick(up, anyTarget)
				if w == nil {
					require.Empty(t, live, "a waiting request was lost")
					return
				}
				for other := range live {
					if other.Customer == w.Customer && other.Class == w.Class {
						require.False(t, other.Deadline.Before(w.Deadline), "a request with a later deadline was granted first")
					}
				}
				require.True(t, table.Grant(w, up))
				end(w)
				table.RecordService(w.Target, time.Duration(rapid.IntRange(1, 20).Draw(t, "service"))*time.Millisecond)
			},
			"expire": func(t *rapid.T) {
				w := oldestLive(t)
				require.NotNil(t, table.Expire(w, now, verdict.ReasonDeadline))
				end(w)
				require.Nil(t, table.Expire(w, now, verdict.ReasonDeadline))
			},
			"leave": func(t *rapid.T) {
				w := oldestLive(t)
				require.True(t, table.Remove(w))
				end(w)
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "step")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(live), table.Waiting())
				require.LessOrEqual(t, table.Waiting(), 12)
				for _, q := range table.queues {
					require.LessOrEqual(t, q.waiting, 7)
				}
			},
		})
	})
}

// TestUpstreamIsSharedByWeight checks that customers that always have waiting
// requests share an upstream by their weights, and classes by theirs.
func TestUpstreamIsSharedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{
			"a": float64(rapid.IntRange(1, 9).Draw(t, "a")), "b": float64(rapid.IntRange(1, 9).Draw(t, "b")),
		}
		table := &Table{}
		enqueue := func(customer string, class recordv1.RequestClass) {
			_, out := table.Enqueue(Request{Customer: customer, Class: class, Weight: weights[customer], Target: "x", Deadline: epoch.Add(time.Hour)}, 1, epoch)
			require.Nil(t, out)
		}
		for customer := range weights {
			enqueue(customer, urgent)
			enqueue(customer, batch)
		}
		const rounds = 1300
		got := make(map[string]float64)
		classes := make(map[recordv1.RequestClass]float64)
		for range rounds {
			w := table.Pick("up", anyTarget)
			enqueue(w.Customer, w.Class) // before the grant, so that the flow is never empty
			table.Grant(w, "up")
			classes[w.Class]++
			if w.Class == urgent {
				got[w.Customer]++
			}
		}
		want := weights["a"] / (weights["a"] + weights["b"])
		require.InDelta(t, want, got["a"]/classes[urgent], 0.02)
		require.InDelta(t, rounds/65.0, classes[batch], 2, "batch requests keep their share")
	})
}

// TestFloodDoesNotDelayOthers checks that a flood of one customer or class neither
// fills the queue for others nor delays them by more than one grant.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	table := &Table{MaxPerTarget: 50}
	flood := func(n int) {
		for range n {
			_, _ = table.Enqueue(Request{Customer: "flood", Class: batch, Target: "x", Deadline: epoch.Add(time.Minute)}, 1, epoch)
		}
	}
	flood(1000)
	require.Equal(t, 50, table.Waiting())
	for i := range 20 {
		for _, r := range []Request{
			{Customer: "flood", Class: urgent},
			{Customer: "quiet", Class: batch},
		} {
			flood(10)
			r.Target, r.Deadline = "x", epoch.Add(2*time.Minute)
			w, out := table.Enqueue(r, 1, epoch)
			require.NotNil(t, out)
			require.NotSame(t, w, out.Waiter, "a request of the flood is refused")
			require.Equal(t, verdict.ReasonQueueFull, out.Refusal.Reason)
			grants := 0
			for {
				p := table.Pick("up", anyTarget)
				table.Grant(p, "up")
				if grants++; p == w {
					break
				}
			}
			require.LessOrEqual(t, grants, 2, "round %d, %s of %s", i, r.Class, r.Customer)
		}
	}
}

// TestRequestIsRefusedOnArrivalIfTheWaitIsTooLong checks the estimate of the wait:
// ten batch requests of one customer wait for a target with a grant every 10 ms.
func TestRequestIsRefusedOnArrivalIfTheWaitIsTooLong(t *testing.T) {
	for _, tc := range []struct {
		name     string
		class    recordv1.RequestClass
		customer string
		slack    time.Duration
		refused  bool
	}{
		{"behind its own flow", batch, "a", 105 * time.Millisecond, true},
		{"ahead of its own flow", batch, "a", 15 * time.Millisecond, false},
		{"enough time", batch, "a", 2 * time.Second, false},
		{"another customer has its own share", batch, "b", 25 * time.Millisecond, false},
		{"urgent overtakes batch", urgent, "a", 25 * time.Millisecond, false},
		{"deadline before the next grant", urgent, "a", 5 * time.Millisecond, true},
		{"deadline passed", urgent, "a", 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := &Table{}
			table.RecordService("x", 20*time.Millisecond)
			for i := range 10 {
				_, out := table.Enqueue(Request{
					Customer: "a", Class: batch, Target: "x", Deadline: epoch.Add(time.Duration(101+i/4) * time.Millisecond),
				}, 2, epoch)
				require.Nil(t, out)
			}
			w, out := table.Enqueue(Request{Customer: tc.customer, Class: tc.class, Target: "x", Deadline: epoch.Add(tc.slack)}, 2, epoch)
			if !tc.refused {
				require.Nil(t, out)
				return
			}
			require.NotNil(t, out)
			require.Same(t, w, out.Waiter)
			require.Equal(t, verdict.ReasonDeadline, out.Refusal.Reason)
			require.Positive(t, out.Refusal.RetryAfter)
		})
	}
}

// TestRetryDelaysAreSpread checks that requests that are refused together are not
// retried together.
func TestRetryDelaysAreSpread(t *testing.T) {
	table := &Table{MaxPerTarget: 1}
	table.RecordService("x", 20*time.Millisecond)
	perSlice := make(map[time.Duration]int) // refusals by 100 ms of the retry delay
	const refused = 2000
	for i := range refused {
		_, out := table.Enqueue(Request{ID: fmt.Sprint(i), Customer: "a", Target: "x", Deadline: epoch.Add(time.Hour)}, 2, epoch)
		if out == nil {
			continue
		}
		require.GreaterOrEqual(t, out.Refusal.RetryAfter, minRetryDelay)
		require.LessOrEqual(t, out.Refusal.RetryAfter, maxRetryDelay)
		perSlice[out.Refusal.RetryAfter/(100*time.Millisecond)]++
	}
	for slice, n := range perSlice {
		require.LessOrEqual(t, n, refused/20, "slice %d", slice)
	}
	require.Equal(t, verdict.JitteredRetryDelay("same", time.Second), verdict.JitteredRetryDelay("same", time.Second))
}
