package sharer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// ring is instances that share contracts; the first one is home.
type ring struct {
	all    []*Sharer
	limits Limits
	cut    atomic.Bool // the home is out of reach
	runs   sync.WaitGroup
}

func newRing(ctx context.Context, n int, limits Limits) *ring {
	r := &ring{limits: limits}
	for i := range n {
		name := fmt.Sprint(i)
		r.all = append(r.all, &Sharer{
			Incarnation: name, Terms: DefaultTerms,
			Limits:  func(string) Limits { return r.limits },
			Home:    func(string) Home { return Home{Instance: "0", Claim: 1, Self: name == "0"} },
			Current: func(context.Context) time.Time { return time.Now() },
			Send: func(ctx context.Context, _, customer string, a Ask) (Amount, time.Duration, error) {
				time.Sleep(time.Millisecond)
				if r.cut.Load() {
					return Amount{}, 0, errors.New("no connection")
				}
				return r.all[0].Lend(ctx, customer, a), DefaultTerms.Lease, nil
			},
		})
	}
	r.all[0].OnEvents([]folder.Event{{Position: 1, Counted: true, Record: &recordv1.Record{
		Kind: &recordv1.Record_Claim{Claim: &recordv1.Claim{Shard: folder.ShardOf("c"), Incarnation: "0"}},
	}}})
	for _, s := range r.all {
		r.runs.Go(func() { s.Run(ctx) })
	}
	return r
}

// cutCount returns how many running requests of an instance were cut.
func (r *ring) cutCount(i int) int {
	s := r.all[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.accounts["c"].running {
		if !runs {
			n++
		}
	}
	return n
}

// fill takes all the units that the instance gets, and returns their number.
func fill(s *Sharer, gives *[]func()) int {
	for s.HasUnit("c") {
		*gives = append(*gives, s.Take("c", make(chan struct{})))
	}
	s.Want("c", 1000)
	return len(*gives)
}

// TestLeases checks that a busy instance gets the pool, that the sum holds when
// all are busy, that units return, and that base shares remain without a home.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newRing(ctx, 3, Limits{Amount: Amount{Concurrency: 64}, Entries: 4}) // base share 4, pool 48
		defer r.runs.Wait()
		defer cancel()
		gives := make([][]func(), 3)
		for range 20 {
			fill(r.all[1], &gives[1])
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, gives[1], 52)
		for range 20 {
			for i, s := range r.all {
				fill(s, &gives[i])
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, gives[0], 4)
		require.Len(t, gives[2], 4)
		for _, g := range gives[1] {
			g()
		}
		gives[1] = nil
		for range 40 {
			fill(r.all[2], &gives[2])
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, gives[2], 52)
		cut := make(chan struct{})
		gives[2][0]() // make room for one that can be cut
		gives[2][0] = r.all[2].Take("c", cut)
		r.cut.Store(true)
		time.Sleep(2 * DefaultTerms.Lease)
		select {
		case <-cut:
			require.Fail(t, "cut at the end of the lease")
		default:
		}
		for _, g := range gives[2][5:] { // five run on, one more than the base share
			g()
		}
		gives[2] = gives[2][:5]
		time.Sleep(DefaultTerms.Hold - 4*DefaultTerms.Lease)
		require.Zero(t, r.cutCount(2))
		time.Sleep(4 * DefaultTerms.Lease)
		require.Equal(t, 1, r.cutCount(2))
		for _, g := range gives[2] {
			g()
		}
		gives[2] = nil
		require.Equal(t, 4, fill(r.all[2], &gives[2]))
	})
}

// TestRateIsLent checks that a burst within the contract runs at one instance
// in time, and that the rate holds after it.
func TestRateIsLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newRing(ctx, 2, Limits{Amount: Amount{Rate: 400}, Entries: 4}) // base share 25, pool 300
		defer r.runs.Wait()
		defer cancel()
		more := make(chan struct{}, 1)
		r.all[1].OnMore = func() {
			select {
			case more <- struct{}{}:
			default:
			}
		}
		// run runs up to n requests in a time, and returns how many ran.
		run := func(n int, d time.Duration) int {
			end := time.After(d)
			for ran := 0; ; ran++ {
				for !r.all[1].HasUnit("c") {
					r.all[1].Want("c", n-ran)
					select {
					case <-more:
					case <-end:
						return ran
					}
				}
				if ran == n {
					return ran
				}
				r.all[1].Take("c", make(chan struct{}))()
			}
		}
		require.Equal(t, 200, run(200, time.Second))
		ran := run(100_000, 10*time.Second)
		t.Logf("%d ran in 10 s", ran)
		require.LessOrEqual(t, ran, 11*325)
		require.GreaterOrEqual(t, ran, 9*325)
	})
}
