package queuer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// backlog returns a table whose only upstream has two slots, both in use, where a request of
// 100 tokens takes a second, 3 s after the start of a backlog of account a.
func backlog(t *testing.T, waiting int) (*Table, *registrar.Snapshot, *matcher.Config) {
	table, s, cfg := newTable(), snapshot(engine("e1", registrar.Model{Name: "m1"})), withAccounts(t, config(), "a", "b", "c")
	for range minServices + 2 {
		req := accountRequest("a", 1, time.Second)
		require.NotNil(t, table.Admit(req, s, cfg, start.Add(-time.Minute)).Upstream)
		table.RecordPrefill(req, "e1")
		table.Release(req, "e1")
		table.RecordService(req, time.Second)
	}
	for range 2 {
		require.NotNil(t, table.Admit(accountRequest("a", 1, time.Second), s, cfg, start).Upstream)
	}
	for range waiting {
		require.NotNil(t, table.Admit(accountRequest("a", 1, 30*time.Second), s, cfg, start).Waiter)
	}
	return table, s, cfg
}

// Guards against requests that are held although those ahead take longer than they have, and
// against requests of other accounts that are refused because of this account's backlog.
func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	table, s, cfg := backlog(t, 50)
	now := start.Add(3 * time.Second)
	req := accountRequest("a", 1, 40*time.Second)
	req.StartBy = now.Add(15 * time.Second)
	a := table.Admit(req, s, cfg, now)
	require.Nil(t, a.Waiter)
	require.True(t, a.Estimate.IsBusy)
	require.Equal(t, 20*time.Second, a.Estimate.Delay, "50 requests at two a second, less the margin")
	req.Account = "b"
	require.NotNil(t, table.Admit(req, s, cfg, now).Waiter, "its share is free")
	req.Account, req.StartBy = "a", now.Add(25*time.Second)
	require.NotNil(t, table.Admit(req, s, cfg, now).Waiter, "can start in time")
}

// Guards against a refusal of the requests ahead in place of those behind: the latest ones of
// the account with the backlog are refused.
func TestLatestRequestsOfTheExcessAreRefused(t *testing.T) {
	table, s, cfg := backlog(t, 0)
	now := start.Add(3 * time.Second)
	var waiters []*Waiter
	for i := range 60 {
		req := accountRequest("a", 1, 30*time.Second+time.Duration(i))
		req.StartBy = now.Add(10 * time.Second)
		waiters = append(waiters, table.Wait(req, start))
	}
	b := table.Wait(accountRequest("b", 1, 30*time.Second), start)
	table.Expire(s, cfg, now)
	_, isRefused := b.Refused()
	require.False(t, isRefused)
	refused := 0
	for i, w := range waiters {
		if _, ok := w.Refused(); ok {
			refused++
			require.GreaterOrEqual(t, i, 20, "two slots serve that many in time")
		}
	}
	require.InDelta(t, 60-25, refused, 2, "a margin of a quarter is kept")
	require.Equal(t, 61-refused, table.Waiting())
}

// Guards against refused clients that return together, before there is room, or behind those of
// another account.
func TestRefusedRequestsReturnOneAfterTheOther(t *testing.T) {
	table, s, cfg := backlog(t, 8)
	now, last := start.Add(3*time.Second), time.Duration(0)
	req := accountRequest("a", 1, 40*time.Second)
	req.StartBy = now.Add(time.Second)
	for range 3 {
		e := table.Admit(req, s, cfg, now).Estimate
		require.True(t, e.IsBusy)
		require.GreaterOrEqual(t, e.retryAfter(), e.Delay, "not before those ahead have started")
		require.Greater(t, e.retryAfter(), last+200*time.Millisecond)
		last = e.retryAfter()
	}
	p, seen := table.fair.pools[poolKeyOf(req)], map[time.Duration]bool{}
	w := &Waiter{Request: accountRequest("b", 1, 0), cost: 100}
	require.Equal(t, minRetryDelay, p.refuse(w, 0, 250, now).RetryAfter)
	for i := range 100 {
		w.Request.ID = fmt.Sprint(i)
		seen[p.refuse(w, 0, 250, now).RetryAfter] = true
	}
	require.Greater(t, len(seen), 95)
	require.LessOrEqual(t, slices.Max(slices.Collect(maps.Keys(seen))), maxRetryDelay)
}

