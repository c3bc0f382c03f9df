package locator

import (
	"cmp"
	"slices"
)

// Place is an instance that callers may use.
type Place struct {
	Address    string
	DataCentre string
}

// Addresses returns the addresses for a caller in a data centre. They are those
// of its data centre, filled up to an even share of all from the others, so that
// a data centre with few instances is not overrun. Callers pick one at random.
func Addresses(places []Place, dataCentre string) []string {
	sites := make(map[string]int)
	for _, p := range places {
		sites[p.DataCentre]++
	}
	if len(places) == 0 {
		return nil
	}
	share := len(places) / len(sites)
	list := slices.Clone(places)
	rank := Rank(dataCentre, candidatesOf(places))
	order := make(map[string]int, len(rank))
	for i, c := range rank {
		order[c.Name] = i
	}
	// Own ones first, then those of data centres with many, spread by the rank.
	slices.SortFunc(list, func(a, b Place) int {
		if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
			if a.DataCentre == dataCentre {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(sites[b.DataCentre], sites[a.DataCentre]); c != 0 && a.DataCentre != dataCentre {
			return c
		}
		return cmp.Compare(order[a.Address], order[b.Address])
	})
	n := max(sites[dataCentre], share)
	out := make([]string, 0, n)
	for _, p := range list[:min(n, len(list))] {
		out = append(out, p.Address)
	}
	return out
}

func candidatesOf(places []Place) []Candidate {
	out := make([]Candidate, 0, len(places))
	for _, p := range places {
		out = append(out, Candidate{Name: p.Address})
	}
	return out
}
