package admitter

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Admitter admits requests. Begin and Changed must be set before use.
type Admitter struct {
	// Table holds the limits of the queues and the waiting requests.
	Table Table
	// Begin counts a request on an upstream until the returned function is called.
	Begin func(upstream string) func()
	// Changed returns two channels. One of them is closed when candidates change.
	Changed func() (state, load <-chan struct{})
	// Units, if set, limits the running requests of each customer.
	Units Units

	mu             sync.Mutex
	candidates     map[string]func(time.Time) []router.Candidate // by target with waiting requests
	lastCandidates map[string][]router.Candidate                 // latest results of candidates
	outOfUnits     map[string]bool                               // customers without a unit in the latest round
	isGranting     bool
	wakeup         chan struct{}
}

// Units counts the running requests of each customer. A running request holds one
// unit of its customer's contract.
type Units interface {
	// HasUnit reports whether the customer may run one more request.
	HasUnit(customer string) bool
	// Acquire acquires a unit; the returned function releases it. The channel
	// revoked is closed if the request must end before it releases the unit.
	Acquire(customer string, revoked chan<- struct{}) (release func())
	// ReportWaiting reports that n requests of the customer wait for a unit.
	ReportWaiting(customer string, n int)
}

// Source provides the candidates of a request.
type Source struct {
	// Candidates returns the upstreams of the target. All requests of a target
	// have the same ones.
	Candidates func(now time.Time) []router.Candidate
	// Choose returns the index of the candidate for the request, or -1 for none.
	Choose func([]router.Candidate) int
}

// Grant is a slot of an upstream. Done must be called.
type Grant struct {
	router.Candidate

	done    func()
	revoked <-chan struct{}
}

// ErrRevoked ends an attempt whose unit was revoked.
var ErrRevoked = errors.New("the contract no longer covers the request")

// OnRevoked calls f if the unit of the request is revoked, until the returned
// function is called.
func (g Grant) OnRevoked(f func()) (stop func()) {
	if g.revoked == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-g.revoked:
			f()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// Done releases the slot. Calls after the first do nothing.
func (g Grant) Done() {
	if g.done != nil {
		g.done()
	}
}

// decision is a grant or a refusal.
type decision struct {
	grant   Grant
	refused *RefusedRequest
}

// Admit waits until the request gets a slot of one of its candidates. The
// error is a verdict.Refusal, returned at the deadline of the request at the
// latest.
func (a *Admitter) Admit(ctx context.Context, req Request, src Source) (Grant, error) {
	w, d := a.enqueue(req, src)
	if w == nil {
		return d.result()
	}
	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case d := <-w.decided:
		return d.result()
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return a.cancelWait(w, func(now time.Time) *RefusedRequest { return a.expireLocked(w, now) })
		}
		return a.cancelWait(w, func(time.Time) *RefusedRequest {
			if !a.Table.Remove(w) {
				return nil
			}
			return &RefusedRequest{w, verdict.Refuse(verdict.ReasonCanceled, 0, "caller went away")}
		})
	case <-timer.C:
		return a.cancelWait(w, func(now time.Time) *RefusedRequest { return a.expireLocked(w, now) })
	}
}

func (a *Admitter) expireLocked(w *Waiter, now time.Time) *RefusedRequest {
	if a.outOfUnits[w.Customer] {
		return a.Table.Expire(w, now, verdict.ReasonContractLimit)
	}
	return a.Table.Expire(w, now, verdict.ReasonDeadline)
}

func (d decision) result() (Grant, error) {
	if d.refused != nil {
		return Grant{}, d.refused.Refusal
	}
	return d.grant, nil
}

// Waiting returns the number of waiting requests.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Table.Waiting()
}

// enqueue grants or refuses the request at once, or returns a waiter for it.
func (a *Admitter) enqueue(req Request, src Source) (*Waiter, decision) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	list := src.Candidates(now)
	if !a.hasCompetitor(req.Target, list) {
		if i := src.Choose(list); i >= 0 && req.Deadline.After(now) && a.hasUnit(req.Customer) {
			return nil, decision{grant: a.grantLocked(req, list[i])}
		}
	}
	w, out := a.Table.Enqueue(req, totalSlots(list), now)
	if out != nil && out.Waiter == w {
		return nil, decision{refused: out}
	}
	w.decided, w.choose = make(chan decision, 1), src.Choose
	if out != nil {
		out.Waiter.decided <- decision{refused: out}
	}
	if a.candidates == nil {
		a.candidates = make(map[string]func(time.Time) []router.Candidate)
		a.lastCandidates = make(map[string][]router.Candidate)
		a.wakeup = make(chan struct{}, 1)
	}
	a.candidates[req.Target] = src.Candidates
	a.lastCandidates[req.Target] = list
	if !a.isGranting {
		a.isGranting = true
		go a.grantLoop()
	}
	a.wakeLocked()
	return w, decision{}
}

