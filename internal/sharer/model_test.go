package sharer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// world is a model of instances that share one contract: each has its own
// clock, may be paused, and hears of messages and claims late or never.
type world struct {
	terms    Terms
	limits   Limits
	now      time.Time // true time
	claims   []int     // the log: who claimed the shard, in order
	entries  []*node
	messages []message

	// Mechanisms that negatives switch off.
	noWait, noFresh, noHold, noOrder bool
}

type node struct {
	name     string
	rate     float64
	paused   bool
	deaf     bool // cut off from the log
	known    int  // claims read
	term     Term
	lender   Lender
	borrower Borrower
	ends     []time.Time // of what runs
}

type message struct {
	from, to int
	ask      Ask
	reply    bool
	lent     Amount
}

var modelTerms = Terms{Lease: 2 * time.Second, Fresh: 2 * time.Second, Hold: 5 * time.Second, Drift: 0.05}

func newWorld(limits Limits) *world {
	w := &world{terms: modelTerms, limits: limits, now: time.Unix(1000, 0)}
	for i := range limits.Entries {
		w.entries = append(w.entries, &node{
			name: fmt.Sprint(i), rate: 0.98 + 0.04*float64(i)/float64(limits.Entries), borrower: Borrower{Limits: limits},
		})
	}
	return w
}

// clock returns the time on the node's clock, which measures durations only.
func (w *world) clock(n *node) time.Time {
	return time.Unix(0, int64(n.rate*float64(w.now.UnixNano())))
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.entries {
		var left []time.Time
		for _, e := range n.ends {
			if e.After(w.now) {
				left = append(left, e)
			} else {
				n.borrower.Give()
			}
		}
		n.ends = left
	}
}

// step does one thing that rnd chooses.
func (w *world) step(rnd func(n int) int) {
	i := rnd(len(w.entries))
	n := w.entries[i]
	if rnd(300) == 0 && n.known == len(w.claims) && !n.paused && !n.deaf {
		w.claim(i)
		return
	}
	if rnd(50) == 0 {
		n.paused = !n.paused
	}
	if rnd(80) == 0 {
		n.deaf = !n.deaf
	}
	switch kind := rnd(20); {
	case kind < 3:
		w.advance(time.Duration(rnd(400)) * time.Millisecond)
	case kind < 9 && len(w.messages) > 0:
		w.deliver(rnd(len(w.messages)), rnd(10) == 0)
	case n.paused:
	case kind < 12:
		for range 1 + rnd(w.limits.Concurrency) {
			w.start(n, time.Duration(1+rnd(int(w.terms.Hold/time.Millisecond)))*time.Millisecond)
		}
	case kind < 15 && n.known > 0:
		want := Amount{rnd(w.limits.Concurrency + 1), float64(rnd(int(w.limits.Rate) + 1))}
		w.messages = append(w.messages, message{from: i, to: w.home(n), ask: n.borrower.Ask(n.name, want, w.clock(n))})
	default:
		w.read(n)
	}
}

// home returns who holds the shard as far as the node knows.
func (w *world) home(n *node) int {
	if n.known == 0 {
		return -1
	}
	return w.claims[n.known-1]
}

func (w *world) start(n *node, takes time.Duration) {
	if n.borrower.HasUnit(w.clock(n)) {
		n.borrower.Take(w.clock(n))
		n.ends = append(n.ends, w.now.Add(takes))
	}
}

func (w *world) read(n *node) {
	if n.deaf {
		return
	}
	n.known = len(w.claims)
	n.term.AsOf = w.clock(n)
}

func (w *world) claim(i int) {
	n := w.entries[i]
	n.term.First = len(w.claims) == 0 || w.noWait
	n.term.Since = w.clock(n)
	w.claims = append(w.claims, i)
	w.read(n)
}

// deliver brings a message over, or loses it.
func (w *world) deliver(k int, lose bool) {
	m := w.messages[k]
	to := w.entries[m.to]
	if to.paused {
		return
	}
	w.messages = append(w.messages[:k:k], w.messages[k+1:]...)
	if lose {
		return
	}
	if m.reply {
		to.borrower.Grant(m.ask.Sequence, m.lent, w.terms.Lease)
		return
	}
	term, terms := to.term, w.terms
	if w.home(to) != m.to {
		return
	}
	if w.noFresh {
		term.AsOf = w.clock(to)
	}
	if w.noHold {
		terms.Hold = 0
	}
	if w.noOrder {
		if l, ok := to.lender.loans[m.ask.Borrower]; ok {
			l.sequence = 0
			to.lender.loans[m.ask.Borrower] = l
		}
	}
	lent := to.lender.Lend(m.ask, w.limits, term, terms, w.clock(to))
	w.messages = append(w.messages, message{from: m.to, to: m.from, ask: m.ask, reply: true, lent: lent})
}

// sum returns what runs, and the rate in force, at all instances.
func (w *world) sum() Amount {
	var s Amount
	for _, n := range w.entries {
		s.Concurrency += n.borrower.InUse()
		s.Rate += n.borrower.Share(w.clock(n)).Rate
	}
	return s
}

func (w *world) isWithin() bool {
	s := w.sum()
	return s.Concurrency <= w.limits.Concurrency && s.Rate <= w.limits.Rate+1e-6
}

var modelLimits = Limits{Amount: Amount{40, 50}, Entries: 4}

