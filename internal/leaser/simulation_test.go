package leaser

import (
	"fmt"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

const (
	// simulatedOrderLatency is the latency of an order that was sent just before its
	// sender was paused.
	simulatedOrderLatency = 400 * time.Millisecond
	// minOrderSeparation is the least time between the orders of two instances.
	minOrderSeparation = 3 * time.Second
	// convergenceTime is the time after the last fault within which an instance must
	// be able to send orders: a lease that is held when the log is restored, one more
	// that a claim in flight may begin, and the gap.
	convergenceTime = 20 * time.Second
)

// simulatedLog is the lease topic. A restore drops its last claims.
type simulatedLog struct {
	era    int64
	claims []Claim
}

func (l *simulatedLog) end() sequencer.Position {
	return sequencer.Position{Era: l.era, Offset: int64(len(l.claims))}
}

// append appends a claim if the topic ends at its offset. Like the platform's log, it
// does not check the era.
func (l *simulatedLog) append(c Claim) bool {
	if c.Offset != int64(len(l.claims)) {
		return false
	}
	l.claims = append(l.claims, c)
	return true
}

// readResponse is a response to a read that has not reached its instance yet.
type readResponse struct {
	claim Claim
	end   sequencer.Position
}

// simulatedInstance is one run of an instance.
type simulatedInstance struct {
	*State
	name          string
	end           sequencer.Position // of the topic, as last read
	hasRead       bool
	unknownSentAt time.Duration // when the first claim without a response was sent, 0 for none
	late          []readResponse
}

// leaseSimulation runs the states of several instances on one log, with pauses,
// restarts, lost and late responses, releases and restores.
type leaseSimulation struct {
	timing              Timing
	comparesOnlyOffsets bool // positions have no era, as before restores were possible
	log                 simulatedLog
	now                 time.Duration
	instances           []*simulatedInstance
	numRuns             int
	lastOrderAt         time.Duration
	lastHolder          string
	lastToken           int64
	violation           string
}

func newLeaseSimulation(timing Timing, numInstances int) *leaseSimulation {
	s := &leaseSimulation{timing: timing, log: simulatedLog{era: sequencer.FirstEra}}
	for n := range numInstances {
		s.instances = append(s.instances, &simulatedInstance{name: string(rune('a' + n))})
		s.start(n)
	}
	return s
}

// start replaces the run of an instance.
func (s *leaseSimulation) start(n int) {
	s.numRuns++
	name := s.instances[n].name
	s.instances[n] = &simulatedInstance{name: name, State: &State{Timing: s.timing, Incarnation: fmt.Sprint(name, s.numRuns)}}
}

func (s *leaseSimulation) run(draw func(least, most int, label string) int) {
	for range draw(100, 600, "steps") {
		s.now += time.Duration(draw(20, 700, "ms")) * time.Millisecond
		n := draw(0, len(s.instances)-1, "instance")
		i := s.instances[n]
		switch draw(0, 12, "step") {
		case 0:
			s.start(n)
		case 1, 2, 3:
			s.deliver(i, s.read())
		case 4:
			i.late = append(i.late, s.read())
		case 5:
			for _, r := range i.late {
				s.deliver(i, r)
			}
			i.late = nil
		case 6, 7:
			s.claim(i, draw(0, 1, "answered") == 1)
		case 8:
			s.release(i)
		case 9:
			if draw(0, 9, "restore") == 0 {
				s.log.claims = s.log.claims[:len(s.log.claims)-min(len(s.log.claims), draw(0, 5, "lost"))]
				s.log.era++
			}
		default:
			s.order(i)
		}
		if s.violation != "" {
			return
		}
	}
	s.converge()
}

// converge lets all instances act without faults and checks that one of them may
// send orders in time.
func (s *leaseSimulation) converge() {
	const interval = 100 * time.Millisecond
	for limit := s.now + convergenceTime; s.now < limit; s.now += interval {
		for _, i := range s.instances {
			s.deliver(i, s.read())
			s.claim(i, true)
			if s.order(i); s.violation != "" {
				return
			}
			if i.CanOrder(s.now) {
				return
			}
		}
	}
	s.violation = fmt.Sprintf("no instance may send orders %v after the last fault", convergenceTime)
}

func (s *leaseSimulation) read() readResponse {
	r := readResponse{end: s.log.end()}
	if n := len(s.log.claims); n > 0 {
		r.claim = s.log.claims[n-1]
	}
	return r
}

func (s *leaseSimulation) deliver(i *simulatedInstance, r readResponse) {
	if s.comparesOnlyOffsets {
		r.end.Era, r.claim.Era = 0, 0
	}
	i.ObserveEra(r.end.Era, s.now)
	if r.end.Era >= i.end.Era {
		i.end, i.hasRead = r.end, true
	}
	if r.claim.IsZero() {
		return
	}
	sentAt := s.now
	if i.unknownSentAt != 0 {
		sentAt = i.unknownSentAt
	}
	i.Observe(r.claim, r.end.Era, s.now, sentAt)
	if i.IsHolder() {
		i.unknownSentAt = 0
	}
}

// claim claims the lease under the conditions under which a Lease does.
func (s *leaseSimulation) claim(i *simulatedInstance, isAnswered bool) {
	newest := i.Newest()
	isOwnEarlier := newest.Holder == i.name && newest.Incarnation != i.Incarnation && !i.MayMissClaims()
	isRenewal := i.IsHolder() && (!i.MayMissClaims() || i.CanClaim(s.now))
	isFree := !i.IsHolder() && i.CanClaim(s.now)
	if !i.hasRead || !isOwnEarlier && !isRenewal && !isFree {
		return
	}
	c := Claim{Position: i.end, Holder: i.name, Incarnation: i.Incarnation, FirstOrderDelay: i.FirstOrderDelay(i.name, s.now)}
	isAppended := s.log.append(c)
	switch {
	case isAnswered && isAppended && (s.comparesOnlyOffsets || c.Era == s.log.era):
		i.RecordAcquired(c, s.now, s.now+20*time.Millisecond)
		i.end = c.Next()
	case isAnswered && !isAppended:
		i.hasRead = false // reads again before its next claim
		fallthrough
	default:
		if i.unknownSentAt == 0 {
			i.unknownSentAt = s.now
		}
	}
}

func (s *leaseSimulation) release(i *simulatedInstance) {
	if !i.IsHolder() {
		return
	}
	c := Claim{
		Position: i.Newest().Next(), Holder: i.name, Incarnation: i.Incarnation, IsReleased: true,
		FirstOrderDelay: max(0, i.firstOrderAt-s.now),
	}
	s.log.append(c)
	i.newest.IsReleased = true
}

func (s *leaseSimulation) order(i *simulatedInstance) {
	if !i.CanOrder(s.now) {
		return
	}
	token := i.Newest().Token()
	isOther := s.lastHolder != "" && s.lastHolder != i.name
	switch {
	case isOther && s.now-s.lastOrderAt < minOrderSeparation-simulatedOrderLatency:
		s.violation = fmt.Sprintf("%s sent an order at %v, %s at %v", i.name, s.now, s.lastHolder, s.lastOrderAt)
	case isOther && token <= s.lastToken, token < s.lastToken:
		s.violation = fmt.Sprintf("%s sent an order with token %d after %s with token %d", i.name, token, s.lastHolder, s.lastToken)
	}
	s.lastOrderAt, s.lastHolder, s.lastToken = s.now, i.name, token
}
