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

	"github.com/primrosedrift/primrosedrift/internal/applier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// cluster is a number of instances that share contracts; the first one is home.
type cluster struct {
	sharers           []*Sharer
	limits            Limits
	isHomeUnreachable atomic.Bool
	running           sync.WaitGroup
}

func newCluster(ctx context.Context, n int, limits Limits) *cluster {
	c := &cluster{limits: limits}
	for i := range n {
		name := fmt.Sprint(i)
		c.sharers = append(c.sharers, &Sharer{
			Incarnation: name, Timing: DefaultTiming,
			Limits:    func(string) Limits { return c.limits },
			Home:      func(string) Home { return Home{Instance: "0", Claim: 1, IsSelf: name == "0"} },
			LogReadAt: func(context.Context) time.Time { return time.Now() },
			SendRequest: func(ctx context.Context, _, customer string, req LeaseRequest) (Amount, time.Duration, error) {
				time.Sleep(time.Millisecond)
				if c.isHomeUnreachable.Load() {
					return Amount{}, 0, errors.New("no connection")
				}
				return c.sharers[0].Lend(ctx, customer, req), DefaultTiming.LeaseDuration, nil
			},
		})
	}
	c.sharers[0].OnEvents([]applier.Event{{Position: 1, Counted: true, Record: &recordv1.Record{
		Kind: &recordv1.Record_Claim{Claim: &recordv1.Claim{Shard: applier.ShardOf("c"), Incarnation: "0"}},
	}}})
	for _, s := range c.sharers {
		c.running.Go(func() { s.Run(ctx) })
	}
	return c
}

// numRevoked returns how many units of an instance's running requests were
// revoked.
func (c *cluster) numRevoked(i int) int {
	s := c.sharers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, isCovered := range s.accounts["c"].running {
		if !isCovered {
			n++
		}
	}
	return n
}

// acquireAll acquires all units that the instance has, and returns the number of
// acquired units.
func acquireAll(s *Sharer, releases *[]func()) int {
	for s.HasUnit("c") {
		*releases = append(*releases, s.Acquire("c", make(chan struct{})))
	}
	s.ReportWaiting("c", 1000)
	return len(*releases)
}

// TestPoolIsLent checks that a busy instance borrows the whole pool, that the
// total stays within the limits when all instances are busy, that released units
// are lent again, and that base shares remain usable without a home.
func TestPoolIsLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 3, Limits{Amount: Amount{Concurrency: 64}, MaxEntries: 4}) // base share 4, pool 48
		defer c.running.Wait()
		defer cancel()
		releases := make([][]func(), 3)
		for range 20 {
			acquireAll(c.sharers[1], &releases[1])
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, releases[1], 52)
		for range 20 {
			for i, s := range c.sharers {
				acquireAll(s, &releases[i])
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, releases[0], 4)
		require.Len(t, releases[2], 4)
		for _, release := range releases[1] {
			release()
		}
		releases[1] = nil
		for range 40 {
			acquireAll(c.sharers[2], &releases[2])
			time.Sleep(100 * time.Millisecond)
		}
		require.Len(t, releases[2], 52)
		revoked := make(chan struct{})
		releases[2][0]() // makes room for a unit that is watched for its revocation
		releases[2][0] = c.sharers[2].Acquire("c", revoked)
		c.isHomeUnreachable.Store(true)
		time.Sleep(2 * DefaultTiming.LeaseDuration)
		select {
		case <-revoked:
			require.Fail(t, "unit revoked at the end of the lease")
		default:
		}
		for _, release := range releases[2][5:] { // five keep running, one more than the base share
			release()
		}
		releases[2] = releases[2][:5]
		time.Sleep(DefaultTiming.MaxOverrun - 4*DefaultTiming.LeaseDuration)
		require.Zero(t, c.numRevoked(2))
		time.Sleep(4 * DefaultTiming.LeaseDuration)
		require.Equal(t, 1, c.numRevoked(2))
		for _, release := range releases[2] {
			release()
		}
		releases[2] = nil
		require.Equal(t, 4, acquireAll(c.sharers[2], &releases[2]))
	})
}

// TestRateIsLent checks that one instance starts a burst within the contract in
// time, and that it stays within the rate afterwards.
func TestRateIsLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 2, Limits{Amount: Amount{Rate: 400}, MaxEntries: 4}) // base share 25, pool 300
		defer c.running.Wait()
		defer cancel()
		unitsAvailable := make(chan struct{}, 1)
		c.sharers[1].OnUnitsAvailable = func() {
			select {
			case unitsAvailable <- struct{}{}:
			default:
			}
		}
		// run runs up to n requests within d, and returns how many ran.
		run := func(n int, d time.Duration) int {
			end := time.After(d)
			for ran := 0; ; ran++ {
				for !c.sharers[1].HasUnit("c") {
					c.sharers[1].ReportWaiting("c", n-ran)
					select {
					case <-unitsAvailable:
					case <-end:
						return ran
					}
				}
				if ran == n {
					return ran
				}
				c.sharers[1].Acquire("c", make(chan struct{}))()
			}
		}
		require.Equal(t, 200, run(200, time.Second))
		ran := run(100_000, 10*time.Second)
		t.Logf("%d ran in 10 s", ran)
		require.LessOrEqual(t, ran, 11*325)
		require.GreaterOrEqual(t, ran, 9*325)
	})
}
