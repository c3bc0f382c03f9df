package allotter

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const (
	// AppointmentTime is how long an appointment lasts, from when the deputy sent the request
	// whose response carried it.
	AppointmentTime = 10 * time.Second
	// appointmentMargin is added before a part gets another lender. The loans of the former
	// one are valid for half a second longer.
	appointmentMargin = time.Second
)

// Member is an instance that may be appointed.
type Member struct {
	Instance, Incarnation, DataCentre string
	// IsSuited reports whether the instance may be appointed: it knows accounts, is not
	// stopping and reaches the upstreams.
	IsSuited bool
}

// Appointment makes an instance the lender of a part of each quota. The conductor has part 0.
type Appointment struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Part        int    `json:"part"`
}

// Lease is what an instance knows of the lease of the conductor.
type Lease struct {
	IsHolder bool
	// Claims are the appointments, as Encode returns them, in each claim that may be the newest
	// of the log, first in the newest that is known to be in it. One that does not state them is
	// empty.
	Claims []string
	// IsFirst reports that nobody held the lease before, and that no claim has appointments.
	IsFirst bool
}

// known returns the appointments that may hold at the begin of a term, and whether they are
// known. Of the appointments in a later claim those that are not in the first have not been
// made, see hasAnnounced.
func (l Lease) known() (list []Appointment, ok bool) {
	if l.IsFirst {
		return nil, true
	}
	if len(l.Claims) == 0 || json.Unmarshal([]byte(l.Claims[0]), &list) != nil {
		return nil, false
	}
	return list, list != nil
}

// hasAnnounced reports whether the next conductor will know of an appointment, or will know
// that it may not know of all. An instance must not be told its appointment before.
func (l Lease) hasAnnounced(x Appointment) bool {
	for _, c := range l.Claims {
		if c == "" && !l.IsFirst {
			continue
		}
		var list []Appointment
		if json.Unmarshal([]byte(c), &list) != nil || !slices.Contains(list, x) {
			return false
		}
	}
	return len(l.Claims) > 0
}

// Appointer appoints the deputies of the conductor. Its zero value is that of an instance
// which is not the conductor.
type Appointer struct {
	isActive bool
	// knownAt is when all appointments are known that may hold.
	knownAt time.Duration
	slots   [NumParts]slot
}

// slot is the lender of one part.
type slot struct {
	Appointment
	// until is when the instance has certainly stopped lending, unless it is the conductor
	// itself. It is AppointmentTime after the last response that carried the appointment.
	until time.Duration
	// isExtended reports whether the instance gets its appointment with each response: it
	// reports, and the lease states the appointment.
	isExtended bool
}

// Begin starts a term of the conductor. If the lease does not state the appointments that
// may still hold, none is made before these have ended. It has no effect during a term.
func (a *Appointer) Begin(l Lease, now time.Duration) {
	if a.isActive {
		return
	}
	*a = Appointer{isActive: true, knownAt: now}
	list, ok := l.known()
	if !ok {
		a.knownAt = now + AppointmentTime + appointmentMargin
	}
	for _, x := range list {
		if x.Part >= 1 && x.Part < NumParts {
			a.slots[x.Part] = slot{Appointment: x, until: now + AppointmentTime}
		}
	}
}

// Encode returns the appointments that may hold, in JSON, and whether all of them are known.
// It omits those of the conductor itself, which end with its lease.
func (a *Appointer) Encode(self string, now time.Duration) (list string, ok bool) {
	out := []Appointment{}
	for _, s := range a.slots[1:] {
		if s.Incarnation != "" && s.Incarnation != self {
			out = append(out, s.Appointment)
		}
	}
	b, err := json.Marshal(out)
	return string(b), err == nil && a.isActive && now >= a.knownAt
}

// End ends the term.
func (a *Appointer) End() { *a = Appointer{} }

// Observe applies the appointment that an instance reports, and for how long it holds.
func (a *Appointer) Observe(m Member, part int, valid, now time.Duration) {
	if !a.isActive || part < 1 || part >= NumParts {
		return
	}
	s := &a.slots[part]
	if s.Incarnation == "" {
		s.Appointment = Appointment{m.Instance, m.Incarnation, part}
	}
	if s.Incarnation == m.Incarnation {
		s.until = max(s.until, now+min(valid, AppointmentTime))
	}
}