// TestSumHolds checks that the sum never exceeds the contract, through
// partitions, lost, late and crossed messages, home changes and pauses.
func TestSumHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := modelLimits
		limits.Concurrency = rapid.IntRange(1, 60).Draw(t, "concurrency")
		w := newWorld(limits)
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 2000 {
			w.step(rng.IntN)
			require.True(t, w.isWithin(), "sum %+v exceeds %+v", w.sum(), limits.Amount)
		}
	})
}

// TestSumHoldsNegative shows what each mechanism is for: without it the same
// model exceeds the contract.
func TestSumHoldsNegative(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(*world)
		ok   bool
	}{
		{"all mechanisms", func(*world) {}, true},
		{"a new home does not wait", func(w *world) { w.noWait = true }, false},
		{"a superseded home goes on lending", func(w *world) { w.noFresh = true }, false},
		{"what runs is not counted after the lease", func(w *world) { w.noHold = true }, false},
		{"requests are obeyed out of order", func(w *world) { w.noOrder = true }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			exceeded := 0
			for seed := range uint64(200) {
				w := newWorld(modelLimits)
				tc.set(w)
				rng := rand.New(rand.NewPCG(seed, 2))
				for range 2000 {
					w.step(rng.IntN)
					if !w.isWithin() {
						exceeded++
						break
					}
				}
			}
			t.Logf("%d of 200 seeds exceed the contract", exceeded)
			require.Equal(t, tc.ok, exceeded == 0)
		})
	}
}

// TestModelLends checks that the model does not hold the sum by lending nothing.
func TestModelLends(t *testing.T) {
	most := 0
	for seed := range uint64(20) {
		w := newWorld(modelLimits)
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 2000 {
			w.step(rng.IntN)
			most = max(most, w.sum().Concurrency)
		}
	}
	require.Greater(t, most, modelLimits.Concurrency*3/4)
}

// TestUsable measures the part of the concurrency that can be used, by where
// the load is and by the part that is given out as base shares.
func TestUsable(t *testing.T) {
	const entries = 7
	for _, tc := range []struct {
		name string
		load []int // instances with load
		cut  bool  // from the home
		want float64
	}{
		{"all at one instance", []int{3}, false, 0.75},
		{"at two instances", []int{3, 4}, false, 0.75},
		{"at all instances", []int{0, 1, 2, 3, 4, 5, 6}, false, 0.99},
		{"at all, home out of reach", []int{0, 1, 2, 3, 4, 5, 6}, true, 0.15},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, divisor := range []int{1, 2, 4, 8} {
				limits := Limits{Amount: Amount{100, 500}, Entries: entries, Divisor: divisor}
				w := newWorld(limits)
				w.claim(0)
				usable := 0.0
				const rounds, warm = 20, 10
				for round := range rounds {
					for _, i := range tc.load {
						n := w.entries[i]
						w.read(w.entries[0])
						m := message{from: i, ask: n.borrower.Ask(n.name, Amount{100, 500}, w.clock(n))}
						if !tc.cut {
							w.messages = []message{m}
							w.deliver(0, false)
							w.deliver(0, false)
						}
						for n.borrower.HasUnit(w.clock(n)) {
							w.start(n, 400*time.Millisecond)
						}
					}
					if round >= warm {
						usable += float64(w.sum().Concurrency) / 100 / (rounds - warm)
					}
					w.advance(200 * time.Millisecond)
				}
				t.Logf("base shares 1/%d of the contract: %.0f%% usable", divisor, 100*usable)
				if divisor == BaseDivisor {
					require.GreaterOrEqual(t, usable, tc.want)
				}
			}
		})
	}
}

// TestSmallContract checks that a contract with fewer units than instances is
// usable at every instance, by leases only.
func TestSmallContract(t *testing.T) {
	limits := Limits{Amount: Amount{2, 1}, Entries: 8}
	require.Zero(t, limits.Base().Concurrency)
	require.Equal(t, 2, limits.Pool().Concurrency)
	w := newWorld(limits)
	w.claim(0)
	for i, n := range w.entries {
		w.read(w.entries[0])
		require.False(t, n.borrower.HasUnit(w.clock(n)))
		w.messages = []message{{from: i, ask: n.borrower.Ask(n.name, Amount{Concurrency: 1}, w.clock(n))}}
		w.deliver(0, false)
		w.deliver(0, false)
		require.True(t, n.borrower.HasUnit(w.clock(n)))
		w.messages = []message{{from: i, ask: n.borrower.Ask(n.name, Amount{}, w.clock(n))}}
		w.deliver(0, false)
	}
}

// TestRate checks the rate of one instance.
func TestRate(t *testing.T) {
	now := time.Unix(1000, 0)
	b := Borrower{Limits: Limits{Amount: Amount{Rate: 80}, Entries: 2}} // base share 10 a second
	served := 0
	for range 10_000 {
		if b.Wait(now) == 0 {
			b.Take(now)
			served++
		}
		now = now.Add(time.Millisecond)
	}
	require.InDelta(t, 10*10+10, served, 2)
	a := b.Ask("self", Amount{Rate: 80}, now)
	require.InDelta(t, 60, a.Want.Rate, 1e-9)
	b.Grant(a.Sequence, Amount{Rate: 60}, time.Second)
	require.InDelta(t, 70, b.Share(now).Rate, 1e-9)
	require.InDelta(t, 10, b.Share(now.Add(time.Second)).Rate, 1e-9)
	var none Borrower
	require.Zero(t, none.Wait(now))
	require.True(t, none.HasUnit(now))
}
