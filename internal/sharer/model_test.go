package sharer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// model is a model of instances that share one contract: each has its own clock,
// may be paused, and may receive messages and claims late or never.
type model struct {
	timing   Timing
	limits   Limits
	now      time.Time // true time
	claims   []int     // the log: indexes of the nodes that claimed the shard, in order
	nodes    []*node
	messages []message

	// Mechanisms that the negative tests switch off.
	noTakeoverWait, noConfirmation, noOverrun, noSequence bool
}

type node struct {
	name          string
	clockRate     float64
	isPaused      bool
	isCutOff      bool // cannot read the log
	numClaimsRead int
	term          Term
	lender        Lender
	borrower      Borrower
	requestEnds   []time.Time // of the running requests
}

type message struct {
	from, to int
	request  LeaseRequest
	isReply  bool
	lent     Amount
}

var modelTiming = Timing{LeaseDuration: 2 * time.Second, MaxClaimAge: 2 * time.Second, MaxOverrun: 5 * time.Second, ClockDrift: 0.05}

func newModel(limits Limits) *model {
	m := &model{timing: modelTiming, limits: limits, now: time.Unix(1000, 0)}
	for i := range limits.MaxEntries {
		m.nodes = append(m.nodes, &node{
			name: fmt.Sprint(i), clockRate: 0.98 + 0.04*float64(i)/float64(limits.MaxEntries), borrower: Borrower{Limits: limits},
		})
	}
	return m
}

// clock returns the time of the node's clock, which measures durations only.
func (m *model) clock(n *node) time.Time {
	return time.Unix(0, int64(n.clockRate*float64(m.now.UnixNano())))
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, n := range m.nodes {
		var remaining []time.Time
		for _, e := range n.requestEnds {
			if e.After(m.now) {
				remaining = append(remaining, e)
			} else {
				n.borrower.Release()
			}
		}
		n.requestEnds = remaining
	}
}

// step takes one random action.
func (m *model) step(rnd func(n int) int) {
	i := rnd(len(m.nodes))
	n := m.nodes[i]
	if rnd(300) == 0 && n.numClaimsRead == len(m.claims) && !n.isPaused && !n.isCutOff {
		m.claim(i)
		return
	}
	if rnd(50) == 0 {
		n.isPaused = !n.isPaused
	}
	if rnd(80) == 0 {
		n.isCutOff = !n.isCutOff
	}
	switch kind := rnd(20); {
	case kind < 3:
		m.advance(time.Duration(rnd(400)) * time.Millisecond)
	case kind < 9 && len(m.messages) > 0:
		m.deliver(rnd(len(m.messages)), rnd(10) == 0)
	case n.isPaused:
	case kind < 12:
		for range 1 + rnd(m.limits.Concurrency) {
			m.start(n, time.Duration(1+rnd(int(m.timing.MaxOverrun/time.Millisecond)))*time.Millisecond)
		}
	case kind < 15 && n.numClaimsRead > 0:
		want := Amount{rnd(m.limits.Concurrency + 1), float64(rnd(int(m.limits.Rate) + 1))}
		m.messages = append(m.messages, message{from: i, to: m.home(n), request: n.borrower.NextRequest(n.name, want, m.clock(n))})
	default:
		m.read(n)
	}
}

// home returns the index of the node that holds the shard in the node's state.
func (m *model) home(n *node) int {
	if n.numClaimsRead == 0 {
		return -1
	}
	return m.claims[n.numClaimsRead-1]
}

func (m *model) start(n *node, duration time.Duration) {
	if n.borrower.HasUnit(m.clock(n)) {
		n.borrower.Acquire(m.clock(n))
		n.requestEnds = append(n.requestEnds, m.now.Add(duration))
	}
}

func (m *model) read(n *node) {
	if n.isCutOff {
		return
	}
	n.numClaimsRead = len(m.claims)
	n.term.ConfirmedAt = m.clock(n)
}