// Update appoints deputies for the parts that no instance can lend any more, and returns
// the appointments, those of the conductor itself for parts from 1 included. members are the
// instances that report.
func (a *Appointer) Update(self Member, l Lease, members []Member, now time.Duration) []Appointment {
	if !a.isActive {
		return nil
	}
	for part := 1; part < NumParts; part++ {
		a.updateSlot(part, self, members, now)
		s := &a.slots[part]
		s.isExtended = isReporting(s.Appointment, members) && l.hasAnnounced(s.Appointment)
	}
	var out []Appointment
	for _, s := range a.slots[1:] {
		if s.Incarnation != "" {
			out = append(out, s.Appointment)
		}
	}
	return out
}

func (a *Appointer) updateSlot(part int, self Member, members []Member, now time.Duration) {
	s := &a.slots[part]
	switch {
	case s.Instance == self.Instance:
		// An earlier process of the conductor has ended. This one stops to lend the part in the
		// same step in which another instance is appointed.
	case s.Incarnation == "" && now < a.knownAt:
		return // a deputy of the former conductor may not have reported yet
	case s.Incarnation != "" && now < s.until+appointmentMargin && !isSucceeded(s.Appointment, members):
		return
	case s.Incarnation != "" && isReporting(s.Appointment, members):
		return
	}
	next := a.choose(part, self, members)
	if next.Incarnation == s.Incarnation {
		return
	}
	*s = slot{Appointment: Appointment{next.Instance, next.Incarnation, part}, until: now + AppointmentTime}
}

// isSucceeded reports whether a later process of the instance reports, so that the
// appointed one has ended. Incarnations sort by the start of their processes.
func isSucceeded(x Appointment, members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Instance == x.Instance && m.Incarnation > x.Incarnation })
}

func isReporting(x Appointment, members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Incarnation == x.Incarnation && m.IsSuited })
}

// choose returns the instance for a part: one in a data centre that has no lender if there
// is one, and the conductor itself if there is no other instance.
func (a *Appointer) choose(part int, self Member, members []Member) Member {
	best, bestRank := self, 0
	for _, m := range members {
		if !m.IsSuited || m.Instance == self.Instance {
			continue
		}
		rank, isTaken := 3, false
		if m.DataCentre == self.DataCentre {
			rank = 1
		}
		for other, s := range a.slots {
			if other == part || other == 0 || s.Incarnation == "" {
				continue
			}
			isTaken = isTaken || s.Instance == m.Instance
			if i := slices.IndexFunc(members, func(x Member) bool { return x.Incarnation == s.Incarnation }); i >= 0 && members[i].DataCentre == m.DataCentre {
				rank = min(rank, 2)
			}
		}
		if !isTaken && cmp.Or(cmp.Compare(bestRank, rank), cmp.Compare(m.Instance, best.Instance)) < 0 {
			best, bestRank = m, rank
		}
	}
	return best
}

// Extend returns for how long the appointment of an instance's process holds from when it
// sent the request to which a response will be sent, 0 if it has none or is to lose it.
// It must be called before the response is sent.
func (a *Appointer) Extend(incarnation string, part int, now time.Duration) time.Duration {
	if part < 1 || part >= NumParts || !a.isActive {
		return 0
	}
	s := &a.slots[part]
	if s.Incarnation != incarnation || !s.isExtended {
		return 0
	}
	s.until = max(s.until, now+AppointmentTime)
	return AppointmentTime
}

// PartsOf returns the number of parts that an instance's process lends.
func (a *Appointer) PartsOf(incarnation string) int {
	n := 0
	for _, s := range a.slots[1:] {
		if s.Incarnation == incarnation && incarnation != "" {
			n++
		}
	}
	return n
}

// Term is the appointment that a deputy holds. Its zero value is that of an instance which
// is not appointed.
type Term struct {
	Part  int
	until time.Duration
}

// Extend applies an appointment that was in the response to a request sent at sentAt. It
// reports whether the instance held it without a break. If not, another instance may have
// lent the part meanwhile, and the buckets must begin empty.
func (t *Term) Extend(part int, valid, sentAt, now time.Duration) (isContinuing bool) {
	isContinuing = t.IsHeld(now) && t.Part == part
	until := sentAt + min(valid, AppointmentTime)
	if until <= now {
		return isContinuing
	}
	if isContinuing {
		t.until = max(t.until, until)
		return true
	}
	*t = Term{Part: part, until: until}
	return false
}

// IsHeld reports whether the appointment holds.
func (t *Term) IsHeld(now time.Duration) bool { return now < t.until }

// Remaining returns how long the appointment holds.
func (t *Term) Remaining(now time.Duration) time.Duration { return max(0, t.until-now) }

// End ends the appointment.
func (t *Term) End() { *t = Term{} }
