package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
)

// Intervals and limits of a Sharer.
const (
	// minRequestInterval is the minimum time between two requests for one
	// contract.
	minRequestInterval = 20 * time.Millisecond
	requestTimeout     = time.Second
	// accountIdleTimeout is how long an unused account is kept.
	accountIdleTimeout = time.Minute
	// renewalsPerLease is how often a lease is renewed before it ends.
	renewalsPerLease = 4
	// rateHeadroom is the ratio of the requested rate to the used rate.
	rateHeadroom = 1.5
)

// Home is the instance that lends the pool of a customer's contract.
type Home struct {
	Instance string
	Claim    applier.Position
	// IsSelf is true if this instance is the home.
	IsSelf bool
}

// Sharer shares contracts with the other instances. Its function fields must
// be set before use.
type Sharer struct {
	// Incarnation identifies this instance as a borrower.
	Incarnation string
	Timing      Timing
	// Limits returns the limits of a customer's contract.
	Limits func(customer string) Limits
	// Home returns the customer's home in this instance's state.
	Home func(customer string) Home
	// SendRequest sends a request to another instance and returns the lent amount and
	// the duration of the lease.
	SendRequest func(ctx context.Context, home string, customer string, req LeaseRequest) (lent Amount, valid time.Duration, err error)
	// LogReadAt returns the latest known time at which this instance's state
	// included the end of the log.
	LogReadAt func(ctx context.Context) time.Time
	// OnUnitsAvailable, if set, is called when units may have become available.
	OnUnitsAvailable func()

	mu       sync.Mutex
	accounts map[string]*account    // by customer
	lenders  map[string]*Lender     // by customer
	terms    map[uint32]claimedTerm // by shard
	wake     chan struct{}
}

// claimedTerm is the term of one claim of this instance.
type claimedTerm struct {
	Term

	claim applier.Position
}

// account is this instance's share of one contract, with the requests that use it
// or wait for it.
type account struct {
	Borrower

	numWaiting      int     // requests that wait for a unit
	numStarted      int     // requests that started since the last lease request
	rate            float64 // smoothed rate of started requests per second
	isRequesting    bool    // a lease request is in flight
	isWakeScheduled bool
	running         map[chan<- struct{}]bool // false once the unit is revoked
	lastRequest     time.Time
	lastUsed        time.Time
}

func (s *Sharer) account(customer string, now time.Time) *account {
	limits := s.Limits(customer)
	a := s.accounts[customer]
	if a == nil {
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		a = &account{lastRequest: now.Add(-s.renewEvery())}
		s.accounts[customer] = a
	}
	a.Limits = limits
	a.lastUsed = now
	return a
}

// HasUnit reports whether the customer may run one more request on this instance
// now. If only the rate forbids it, OnUnitsAvailable is called when the rate
// allows the next request.
func (s *Sharer) HasUnit(customer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := s.account(customer, now)
	if !a.HasUnit(now) {
		return false
	}
	delay := a.RateDelay(now)
	if delay > 0 {
		s.scheduleUnitsAvailable(a, delay)
	}
	return delay == 0
}

// scheduleUnitsAvailable calls OnUnitsAvailable after a delay, unless a call is
// scheduled already.
func (s *Sharer) scheduleUnitsAvailable(a *account, delay time.Duration) {
	if a.isWakeScheduled || s.OnUnitsAvailable == nil {
		return
	}
	a.isWakeScheduled = true
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		a.isWakeScheduled = false
		s.mu.Unlock()
		s.OnUnitsAvailable()
	})
}

// Acquire acquires a unit; the returned function releases it. If the share no
// longer covers the request, so that it must end earlier, the Sharer closes
// revoked.
func (s *Sharer) Acquire(customer string, revoked chan<- struct{}) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := s.account(customer, now)
	a.Acquire(now)
	a.numStarted++
	if a.running == nil {
		a.running = make(map[chan<- struct{}]bool)
	}
	a.running[revoked] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.Release()
		delete(a.running, revoked)
	}
}

// ReportWaiting sets the number of the customer's requests that wait for a unit.
func (s *Sharer) ReportWaiting(customer string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(customer, time.Now()).numWaiting = n
	s.wakeRunLocked()
}

func (s *Sharer) wakeRunLocked() {
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sharer) renewEvery() time.Duration {
	return s.Timing.LeaseDuration / renewalsPerLease
}

// Run requests and renews leases until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	s.mu.Lock()
	s.wakeRunLocked()
	wake := s.wake
	s.mu.Unlock()
	tick := time.NewTicker(s.renewEvery())
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for customer, req := range s.dueRequests(time.Now()) {
			wg.Go(func() { s.requestLease(ctx, customer, req) })
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(minRequestInterval):
			}
		}
	}
}