func (m *model) claim(i int) {
	n := m.nodes[i]
	n.term.IsFirst = len(m.claims) == 0 || m.noTakeoverWait
	n.term.ClaimReadAt = m.clock(n)
	m.claims = append(m.claims, i)
	m.read(n)
}

// deliver delivers a message, or drops it.
func (m *model) deliver(k int, isLost bool) {
	msg := m.messages[k]
	to := m.nodes[msg.to]
	if to.isPaused {
		return
	}
	m.messages = append(m.messages[:k:k], m.messages[k+1:]...)
	if isLost {
		return
	}
	if msg.isReply {
		to.borrower.ApplyGrant(msg.request.Sequence, msg.lent, m.timing.LeaseDuration)
		return
	}
	term, timing := to.term, m.timing
	if m.home(to) != msg.to {
		return
	}
	if m.noConfirmation {
		term.ConfirmedAt = m.clock(to)
	}
	if m.noOverrun {
		timing.MaxOverrun = 0
	}
	if m.noSequence {
		if l, ok := to.lender.loans[msg.request.Borrower]; ok {
			l.sequence = 0
			to.lender.loans[msg.request.Borrower] = l
		}
	}
	lent := to.lender.Lend(msg.request, m.limits, term, timing, m.clock(to))
	m.messages = append(m.messages, message{from: msg.to, to: msg.from, request: msg.request, isReply: true, lent: lent})
}

// total returns the number of running requests and the current rate, over all
// instances.
func (m *model) total() Amount {
	var sum Amount
	for _, n := range m.nodes {
		sum.Concurrency += n.borrower.InUse()
		sum.Rate += n.borrower.Share(m.clock(n)).Rate
	}
	return sum
}

func (m *model) isWithin() bool {
	s := m.total()
	return s.Concurrency <= m.limits.Concurrency && s.Rate <= m.limits.Rate+1e-6
}

var modelLimits = Limits{Amount: Amount{40, 50}, MaxEntries: 4}

// TestTotalStaysWithinContract checks that the total never exceeds the contract
// despite partitions, lost, late and reordered messages, home changes and pauses.
func TestTotalStaysWithinContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := modelLimits
		limits.Concurrency = rapid.IntRange(1, 60).Draw(t, "concurrency")
		m := newModel(limits)
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 2000 {
			m.step(rng.IntN)
			require.True(t, m.isWithin(), "total %+v exceeds %+v", m.total(), limits.Amount)
		}
	})
}

// TestTotalStaysWithinContractNegative checks that each mechanism is necessary:
// without it the same model exceeds the contract.
func TestTotalStaysWithinContractNegative(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disable  func(*model)
		isWithin bool
	}{
		{"all mechanisms", func(*model) {}, true},
		{"a new home does not wait", func(m *model) { m.noTakeoverWait = true }, false},
		{"a superseded home keeps lending", func(m *model) { m.noConfirmation = true }, false},
		{"running requests do not count after the lease", func(m *model) { m.noOverrun = true }, false},
		{"requests are processed out of order", func(m *model) { m.noSequence = true }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			numExceeded := 0
			for seed := range uint64(200) {
				m := newModel(modelLimits)
				tc.disable(m)
				rng := rand.New(rand.NewPCG(seed, 2))
				for range 2000 {
					m.step(rng.IntN)
					if !m.isWithin() {
						numExceeded++
						break
					}
				}
			}
			t.Logf("%d of 200 seeds exceed the contract", numExceeded)
			require.Equal(t, tc.isWithin, numExceeded == 0)
		})
	}
}

// TestModelUsesContract checks that the model does not stay within the contract
// by lending nothing.
func TestModelUsesContract(t *testing.T) {
	maxConcurrency := 0
	for seed := range uint64(20) {
		m := newModel(modelLimits)
		rng := rand.New(rand.NewPCG(seed, 1))
		for range 2000 {
			m.step(rng.IntN)
			maxConcurrency = max(maxConcurrency, m.total().Concurrency)
		}
	}
	require.Greater(t, maxConcurrency, modelLimits.Concurrency*3/4)
}

