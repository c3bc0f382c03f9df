package allotter

import (
	"slices"
	"time"
)

// Roster is what an instance knows of the appointments of the conductor. Those that a new
// conductor does not list, because it does not know them yet, stay until they have ended.
type Roster struct {
	listed []listedAppointment
}

type listedAppointment struct {
	Appointment
	until time.Duration // 0 while it is listed
}

// Apply applies the list of the conductor.
func (r *Roster) Apply(list []Appointment, now time.Duration) {
	next := make([]listedAppointment, 0, NumParts)
	for _, a := range list {
		next = append(next, listedAppointment{Appointment: a})
	}
	for _, l := range r.listed {
		if slices.ContainsFunc(list, func(a Appointment) bool { return a.Part == l.Part }) {
			continue
		}
		if l.until == 0 {
			l.until = now + AppointmentTime
		}
		if now < l.until {
			next = append(next, l)
		}
	}
	r.listed = next
}

// Lenders returns the lenders: the conductor, if it is known, and those that it has appointed
// and whose address is known.
func (r *Roster) Lenders(conductor LenderInfo, addressOf func(incarnation string) string, now time.Duration) []LenderInfo {
	var out []LenderInfo
	if conductor.Incarnation != "" {
		conductor.Parts = 1
		out = append(out, conductor)
	}
	for _, a := range r.listed {
		if a.until != 0 && now >= a.until {
			continue
		}
		if i := slices.IndexFunc(out, func(l LenderInfo) bool { return l.Incarnation == a.Incarnation }); i >= 0 {
			out[i].Parts++
		} else if address := addressOf(a.Incarnation); address != "" {
			out = append(out, LenderInfo{a.Instance, a.Incarnation, address, 1})
		}
	}
	return out
}

// Has reports whether a process is among the lenders that the conductor has appointed.
func (r *Roster) Has(incarnation string) bool {
	return slices.ContainsFunc(r.listed, func(l listedAppointment) bool { return l.Incarnation == incarnation })
}
