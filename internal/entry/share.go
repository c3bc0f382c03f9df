package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/sharer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
)

const boundsTimeout = 500 * time.Millisecond

// wireShares makes the part that shares contracts with the other instances.
func (e *Entry) wireShares(log platformv1connect.LogQueriesClient) {
	ends := &logEnds{log: log, next: e.keeper.Next}
	e.sharer = &sharer.Sharer{
		Incarnation: e.Incarnation, Terms: sharer.DefaultTerms,
		Limits: e.limitsOf, Home: e.homeOf, Send: e.sendLease, Current: ends.current,
		OnMore: e.dispatcher.Admitter.Wake,
	}
	e.dispatcher.Admitter.Units = e.sharer
	e.keeper.Subscribe(e.sharer.OnEvents)
}

func (e *Entry) limitsOf(customer string) (l sharer.Limits) {
	e.keeper.View(func(s *folder.State) { l = sharer.LimitsOf(s.Config.Contracts[customer], s.Config.Policy) })
	return l
}

func (e *Entry) homeOf(customer string) (h sharer.Home) {
	e.keeper.View(func(s *folder.State) {
		sh := s.Shard(folder.ShardOf(customer))
		if sh.Released {
			return
		}
		h = sharer.Home{
			Instance: sh.Current.Instance, Claim: sh.Current.Claim, Self: sh.Current.Incarnation == e.Incarnation,
		}
	})
	return h
}

func (e *Entry) sendLease(ctx context.Context, home, customer string, a sharer.Ask) (sharer.Amount, time.Duration, error) {
	m, ok := e.watcher.Member(home)
	if !ok {
		return sharer.Amount{}, 0, errors.Newf("no member %q", home)
	}
	resp, err := e.watcher.Commands(m).Lease(ctx, &peerv1.LeaseRequest{
		Instance: e.Settings.Instance, Incarnation: a.Borrower, Customer: customer, Sequence: a.Sequence,
		Concurrency: uint32(a.Want.Concurrency), RequestsPerSecond: a.Want.Rate,
	})
	if err != nil {
		return sharer.Amount{}, 0, errors.Wrap(err, "lease")
	}
	lent := sharer.Amount{Concurrency: int(resp.GetConcurrency()), Rate: resp.GetRequestsPerSecond()}
	return lent, time.Duration(resp.GetValidMs()) * time.Millisecond, nil
}

// Lease lends a share of a contract to a peer.
func (c *peerCommands) Lease(ctx context.Context, req *peerv1.LeaseRequest) (*peerv1.LeaseResponse, error) {
	lent := c.e.sharer.Lend(ctx, req.GetCustomer(), sharer.Ask{
		Borrower: req.GetIncarnation(), Sequence: req.GetSequence(),
		Want: sharer.Amount{Concurrency: int(req.GetConcurrency()), Rate: req.GetRequestsPerSecond()},
	})
	return &peerv1.LeaseResponse{
		Granted: lent != sharer.Amount{}, Concurrency: uint32(lent.Concurrency), RequestsPerSecond: lent.Rate,
		ValidMs: uint32(c.e.sharer.Terms.Lease.Milliseconds()),
	}, nil
}

// logEnds finds out up to when the state is known to include the whole log.
type logEnds struct {
	log  platformv1connect.LogQueriesClient
	next func() uint64

	mu   sync.Mutex
	asOf time.Time
}

// current returns a time at which the state included the end of the log. It
// asks the log if the last such time is not recent.
func (l *logEnds) current(ctx context.Context) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.asOf) < sharer.DefaultTerms.Fresh/2 {
		return l.asOf
	}
	ctx, cancel := context.WithTimeout(ctx, boundsTimeout)
	defer cancel()
	asked := time.Now() // before the question, so that a pause makes it older and not newer
	resp, err := l.log.Bounds(ctx, connect.NewRequest(&platformv1.BoundsRequest{}))
	if err == nil && l.next() >= resp.Msg.GetNextOffset() {
		l.asOf = asked
	}
	return l.asOf
}
