package admitter

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// upstream is an upstream with slots. It counts its running requests and the
// candidate lookups.
type upstream struct {
	mu         sync.Mutex
	slots      int
	running    int
	maxRunning int
	lookups    atomic.Int64
	changed    chan struct{}
}

func (u *upstream) change(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f()
	u.maxRunning = max(u.maxRunning, u.running)
	close(u.changed)
	u.changed = make(chan struct{})
}

func (u *upstream) source() Source {
	return Source{
		Candidates: func(time.Time) []router.Candidate {
			u.lookups.Add(1)
			u.mu.Lock()
			defer u.mu.Unlock()
			return []router.Candidate{{Upstream: "up", Load: u.running, Slots: u.slots}}
		},
		Choose: func(list []router.Candidate) int {
			if list[0].Load >= list[0].Slots {
				return -1
			}
			return 0
		},
	}
}

func (u *upstream) admitter() *Admitter {
	u.changed = make(chan struct{})
	return &Admitter{
		Begin: func(string) func() {
			u.change(func() { u.running++ })
			return func() { u.change(func() { u.running-- }) }
		},
		Changed: func() (state, load <-chan struct{}) {
			u.mu.Lock()
			defer u.mu.Unlock()
			return nil, u.changed
		},
	}
}

// TestEveryRequestGetsOneVerdict sends many requests at once. Each must get one
// verdict, at its deadline at the latest, slots must never be overcommitted, and
// the number of lookups must grow linearly with the number of requests.
func TestEveryRequestGetsOneVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{slots: 4}
		a := u.admitter()
		lookups := u.burst(t, a.Admit)
		require.Equal(t, 4, u.maxRunning)
		require.Zero(t, a.Waiting())
		require.False(t, a.isGranting)
		require.LessOrEqual(t, lookups, 6)
	})
}

// TestPollingBaselineExceedsTheLookupLimit is the counterpart without the grant
// loop: if every waiting request polls its candidates at each change, the lookups
// per request grow with the number of waiting requests.
func TestPollingBaselineExceedsTheLookupLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{slots: 4}
		a := u.admitter()
		require.Greater(t, u.burst(t, a.admitByPolling), 6)
	})
}

// admitByPolling is the baseline in which every request polls its candidates.
func (a *Admitter) admitByPolling(_ context.Context, req Request, src Source) (Grant, error) {
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	for {
		_, load := a.Changed()
		a.mu.Lock()
		list := src.Candidates(time.Now())
		if i := src.Choose(list); i >= 0 {
			end := a.Begin(list[i].Upstream)
			a.mu.Unlock()
			return Grant{Candidate: list[i], done: sync.OnceFunc(end)}, nil
		}
		a.mu.Unlock()
		select {
		case <-timer.C:
			return Grant{}, verdict.Refuse(verdict.ReasonDeadline, time.Second, "no free slot")
		case <-load:
		}
	}
}

// burst sends 1000 requests at once, checks their verdicts and returns the mean
// number of candidate lookups per request.
func (u *upstream) burst(t *testing.T, admit func(context.Context, Request, Source) (Grant, error)) int {
	const n = 1000
	var served, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			deadline := time.Now().Add(time.Duration(1+i%700) * time.Millisecond)
			g, err := admit(t.Context(), Request{ID: fmt.Sprint(i), Customer: "a", Target: "x", Deadline: deadline}, u.source())
			require.False(t, time.Now().After(deadline), "the verdict came after the deadline")
			if err != nil {
				r := verdict.FromError(err)
				require.Equal(t, verdict.NotRun, r.Ran)
				require.Positive(t, r.RetryAfter)
				refused.Add(1)
				return
			}
			time.Sleep(2 * time.Millisecond)
			g.Done()
			g.Done()
			served.Add(1)
		})
	}
	wg.Wait()
	synctest.Wait()
	require.EqualValues(t, n, served.Load()+refused.Load())
	require.GreaterOrEqual(t, served.Load(), int64(n/2))
	require.Zero(t, u.running)
	lookups := int(u.lookups.Load() / n)
	t.Logf("%d served, %d refused, at most %d at once, %d lookups each", served.Load(), refused.Load(), u.maxRunning, lookups)
	return lookups
}

// TestUnservedRequestIsRefusedAtItsDeadline checks that a request without a slot
// is refused at its deadline and not later.
func TestUnservedRequestIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		a := u.admitter()
		start := time.Now()
		_, err := a.Admit(t.Context(), Request{ID: "1", Customer: "a", Target: "x", Deadline: start.Add(1234 * time.Microsecond)}, u.source())
		require.Equal(t, verdict.ReasonDeadline, verdict.FromError(err).Reason)
		require.Equal(t, 1234*time.Microsecond, time.Since(start))
	})
}

