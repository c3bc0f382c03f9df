package locator

import (
	"cmp"
	"slices"
)

// Place is the address and data centre of an entry instance.
type Place struct {
	Address    string
	DataCentre string
}

// Addresses returns the addresses that a caller in a data centre should use. They
// are those of its own data centre. If these are fewer than an even share of all
// instances, instances of other data centres are added up to that share, so that
// the instances of a small data centre are not overloaded. Callers select one at
// random.
func Addresses(places []Place, dataCentre string) []string {
	numByDataCentre := make(map[string]int)
	for _, p := range places {
		numByDataCentre[p.DataCentre]++
	}
	if len(places) == 0 {
		return nil
	}
	evenShare := len(places) / len(numByDataCentre)
	sorted := slices.Clone(places)
	rank := Rank(dataCentre, candidatesOf(places))
	order := make(map[string]int, len(rank))
	for i, c := range rank {
		order[c.Name] = i
	}
	// Instances of the own data centre come first, then those of the data centres
	// with the most instances; the rank distributes callers over equal ones.
	slices.SortFunc(sorted, func(a, b Place) int {
		if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
			if a.DataCentre == dataCentre {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(numByDataCentre[b.DataCentre], numByDataCentre[a.DataCentre]); c != 0 && a.DataCentre != dataCentre {
			return c
		}
		return cmp.Compare(order[a.Address], order[b.Address])
	})
	n := max(numByDataCentre[dataCentre], evenShare)
	out := make([]string, 0, n)
	for _, p := range sorted[:min(n, len(sorted))] {
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
