package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
)

// Bounds of a Sharer.
const (
	// leastAskPause is the least time between two requests for one contract.
	leastAskPause = 20 * time.Millisecond
	askTimeout    = time.Second
	// idleAfter is how long an account is kept without use.
	idleAfter = time.Minute
	// renewals is how often a lease is renewed in its time.
	renewals = 4
	// rateHeadroom is how much more rate is asked for than was used.
	rateHeadroom = 1.5
)

// Home is who lends the pool of a customer's contract.
type Home struct {
	Instance string
	Claim    folder.Position
	// Self says that this instance is the home.
	Self bool
}

// Sharer shares contracts with the other instances. Its function fields must
// be set before use.
type Sharer struct {
	// Incarnation names this instance as a borrower.
	Incarnation string
	Terms       Terms
	// Limits returns the limits of a customer's contract.
	Limits func(customer string) Limits
	// Home returns the customer's home, as this instance knows it.
	Home func(customer string) Home
	// Send brings a request to another instance.
	Send func(ctx context.Context, home string, customer string, a Ask) (lent Amount, valid time.Duration, err error)
	// Current returns a time at which the state included the end of the log.
	Current func(ctx context.Context) time.Time
	// OnMore, if set, is called after this instance got more units.
	OnMore func()

	mu       sync.Mutex
	accounts map[string]*account
	lenders  map[string]*Lender
	terms    map[uint32]claimedTerm
	kick     chan struct{}
}

// claimedTerm is the term of one claim of this instance.
type claimedTerm struct {
	Term

	claim folder.Position
}

// account is this instance's share of one contract.
type account struct {
	Borrower

	waiting  int // requests that wait for a unit
	taken    int // requests since the last ask
	rate     float64
	asking   bool
	waking   bool
	running  map[chan<- struct{}]bool // false once it is cut
	lastAsk  time.Time
	lastUsed time.Time
}

func (s *Sharer) account(customer string, now time.Time) *account {
	limits := s.Limits(customer)
	a := s.accounts[customer]
	if a == nil {
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		a = &account{lastAsk: now.Add(-s.renewEvery())}
		s.accounts[customer] = a
	}
	a.Limits = limits
	a.lastUsed = now
	return a
}

// HasUnit reports whether the customer may run one more request here now. If
// only the rate forbids it, OnMore is called when it allows the next one.
func (s *Sharer) HasUnit(customer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := s.account(customer, now)
	if !a.HasUnit(now) {
		return false
	}
	wait := a.Wait(now)
	if wait > 0 {
		s.wakeAfter(a, wait)
	}
	return wait == 0
}

// wakeAfter calls OnMore once after a time.
func (s *Sharer) wakeAfter(a *account, wait time.Duration) {
	if a.waking || s.OnMore == nil {
		return
	}
	a.waking = true
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		a.waking = false
		s.mu.Unlock()
		s.OnMore()
	})
}

// Take takes a unit until the returned function is called. It closes the
// channel if the request must end before, since the share does not cover it.
func (s *Sharer) Take(customer string, cut chan<- struct{}) (give func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := s.account(customer, now)
	a.Take(now)
	a.taken++
	if a.running == nil {
		a.running = make(map[chan<- struct{}]bool)
	}
	a.running[cut] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.Give()
		delete(a.running, cut)
	}
}

// Want says that n requests of the customer wait for a unit.
func (s *Sharer) Want(customer string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(customer, time.Now()).waiting = n
	s.wakeLocked()
}

func (s *Sharer) wakeLocked() {
	if s.kick == nil {
		s.kick = make(chan struct{}, 1)
	}
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Sharer) renewEvery() time.Duration {
	return s.Terms.Lease / renewals
}

// Run asks for leases and renews them until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	s.mu.Lock()
	s.wakeLocked()
	kick := s.kick
	s.mu.Unlock()
	tick := time.NewTicker(s.renewEvery())
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for customer, ask := range s.due(time.Now()) {
			wg.Go(func() { s.ask(ctx, customer, ask) })
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-kick:
			select {
			case <-ctx.Done():
				return
			case <-time.After(leastAskPause):
			}
		}
	}
}

