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
	// Table holds the bounds of the queues.
	Table Table
	// Begin counts a request on an upstream until the returned function is called.
	Begin func(upstream string) func()
	// Changed returns channels of which one is closed when candidates change.
	Changed func() (state, load <-chan struct{})
	// Units, if set, bounds what runs for each customer.
	Units Units

	mu      sync.Mutex
	cands   map[string]func(time.Time) []router.Candidate // by target, of those that wait
	last    map[string][]router.Candidate                 // what cands last returned
	short   map[string]bool                               // customers without a unit, as last seen
	pumping bool
	kick    chan struct{}
}

// Units counts what runs for each customer.
type Units interface {
	// HasUnit reports whether the customer may run one more request.
	HasUnit(customer string) bool
	// Take takes a unit until the returned function is called. It closes the
	// channel if the request must end before.
	Take(customer string, cut chan<- struct{}) (give func())
	// Want says how many requests of the customer wait for a unit.
	Want(customer string, n int)
}

// Source is where a request may get its slot.
type Source struct {
	// Candidates returns the upstreams of the target. It is the same for all
	// requests of a target.
	Candidates func(now time.Time) []router.Candidate
	// Choose returns the index of the request's choice, or -1 for none.
	Choose func([]router.Candidate) int
}

// Grant is a slot of an upstream. Done must be called.
type Grant struct {
	router.Candidate

	done func()
	cut  <-chan struct{}
}

// ErrCut ends an attempt that the contract no longer covers.
var ErrCut = errors.New("the contract no longer covers the request")

// OnCut calls f if the attempt must end, until the returned function is called.
func (g Grant) OnCut(f func()) (stop func()) {
	if g.cut == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-g.cut:
			f()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// Done gives the slot back. Calls after the first do nothing.
func (g Grant) Done() {
	if g.done != nil {
		g.done()
	}
}

// answer is the verdict on a request: a grant or a refusal.
type answer struct {
	grant   Grant
	refused *Refused
}

// Admit waits until the request gets a slot of one of its candidates. The
// error is a verdict.Refusal, which comes at the request's deadline at the
// latest.
func (a *Admitter) Admit(ctx context.Context, req Request, src Source) (Grant, error) {
	w, early := a.join(req, src)
	if w == nil {
		return early.result()
	}
	timer := time.NewTimer(time.Until(req.Deadline))
	defer timer.Stop()
	select {
	case ans := <-w.answer:
		return ans.result()
	case <-ctx.Done():
		return a.leave(w, func(time.Time) *Refused {
			if !a.Table.Leave(w) {
				return nil
			}
			return &Refused{w, verdict.Refuse(verdict.ReasonCanceled, 0, "caller went away")}
		})
	case <-timer.C:
		return a.leave(w, func(now time.Time) *Refused {
			if a.short[w.Customer] {
				return a.Table.Expire(w, now, verdict.ReasonContractLimit)
			}
			return a.Table.Expire(w, now, verdict.ReasonDeadline)
		})
	}
}

func (s answer) result() (Grant, error) {
	if s.refused != nil {
		return Grant{}, s.refused.Refusal
	}
	return s.grant, nil
}

// Waiting returns how many requests wait.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Table.Waiting()
}

// join grants at once, refuses at once, or returns a waiter.
func (a *Admitter) join(req Request, src Source) (*Waiter, answer) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	list := src.Candidates(now)
	if !a.isWanted(req.Target, list) {
		if i := src.Choose(list); i >= 0 && req.Deadline.After(now) && a.hasUnit(req.Customer) {
			return nil, answer{grant: a.grantLocked(req, list[i])}
		}
	}
	w, out := a.Table.Join(req, slots(list), now)
	if out != nil && out.Waiter == w {
		return nil, answer{refused: out}
	}
	w.answer, w.choose = make(chan answer, 1), src.Choose
	if out != nil {
		out.Waiter.answer <- answer{refused: out}
	}
	if a.cands == nil {
		a.cands = make(map[string]func(time.Time) []router.Candidate)
		a.last = make(map[string][]router.Candidate)
		a.kick = make(chan struct{}, 1)
	}
	a.cands[req.Target] = src.Candidates
	a.last[req.Target] = list
	if !a.pumping {
		a.pumping = true
		go a.pump()
	}
	a.kickLocked()
	return w, answer{}
}