// TestUsableConcurrency measures the usable fraction of the concurrency, by the
// instances that have load and by the fraction that is used as base shares.
func TestUsableConcurrency(t *testing.T) {
	const entries = 7
	for _, tc := range []struct {
		name              string
		load              []int // instances with load
		isHomeUnreachable bool
		minUsable         float64
	}{
		{"all at one instance", []int{3}, false, 0.75},
		{"at two instances", []int{3, 4}, false, 0.75},
		{"at all instances", []int{0, 1, 2, 3, 4, 5, 6}, false, 0.99},
		{"at all instances, home unreachable", []int{0, 1, 2, 3, 4, 5, 6}, true, 0.15},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, divisor := range []int{1, 2, 4, 8} {
				limits := Limits{Amount: Amount{100, 500}, MaxEntries: entries, Divisor: divisor}
				m := newModel(limits)
				m.claim(0)
				usable := 0.0
				const rounds, warm = 20, 10
				for round := range rounds {
					for _, i := range tc.load {
						n := m.nodes[i]
						m.read(m.nodes[0])
						msg := message{from: i, request: n.borrower.NextRequest(n.name, Amount{100, 500}, m.clock(n))}
						if !tc.isHomeUnreachable {
							m.messages = []message{msg}
							m.deliver(0, false)
							m.deliver(0, false)
						}
						for n.borrower.HasUnit(m.clock(n)) {
							m.start(n, 400*time.Millisecond)
						}
					}
					if round >= warm {
						usable += float64(m.total().Concurrency) / 100 / (rounds - warm)
					}
					m.advance(200 * time.Millisecond)
				}
				t.Logf("base shares 1/%d of the contract: %.0f%% usable", divisor, 100*usable)
				if divisor == BaseDivisor {
					require.GreaterOrEqual(t, usable, tc.minUsable)
				}
			}
		})
	}
}

// TestContractWithFewerUnitsThanInstances checks that every instance can use the
// contract by leases.
func TestContractWithFewerUnitsThanInstances(t *testing.T) {
	limits := Limits{Amount: Amount{2, 1}, MaxEntries: 8}
	require.Zero(t, limits.BaseShare().Concurrency)
	require.Equal(t, 2, limits.Pool().Concurrency)
	m := newModel(limits)
	m.claim(0)
	for i, n := range m.nodes {
		m.read(m.nodes[0])
		require.False(t, n.borrower.HasUnit(m.clock(n)))
		m.messages = []message{{from: i, request: n.borrower.NextRequest(n.name, Amount{Concurrency: 1}, m.clock(n))}}
		m.deliver(0, false)
		m.deliver(0, false)
		require.True(t, n.borrower.HasUnit(m.clock(n)))
		m.messages = []message{{from: i, request: n.borrower.NextRequest(n.name, Amount{}, m.clock(n))}}
		m.deliver(0, false)
	}
}

// TestBorrowerRate checks the rate of one instance with and without a lease.
func TestBorrowerRate(t *testing.T) {
	now := time.Unix(1000, 0)
	b := Borrower{Limits: Limits{Amount: Amount{Rate: 80}, MaxEntries: 2}} // base share 10 a second
	served := 0
	for range 10_000 {
		if b.RateDelay(now) == 0 {
			b.Acquire(now)
			served++
		}
		now = now.Add(time.Millisecond)
	}
	require.InDelta(t, 10*10+10, served, 2)
	req := b.NextRequest("self", Amount{Rate: 80}, now)
	require.InDelta(t, 60, req.Want.Rate, 1e-9)
	b.ApplyGrant(req.Sequence, Amount{Rate: 60}, time.Second)
	require.InDelta(t, 70, b.Share(now).Rate, 1e-9)
	require.InDelta(t, 10, b.Share(now.Add(time.Second)).Rate, 1e-9)
	var none Borrower
	require.Zero(t, none.RateDelay(now))
	require.True(t, none.HasUnit(now))
}
