package locator

import (
	"cmp"
	"slices"
)

// Instance is the address and data centre of an entry instance.
type Instance struct {
	Address    string
	DataCentre string
}

// Addresses returns the addresses that a caller in a data centre should use. They
// are those of its own data centre. If these are fewer than an even share of all
// instances, instances of other data centres are added up to that share, so that
// the instances of a small data centre are not overloaded. Callers select one at
// random.
func Addresses(instances []Instance, dataCentre string) []string {
	numByDataCentre := make(map[string]int)
	for _, in := range instances {
		numByDataCentre[in.DataCentre]++
	}
	if len(instances) == 0 {
		return nil
	}
	evenShare := len(instances) / len(numByDataCentre)
	sorted := slices.Clone(instances)
	rank := Rank(dataCentre, candidatesOf(instances))
	order := make(map[string]int, len(rank))
	for i, c := range rank {
		order[c.Name] = i
	}
	// Instances of the own data centre come first, then those of the data centres
	// with the most instances; the rank distributes callers over equal ones.
	slices.SortFunc(sorted, func(a, b Instance) int {
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
	for _, in := range sorted[:min(n, len(sorted))] {
		out = append(out, in.Address)
	}
	return out
}

func candidatesOf(instances []Instance) []Candidate {
	out := make([]Candidate, 0, len(instances))
	for _, in := range instances {
		out = append(out, Candidate{Name: in.Address})
	}
	return out
}