// due returns the requests that are to be sent now.
func (s *Sharer) due(now time.Time) map[string]Ask {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Ask)
	for customer, a := range s.accounts {
		if a.InUse() == 0 && now.Sub(a.lastUsed) > idleAfter {
			delete(s.accounts, customer)
			continue
		}
		a.cut(a.Excess(now, s.Terms.Hold))
		isShort := a.waiting > 0
		if a.asking || now.Sub(a.lastAsk) < leastAskPause || !isShort && now.Sub(a.lastAsk) < s.renewEvery() {
			continue
		}
		if want, ok := a.want(now); ok {
			a.asking = true
			out[customer] = a.Ask(s.Incarnation, want, now)
		}
	}
	return out
}

// cut makes n requests end, counting those that were cut before.
func (a *account) cut(n int) {
	for _, runs := range a.running {
		if !runs {
			n--
		}
	}
	for c, runs := range a.running {
		if n <= 0 {
			return
		}
		if runs {
			close(c)
			a.running[c] = false
			n--
		}
	}
}

// want returns what the instance wants of the contract from now on. It reports
// false if it needs no lease and has none.
func (a *account) want(now time.Time) (Amount, bool) {
	passed := max(now.Sub(a.lastAsk), leastAskPause).Seconds()
	used := float64(a.taken) / passed
	a.rate = max(used, (a.rate+used)/2)
	w := Amount{Concurrency: a.InUse() + a.waiting, Rate: rateHeadroom * a.rate}
	w.Rate += float64(a.waiting) // those who wait should run within a second
	a.waiting, a.taken, a.lastAsk = 0, 0, now
	base := a.Limits.Base()
	needs := w.Concurrency > base.Concurrency && a.Limits.Concurrency > 0 || w.Rate > base.Rate && a.Limits.Rate > 0
	return w, needs || a.leased != Amount{}
}

func (s *Sharer) ask(ctx context.Context, customer string, ask Ask) {
	lent, valid, err := s.sendAsk(ctx, customer, ask)
	s.mu.Lock()
	a := s.accounts[customer]
	if a == nil {
		s.mu.Unlock()
		return
	}
	a.asking = false
	if err == nil {
		a.Grant(ask.Sequence, lent, valid)
	}
	s.mu.Unlock()
	if err == nil && s.OnMore != nil {
		s.OnMore()
	}
}

func (s *Sharer) sendAsk(ctx context.Context, customer string, ask Ask) (Amount, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	home := s.Home(customer)
	if home.Self {
		return s.Lend(ctx, customer, ask), s.Terms.Lease, nil
	}
	return s.Send(ctx, home.Instance, customer, ask)
}

// Lend decides on a borrower's request. It lends nothing unless this instance
// is the customer's home for certain.
func (s *Sharer) Lend(ctx context.Context, customer string, ask Ask) Amount {
	asOf := s.Current(ctx)
	home := s.Home(customer)
	if !home.Self {
		return Amount{}
	}
	limits := s.Limits(customer)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	term := s.termLocked(folder.ShardOf(customer), home.Claim, now)
	term.AsOf = asOf
	l := s.lenders[customer]
	if l == nil {
		if s.lenders == nil {
			s.lenders = make(map[string]*Lender)
		}
		l = &Lender{}
		s.lenders[customer] = l
	}
	return l.Lend(ask, limits, term, s.Terms, now)
}

// termLocked returns the term of a claim. A claim that was not seen being
// read back counts as read back now.
func (s *Sharer) termLocked(shard uint32, claim folder.Position, now time.Time) Term {
	t, ok := s.terms[shard]
	if !ok || t.claim != claim {
		t = claimedTerm{Term{Since: now}, claim}
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

// OnEvents takes over the claims of this instance.
func (s *Sharer) OnEvents(events []folder.Event) {
	for _, e := range events {
		c := e.Record.GetClaim()
		if c == nil || !e.Counted || c.GetIncarnation() != s.Incarnation {
			continue
		}
		s.mu.Lock()
		s.setTermLocked(c.GetShard(), claimedTerm{Term{First: c.GetSupersedes() == 0, Since: time.Now()}, e.Position})
		s.mu.Unlock()
	}
}
