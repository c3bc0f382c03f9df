package arranger

import "fmt"

// boundAt returns how many requests wait that may run only at the upstream's software version.
func (p *planner) boundAt(upstream string) int {
	n := 0
	for _, u := range p.Upstreams {
		if u.ID != upstream {
			continue
		}
		for k, waiting := range p.bound {
			if k.software == u.Software {
				n += waiting
			}
		}
	}
	return n
}

// obstacles says for each upstream of the candidate's software version why the candidate is not
// placed there.
func (p *planner) obstacles(c candidate) []string {
	var out []string
	for _, u := range p.Upstreams {
		if u.Software != *c.software {
			continue
		}
		tier, _ := u.tier(c.model)
		victims, cost, hasRoom := p.makeRoom(u, c, tier)
		var why string
		switch {
		case u.IsLimited:
			why = "it takes few requests"
		case p.isReserved(u, c):
			why = "models drain for another one"
		case !hasRoom:
			why = "no room"
		case tier == FromStore && !p.canLoadFromStore(c):
			why = "as many loads from the store as it runs"
		case c.benefitFrom(tier) < minBenefitRatio*cost:
			why = fmt.Sprintf("unloading %v costs %.1f, the benefit is %.1f", victims, cost, c.benefitFrom(tier))
		case u.IsBusy:
			why = fmt.Sprintf("busy for %v", u.BusyFor.Round(busyRounding))
		case p.planned[u.ID]:
			why = "another move begins"
		default:
			why = "another upstream is better and busy"
		}
		out = append(out, u.ID+": "+why)
	}
	return out
}