// Guards against refusals on a guess: without measured service times nothing is refused.
func TestNothingIsRefusedBeforeServiceTimesAreKnown(t *testing.T) {
	table, s, cfg := newTable(), snapshot(engine("e1", registrar.Model{Name: "m1"})), withAccounts(t, config(), "a")
	for range 1000 {
		req := accountRequest("a", 1, time.Second)
		req.StartBy = start.Add(2 * time.Second)
		table.Admit(req, s, cfg, start)
	}
	table.Expire(s, cfg, start.Add(time.Second))
	require.Equal(t, 998, table.Waiting())
}

// Guards against a refusal without a retry delay, or one that does not say that the request has
// not run, at the end of a wait behind others.
func TestRequestThatWaitedInVainIsToldWhenToReturn(t *testing.T) {
	q := newQueue(engine("e1", registrar.Model{Name: "m1"}))
	cfg := withAccounts(t, config(), "a")
	q.Config = func() *matcher.Config { return cfg }
	req := Request{Service: "lm", Model: "m1", Account: "a", StartBy: time.Now().Add(20 * time.Millisecond)}
	for range 2 {
		_, err := q.Acquire(t.Context(), req)
		require.NoError(t, err)
	}
	_, err := q.Acquire(t.Context(), req)
	r := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, r.Ran)
	require.Equal(t, verdict.ReasonQueueFull, r.Reason)
	require.GreaterOrEqual(t, r.RetryAfter, minRetryDelay)
	require.Contains(t, r.Error(), `account "a"`)
}

// TestStopRefusesWaitingRequestsThatCannotEnd guards against requests that wait, are granted late in a stop,
// and cannot end before it.
func TestStopRefusesWaitingRequestsThatCannotEnd(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.init()
	short := table.Wait(Request{ID: "short", Takes: time.Second}, now)
	long := table.Wait(Request{ID: "long", Takes: time.Minute}, now)
	table.RefuseForStop(func(r Request) bool { return r.Takes <= time.Second })
	e, isRefused := long.Refused()
	require.True(t, isRefused)
	require.True(t, e.IsStopping)
	_, isRefused = short.Refused()
	require.False(t, isRefused)
	require.Equal(t, 1, table.Waiting())
	require.False(t, table.Remove(long), "refused before")
}

// TestLowerPriorityWaitsForWhatHigherOnesGoOnTaking guards against requests of a low priority that are held
// until their client leaves: higher ones do not wait, but take the slots as they arrive.
func TestLowerPriorityWaitsForWhatHigherOnesGoOnTaking(t *testing.T) {
	for name, isBusy := range map[string]bool{"higher ones arrive": true, "none arrive": false} {
		t.Run(name, func(t *testing.T) {
			table, s, cfg := backlog(t, 0)
			now := start
			for range 20 { // both slots have the next request each half a second
				now = now.Add(500 * time.Millisecond)
				if !isBusy {
					continue
				}
				req := accountRequest("a", 1, now.Sub(start)+time.Second)
				table.Release(req, "e1")
				u := table.Admit(req, s, cfg, now).Upstream
				require.NotNil(t, u)
				table.RecordPrefill(req, "e1")
				table.RecordService(req, time.Second)
			}
			low := accountRequest("b", 2, time.Minute)
			low.StartBy = now.Add(time.Minute)
			for range 4 {
				require.NotNil(t, table.Admit(low, s, cfg, now).Waiter)
			}
			low.StartBy = now.Add(2500 * time.Millisecond)
			a := table.Admit(low, s, cfg, now)
			require.Equal(t, isBusy, a.Waiter == nil, "two requests a second, less the margin: %v", a.Estimate.Delay)
			low.StartBy = now.Add(5 * time.Second)
			require.NotNil(t, table.Admit(low, s, cfg, now).Waiter, "the higher ones are a burst")
		})
	}
}