// TestCanceledRequestIsRemoved checks that a canceled request leaves the queue.
func TestCanceledRequestIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		a := u.admitter()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := a.Admit(ctx, Request{ID: "1", Customer: "a", Target: "x", Deadline: time.Now().Add(time.Hour)}, u.source())
			done <- err
		}()
		synctest.Wait()
		require.Equal(t, 1, a.Waiting())
		cancel()
		require.Equal(t, verdict.ReasonCanceled, verdict.FromError(<-done).Reason)
		require.Zero(t, a.Waiting())
	})
}

// TestWholeResponseIsRefusedBeforeItsDeadline checks that a request that needs
// its whole response in time is refused while there is still time to serve it,
// and that a context that ends at the deadline does not count as canceled.
func TestWholeResponseIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{}
		a := u.admitter()
		a.Table.RecordService("x", 100*time.Millisecond)
		for _, tc := range []struct {
			whole    bool
			wantWait time.Duration
		}{{false, time.Second}, {true, 800 * time.Millisecond}} {
			start := time.Now()
			ctx, cancel := context.WithDeadline(t.Context(), start.Add(time.Second))
			_, err := a.Admit(ctx, Request{ID: "1", Customer: "a", Target: "x", Deadline: start.Add(time.Second), NeedsWholeResponse: tc.whole}, u.source())
			cancel()
			require.Equal(t, verdict.ReasonDeadline, verdict.FromError(err).Reason)
			require.Equal(t, tc.wantWait, time.Since(start))
		}
		require.Equal(t, epoch.Add(50*time.Millisecond), a.Table.queueOf("x").latestStart(epoch.Add(100*time.Millisecond), epoch))
	})
}

// TestNewRequestDoesNotOvertakeWaitingOne checks that a new request does not take
// a freed slot for which another request waits.
func TestNewRequestDoesNotOvertakeWaitingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{slots: 1}
		a := u.admitter()
		admit := func(id string, slack time.Duration) Grant {
			g, err := a.Admit(t.Context(), Request{ID: id, Customer: "a", Target: "x", Deadline: time.Now().Add(slack)}, u.source())
			require.NoError(t, err)
			return g
		}
		first := admit("first", time.Second)
		var order []string
		var wg sync.WaitGroup
		wg.Go(func() {
			g := admit("waiting", time.Second)
			order = append(order, "waiting")
			g.Done()
		})
		synctest.Wait()
		first.Done()
		wg.Go(func() {
			g := admit("newcomer", 2*time.Second)
			order = append(order, "newcomer")
			g.Done()
		})
		wg.Wait()
		require.Equal(t, []string{"waiting", "newcomer"}, order)
	})
}

// units limits only customer "a", to the units in free.
type units struct {
	free    atomic.Int64
	waiting atomic.Int64
}

func (u *units) HasUnit(customer string) bool { return customer != "a" || u.free.Load() > 0 }

func (u *units) Acquire(customer string, _ chan<- struct{}) func() {
	if customer != "a" {
		return func() {}
	}
	u.free.Add(-1)
	return func() { u.free.Add(1) }
}

func (u *units) ReportWaiting(_ string, n int) { u.waiting.Store(int64(n)) }

// TestCustomerAtContractLimitWaits checks that a customer at its limit waits
// without blocking others, is refused for that reason, and continues when it gets
// a unit.
func TestCustomerAtContractLimitWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstream{slots: 4}
		a := u.admitter()
		var n units
		a.Units = &n
		admit := func(customer string) (Grant, error) {
			return a.Admit(t.Context(), Request{ID: "1", Customer: customer, Target: "x", Deadline: time.Now().Add(time.Second)}, u.source())
		}
		_, err := admit("a")
		require.Equal(t, verdict.ReasonContractLimit, verdict.FromError(err).Reason)
		require.EqualValues(t, 1, n.waiting.Load())
		done := make(chan error, 1)
		go func() {
			g, err := admit("a")
			g.Done()
			done <- err
		}()
		synctest.Wait()
		g, err := admit("b")
		require.NoError(t, err)
		defer g.Done()
		require.Equal(t, 1, a.Waiting())
		n.free.Store(1)
		a.Wake()
		require.NoError(t, <-done)
		require.EqualValues(t, 1, n.free.Load())
	})
}
