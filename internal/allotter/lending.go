package allotter

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/authenticator"
)

const (
	// substituteTime is how long a substitute lends after the request whose response showed
	// that it is the substitute, and substituteDelay how long an instance must have been the
	// substitute before it lends. The difference covers the loans of the former one.
	substituteTime  = 1500 * time.Millisecond
	substituteDelay = 3 * time.Second
)

// maxStepGap is the longest time between two steps of a conductor without an interruption.
// After a longer one it begins anew, as another instance may have been the conductor
// meanwhile.
const maxStepGap = 2 * time.Second

// Lending is the part that one instance has in lending: none, that of a deputy, that of
// the conductor, which also appoints the deputies, or that of the substitute for a conductor
// of an earlier build, which lends all parts. Its exported fields must be set.
type Lending struct {
	Self   Member
	Bounds Bounds

	lender       Lender
	appointer    Appointer
	term         Term
	appointments []Appointment
	isConductor  bool
	steppedAt    time.Duration

	isSubstitute    bool
	substituteSince time.Duration // 0 while another instance is the substitute
	substituteUntil time.Duration
}

// Step applies the lease, and appoints deputies among the members if the instance holds it. It
// must be called several times a second.
func (g *Lending) Step(l Lease, members []Member, now time.Duration) {
	if g.isConductor && (!l.IsHolder || now-g.steppedAt > maxStepGap) {
		g.Reset()
	}
	g.steppedAt = now
	g.lender.Bounds = g.Bounds
	if l.IsHolder && !g.isConductor {
		g.isConductor, g.isSubstitute, g.substituteSince = true, false, 0
		g.term.End()
		g.lender.Begin(1, now)
		g.appointer.Begin(l, now)
	}
	if g.isConductor {
		g.appointments = g.appointer.Update(g.Self, l, members, now)
		g.lender.SetParts(1+g.appointer.PartsOf(g.Self.Incarnation), now)
		return
	}
	if g.term.IsHeld(now) {
		return
	}
	canLend := g.substituteSince > 0 && now < g.substituteUntil && now-g.substituteSince >= substituteDelay
	if canLend && !g.isSubstitute {
		g.lender.Begin(NumParts, now)
	} else if !canLend {
		g.lender.SetParts(0, now)
	}
	g.isSubstitute = canLend
}

// SetSubstitute applies whether this instance is the substitute for a conductor of an earlier
// build, as the response to a request that was sent at sentAt shows it.
func (g *Lending) SetSubstitute(isSubstitute bool, sentAt, now time.Duration) {
	switch {
	case !isSubstitute:
		g.substituteSince, g.isSubstitute = 0, false
	case g.substituteSince == 0 || now >= g.substituteUntil:
		g.substituteSince, g.isSubstitute = now, false
	}
	g.substituteUntil = sentAt + substituteTime
}

// Reset ends the part that the instance has as the conductor. It must be called when the
// lease changes its holder.
func (g *Lending) Reset() {
	if !g.isConductor {
		return
	}
	g.isConductor, g.appointments = false, nil
	g.appointer.End()
	g.lender.Begin(0, 0)
}

// Observe applies the appointment that an instance reports to the conductor.
func (g *Lending) Observe(m Member, part int, valid, now time.Duration) {
	if g.isConductor {
		g.appointer.Observe(m, part, valid, now)
	}
}

// Appointments returns the appointments as the conductor tells them to an instance's
// process: for how long they hold if they are its own, and 0 otherwise.
func (g *Lending) Appointments(incarnation string, now time.Duration) ([]Appointment, []time.Duration) {
	if !g.isConductor {
		return nil, nil
	}
	valid := make([]time.Duration, len(g.appointments))
	for i, x := range g.appointments {
		if x.Incarnation == incarnation {
			valid[i] = g.appointer.Extend(incarnation, x.Part, now)
		}
	}
	return g.appointments, valid
}

// Encode returns the appointments that a claim of the lease must state, and whether they are
// known.
func (g *Lending) Encode(now time.Duration) (list string, ok bool) {
	if !g.isConductor {
		return "", false
	}
	return g.appointer.Encode(g.Self.Incarnation, now)
}

// Accept applies an appointment of this instance's process that was in the response to a
// request sent at sentAt. It reports whether the instance begins to lend.
func (g *Lending) Accept(part int, valid, sentAt, now time.Duration) bool {
	if g.isConductor || g.term.Extend(part, valid, sentAt, now) || !g.term.IsHeld(now) {
		return false
	}
	g.lender.Bounds = g.Bounds
	g.lender.Begin(1, now)
	g.isSubstitute, g.substituteSince = false, 0
	return true
}

// Held returns the appointment that this instance holds, and for how long.
func (g *Lending) Held(now time.Duration) (part int, remaining time.Duration, ok bool) {
	if g.isConductor || !g.term.IsHeld(now) {
		return 0, 0, false
	}
	return g.term.Part, g.term.Remaining(now), true
}

// Lend responds to a request of a borrower. isHolder reports whether this instance holds the
// lease now.
func (g *Lending) Lend(r Request, quotaOf func(account string) (authenticator.Quota, bool), isHolder bool, now time.Duration) Response {
	if r.Lender != g.Self.Incarnation || !g.CanLend(isHolder, now) {
		return Response{}
	}
	return g.lender.Lend(r, quotaOf, now)
}

// CanLend reports whether the instance may respond as a lender now. isHolder reports whether
// it holds the lease.
func (g *Lending) CanLend(isHolder bool, now time.Duration) bool {
	switch {
	case g.isConductor:
		return isHolder
	case g.isSubstitute:
		return now < g.substituteUntil
	}
	return g.term.IsHeld(now)
}

// Parts returns the number of parts of each quota that the instance lends.
func (g *Lending) Parts() int { return g.lender.Parts() }