// hasCompetitor reports whether a waiting request may use one of the candidates,
// in which case a new request must not overtake it.
func (a *Admitter) hasCompetitor(target string, list []router.Candidate) bool {
	if a.Table.Waiting() == 0 {
		return false
	}
	for other, lastCandidates := range a.lastCandidates {
		if other == target {
			return true
		}
		for _, c := range lastCandidates {
			if slices.ContainsFunc(list, func(o router.Candidate) bool { return o.Upstream == c.Upstream }) {
				return true
			}
		}
	}
	return false
}

func (a *Admitter) cancelWait(w *Waiter, remove func(time.Time) *RefusedRequest) (Grant, error) {
	a.mu.Lock()
	out := remove(time.Now())
	a.wakeLocked()
	a.mu.Unlock()
	if out == nil {
		return (<-w.decided).result() // decided concurrently
	}
	return decision{refused: out}.result()
}

// Wake starts another grant round, for instance after a customer got more units.
func (a *Admitter) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeLocked()
}

func (a *Admitter) wakeLocked() {
	if a.wakeup == nil {
		return
	}
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// grantLoop grants free slots until no request waits.
func (a *Admitter) grantLoop() {
	for {
		state, load := a.Changed()
		if !a.grantRound() {
			return
		}
		select {
		case <-state:
		case <-load:
		case <-a.wakeup:
		}
	}
}

// grantRound grants the free slots and reports whether requests still wait.
func (a *Admitter) grantRound() bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for target, candidates := range a.candidates {
		q := a.Table.waitingQueues[target]
		if q == nil {
			delete(a.candidates, target)
			delete(a.lastCandidates, target)
			continue
		}
		a.lastCandidates[target] = candidates(now)
		q.slots = totalSlots(a.lastCandidates[target])
	}
	a.grantAllLocked()
	a.isGranting = a.Table.Waiting() > 0
	return a.isGranting
}

func (a *Admitter) grantAllLocked() {
	skipped := make(map[*Waiter]bool)
	outOfUnits := make(map[string]bool)
	for _, up := range a.freeUpstreams() {
		filter := SlotFilter{Skipped: skipped, Allows: func(target, customer string) bool {
			return !outOfUnits[customer] && hasFreeSlot(a.lastCandidates[target], up)
		}}
		for {
			w := a.Table.Pick(up, filter)
			if w == nil {
				break
			}
			list := a.lastCandidates[w.Target]
			i := w.choose(list)
			switch {
			case !a.hasUnit(w.Customer):
				outOfUnits[w.Customer] = true
			case i < 0:
				skipped[w] = true
			default:
				a.Table.Grant(w, list[i].Upstream)
				w.decided <- decision{grant: a.grantLocked(w.Request, list[i])}
				a.addLoad(list[i].Upstream)
			}
		}
	}
	a.outOfUnits = outOfUnits
	for customer := range outOfUnits {
		a.Units.ReportWaiting(customer, a.Table.WaitingOf(customer))
	}
}

func (a *Admitter) hasUnit(customer string) bool {
	return a.Units == nil || a.Units.HasUnit(customer)
}

// freeUpstreams returns the upstreams with free slots, those with most free
// slots first.
func (a *Admitter) freeUpstreams() []string {
	room := make(map[string]int)
	for _, list := range a.lastCandidates {
		for _, c := range list {
			if c.Load < c.Slots {
				room[c.Upstream] = max(room[c.Upstream], c.Slots-c.Load)
			}
		}
	}
	out := make([]string, 0, len(room))
	for up := range room {
		out = append(out, up)
	}
	slices.SortFunc(out, func(x, y string) int {
		return cmp.Or(cmp.Compare(room[y], room[x]), cmp.Compare(x, y))
	})
	return out
}

// addLoad counts a grant in the candidates of this round.
func (a *Admitter) addLoad(upstream string) {
	for _, list := range a.lastCandidates {
		for i := range list {
			if list[i].Upstream == upstream {
				list[i].Load++
			}
		}
	}
}

func (a *Admitter) grantLocked(req Request, c router.Candidate) Grant {
	end := a.Begin(c.Upstream)
	release := func() {}
	var revoked chan struct{}
	if a.Units != nil {
		revoked = make(chan struct{})
		release = a.Units.Acquire(req.Customer, revoked)
	}
	start := time.Now()
	var once sync.Once
	return Grant{Candidate: c, revoked: revoked, done: func() {
		once.Do(func() {
			a.mu.Lock()
			a.Table.RecordService(req.Target, time.Since(start))
			release()
			a.mu.Unlock()
			end()
		})
	}}
}

func hasFreeSlot(list []router.Candidate, upstream string) bool {
	return slices.ContainsFunc(list, func(c router.Candidate) bool { return c.Upstream == upstream && c.Load < c.Slots })
}

func totalSlots(list []router.Candidate) int {
	n := 0
	for _, c := range list {
		n += c.Slots
	}
	return n
}