// isWanted reports whether a waiting request may use one of the candidates, so
// that a new request must not pass it by.
func (a *Admitter) isWanted(target string, list []router.Candidate) bool {
	if a.Table.Waiting() == 0 {
		return false
	}
	for other, last := range a.last {
		if other == target {
			return true
		}
		for _, c := range last {
			if slices.ContainsFunc(list, func(d router.Candidate) bool { return d.Upstream == c.Upstream }) {
				return true
			}
		}
	}
	return false
}

func (a *Admitter) leave(w *Waiter, take func(time.Time) *Refused) (Grant, error) {
	a.mu.Lock()
	out := take(time.Now())
	a.kickLocked()
	a.mu.Unlock()
	if out == nil {
		return (<-w.answer).result() // it was decided at the same moment
	}
	return answer{refused: out}.result()
}

// Wake makes the pump look again, after a customer got more units.
func (a *Admitter) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kickLocked()
}

func (a *Admitter) kickLocked() {
	if a.kick == nil {
		return
	}
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// pump turns free slots into grants while requests wait.
func (a *Admitter) pump() {
	for {
		state, load := a.Changed()
		if !a.round() {
			return
		}
		select {
		case <-state:
		case <-load:
		case <-a.kick:
		}
	}
}

// round grants what can be granted and reports whether requests still wait.
func (a *Admitter) round() bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for target, cands := range a.cands {
		l := a.Table.busy[target]
		if l == nil {
			delete(a.cands, target)
			delete(a.last, target)
			continue
		}
		a.last[target] = cands(now)
		l.slots = slots(a.last[target])
	}
	a.grantAllLocked()
	a.pumping = a.Table.Waiting() > 0
	return a.pumping
}

func (a *Admitter) grantAllLocked() {
	skip := make(map[*Waiter]bool)
	short := make(map[string]bool)
	for _, up := range a.free() {
		room := Room{Skip: skip, Serves: func(target, customer string) bool {
			return !short[customer] && hasRoom(a.last[target], up)
		}}
		for {
			w := a.Table.Pick(up, room)
			if w == nil {
				break
			}
			list := a.last[w.Target]
			i := w.choose(list)
			switch {
			case !a.hasUnit(w.Customer):
				short[w.Customer] = true
			case i < 0:
				skip[w] = true
			default:
				a.Table.Grant(w, list[i].Upstream)
				w.answer <- answer{grant: a.grantLocked(w.Request, list[i])}
				a.addLoad(list[i].Upstream)
			}
		}
	}
	a.short = short
	for customer := range short {
		a.Units.Want(customer, a.Table.WaitingOf(customer))
	}
}

func (a *Admitter) hasUnit(customer string) bool {
	return a.Units == nil || a.Units.HasUnit(customer)
}

// free returns the upstreams with room, those with most room first.
func (a *Admitter) free() []string {
	room := make(map[string]int)
	for _, list := range a.last {
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
	for _, list := range a.last {
		for i := range list {
			if list[i].Upstream == upstream {
				list[i].Load++
			}
		}
	}
}

func (a *Admitter) grantLocked(req Request, c router.Candidate) Grant {
	end := a.Begin(c.Upstream)
	give := func() {}
	var cut chan struct{}
	if a.Units != nil {
		cut = make(chan struct{})
		give = a.Units.Take(req.Customer, cut)
	}
	start := time.Now()
	var once sync.Once
	return Grant{Candidate: c, cut: cut, done: func() {
		once.Do(func() {
			a.mu.Lock()
			a.Table.Ended(req.Target, time.Since(start))
			give()
			a.mu.Unlock()
			end()
		})
	}}
}

func hasRoom(list []router.Candidate, upstream string) bool {
	return slices.ContainsFunc(list, func(c router.Candidate) bool { return c.Upstream == upstream && c.Load < c.Slots })
}

func slots(list []router.Candidate) int {
	n := 0
	for _, c := range list {
		n += c.Slots
	}
	return n
}