// dueRequests returns the lease requests that must be sent now, by customer.
func (s *Sharer) dueRequests(now time.Time) map[string]LeaseRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]LeaseRequest)
	for customer, a := range s.accounts {
		if a.InUse() == 0 && now.Sub(a.lastUsed) > accountIdleTimeout {
			delete(s.accounts, customer)
			continue
		}
		a.revoke(a.Excess(now, s.Timing.MaxOverrun))
		hasWaiting := a.numWaiting > 0
		if a.isRequesting || now.Sub(a.lastRequest) < minRequestInterval || !hasWaiting && now.Sub(a.lastRequest) < s.renewEvery() {
			continue
		}
		if wanted, ok := a.wantedAmount(now); ok {
			a.isRequesting = true
			out[customer] = a.NextRequest(s.Incarnation, wanted, now)
		}
	}
	return out
}

// revoke revokes units until n are revoked, including those revoked before.
func (a *account) revoke(n int) {
	for _, isCovered := range a.running {
		if !isCovered {
			n--
		}
	}
	for revoked, isCovered := range a.running {
		if n <= 0 {
			return
		}
		if isCovered {
			close(revoked)
			a.running[revoked] = false
			n--
		}
	}
}

// wantedAmount returns the amount of the contract that the instance wants from now
// on. It reports false if the instance needs no lease and has none.
func (a *account) wantedAmount(now time.Time) (Amount, bool) {
	elapsed := max(now.Sub(a.lastRequest), minRequestInterval).Seconds()
	used := float64(a.numStarted) / elapsed
	a.rate = max(used, (a.rate+used)/2)
	w := Amount{Concurrency: a.InUse() + a.numWaiting, Rate: rateHeadroom * a.rate}
	w.Rate += float64(a.numWaiting) // waiting requests should start within a second
	a.numWaiting, a.numStarted, a.lastRequest = 0, 0, now
	base := a.Limits.BaseShare()
	needs := w.Concurrency > base.Concurrency && a.Limits.Concurrency > 0 || w.Rate > base.Rate && a.Limits.Rate > 0
	return w, needs || a.leased != Amount{}
}

// requestLease sends a lease request and applies the reply.
func (s *Sharer) requestLease(ctx context.Context, customer string, req LeaseRequest) {
	lent, valid, err := s.sendRequest(ctx, customer, req)
	s.mu.Lock()
	a := s.accounts[customer]
	if a == nil {
		s.mu.Unlock()
		return
	}
	a.isRequesting = false
	if err == nil {
		a.ApplyGrant(req.Sequence, lent, valid)
	}
	s.mu.Unlock()
	if err == nil && s.OnUnitsAvailable != nil {
		s.OnUnitsAvailable()
	}
}

func (s *Sharer) sendRequest(ctx context.Context, customer string, req LeaseRequest) (Amount, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	home := s.Home(customer)
	if home.IsSelf {
		return s.Lend(ctx, customer, req), s.Timing.LeaseDuration, nil
	}
	return s.SendRequest(ctx, home.Instance, customer, req)
}

// Lend returns the amount that is lent in reply to a borrower's request. It lends
// nothing unless this instance is certain to be the customer's home.
func (s *Sharer) Lend(ctx context.Context, customer string, req LeaseRequest) Amount {
	confirmedAt := s.LogReadAt(ctx)
	home := s.Home(customer)
	if !home.IsSelf {
		return Amount{}
	}
	limits := s.Limits(customer)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	term := s.termLocked(applier.ShardOf(customer), home.Claim, now)
	term.ConfirmedAt = confirmedAt
	l := s.lenders[customer]
	if l == nil {
		if s.lenders == nil {
			s.lenders = make(map[string]*Lender)
		}
		l = &Lender{}
		s.lenders[customer] = l
	}
	return l.Lend(req, limits, term, s.Timing, now)
}

// termLocked returns the term of a claim. A claim that OnEvents has not received
// counts as read back now.
func (s *Sharer) termLocked(shard uint32, claim applier.Position, now time.Time) Term {
	t, ok := s.terms[shard]
	if !ok || t.claim != claim {
		t = claimedTerm{Term{ClaimReadAt: now}, claim}
		s.setTermLocked(shard, t)
	}
	return t.Term
}

func (s *Sharer) setTermLocked(shard uint32, t claimedTerm) {
	if s.terms == nil {
		s.terms = make(map[uint32]claimedTerm)
	}
	s.terms[shard] = t
}

// OnEvents records the claims of this instance that were read back from the log.
func (s *Sharer) OnEvents(events []applier.Event) {
	for _, e := range events {
		c := e.Record.GetClaim()
		if c == nil || !e.Counted || c.GetIncarnation() != s.Incarnation {
			continue
		}
		s.mu.Lock()
		s.setTermLocked(c.GetShard(), claimedTerm{Term{IsFirst: c.GetSupersedes() == 0, ClaimReadAt: time.Now()}, e.Position})
		s.mu.Unlock()
	}
}
