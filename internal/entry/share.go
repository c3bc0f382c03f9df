package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/sharer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
)

const boundsTimeout = 500 * time.Millisecond

// wireShares creates the component that shares the limits of contracts with the
// other instances.
func (e *Entry) wireShares(log platformv1connect.LogQueriesClient) {
	freshness := &logFreshness{log: log, next: e.keeper.NextOffset}
	e.sharer = &sharer.Sharer{
		Incarnation: e.Incarnation, Timing: sharer.DefaultTiming,
		Limits: e.limitsOf, Home: e.homeOf, SendRequest: e.sendLease, LogReadAt: freshness.upToDateAt,
		OnUnitsAvailable: e.dispatcher.Admitter.Wake,
	}
	e.dispatcher.Admitter.Units = e.sharer
	e.keeper.Subscribe(e.sharer.OnEvents)
}

func (e *Entry) limitsOf(customer string) (l sharer.Limits) {
	e.keeper.View(func(s *applier.State) { l = sharer.LimitsOf(s.Config.Contracts[customer], s.Config.Policy) })
	return l
}

func (e *Entry) homeOf(customer string) (h sharer.Home) {
	e.keeper.View(func(s *applier.State) {
		sh := s.Shard(applier.ShardOf(customer))
		if sh.IsReleased {
			return
		}
		h = sharer.Home{
			Instance: sh.Holder.Instance, Claim: sh.Holder.Claim, IsSelf: sh.Holder.Incarnation == e.Incarnation,
		}
	})
	return h
}

func (e *Entry) sendLease(ctx context.Context, home, customer string, req sharer.LeaseRequest) (sharer.Amount, time.Duration, error) {
	m, ok := e.watcher.Member(home)
	if !ok {
		return sharer.Amount{}, 0, errors.Newf("%q is not a known member", home)
	}
	resp, err := e.watcher.Commands(m).Lease(ctx, &peerv1.LeaseRequest{
		Instance: e.Settings.Instance, Incarnation: req.Borrower, Customer: customer, Sequence: req.Sequence,
		Concurrency: uint32(req.Want.Concurrency), RequestsPerSecond: req.Want.Rate,
	})
	if err != nil {
		return sharer.Amount{}, 0, errors.Wrap(err, "lease")
	}
	lent := sharer.Amount{Concurrency: int(resp.GetConcurrency()), Rate: resp.GetRequestsPerSecond()}
	return lent, time.Duration(resp.GetValidMs()) * time.Millisecond, nil
}

// Lease grants a share of a contract's limits to a peer for a limited time.
func (c *peerCommands) Lease(ctx context.Context, req *peerv1.LeaseRequest) (*peerv1.LeaseResponse, error) {
	lent := c.e.sharer.Lend(ctx, req.GetCustomer(), sharer.LeaseRequest{
		Borrower: req.GetIncarnation(), Sequence: req.GetSequence(),
		Want: sharer.Amount{Concurrency: int(req.GetConcurrency()), Rate: req.GetRequestsPerSecond()},
	})
	return &peerv1.LeaseResponse{
		Granted: lent != sharer.Amount{}, Concurrency: uint32(lent.Concurrency), RequestsPerSecond: lent.Rate,
		ValidMs: uint32(c.e.sharer.Timing.LeaseDuration.Milliseconds()),
	}, nil
}

// logFreshness tracks the latest time at which the state is known to have included
// the whole log.
type logFreshness struct {
	log  platformv1connect.LogQueriesClient
	next func() uint64

	mu   sync.Mutex
	asOf time.Time
}

// upToDateAt returns a time at which the state included the end of the log. It
// queries the log if the last known time is not recent.
func (l *logFreshness) upToDateAt(ctx context.Context) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.asOf) < sharer.DefaultTiming.MaxClaimAge/2 {
		return l.asOf
	}
	ctx, cancel := context.WithTimeout(ctx, boundsTimeout)
	defer cancel()
	queriedAt := time.Now() // before the query: a pause of the process then makes it older, not newer
	resp, err := l.log.Bounds(ctx, connect.NewRequest(&platformv1.BoundsRequest{}))
	if err == nil && l.next() >= resp.Msg.GetNextOffset() {
		l.asOf = queriedAt
	}
	return l.asOf
}
