package locator

import (
	"slices"
)

// Sizes of an answer.
const (
	// HeatPerEntry is how many requests to one target an instance should have
	// at once before another instance shares them.
	HeatPerEntry = 64
	// fallbacks is how many more instances are named for when the first fail.
	fallbacks = 2
)

// Question is what a caller asks.
type Question struct {
	// Key ranks the instances.
	Key        string
	DataCentre string
	// Heat is how many requests to the target wait and run.
	Heat int
	// Turn lets the callers of a hot target take turns.
	Turn uint64
}

// spread returns how many instances share the target's requests.
func (q Question) spread(n int) int {
	return min(n, 1+q.Heat/HeatPerEntry)
}

// Locate names the instances that a caller should try, in that order: those
// that share the target, then fallbacks. For a target that is not hot, the
// first is the same for every caller. Among those that share a hot target, the
// ones in the caller's data centre come first, in turn. Overloaded instances
// are named only if there is no other.
func Locate(q Question, cands []Candidate) []Candidate {
	usable := slices.DeleteFunc(slices.Clone(cands), func(c Candidate) bool { return c.Overloaded })
	if len(usable) == 0 {
		usable = cands
	}
	rank := Rank(q.Key, usable)
	n := q.spread(len(rank))
	named := rank[:min(len(rank), n+fallbacks)]
	share, rest := named[:n], named[n:]
	if n > 1 {
		rotate(share, int(q.Turn%uint64(n)))
	}
	preferNear(share, q.DataCentre)
	preferNear(rest, q.DataCentre)
	return named
}

func rotate(list []Candidate, by int) {
	copy(list, append(slices.Clone(list[by:]), list[:by]...))
}

// preferNear moves the candidates of the data centre to the front and keeps
// the order otherwise.
func preferNear(list []Candidate, dataCentre string) {
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return isFar(a, dataCentre) - isFar(b, dataCentre)
	})
}

func isFar(c Candidate, dataCentre string) int {
	if c.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// Names reports whether answers for the target name the instance.
func Names(q Question, cands []Candidate, name string) bool {
	list := Locate(Question{Key: q.Key, Heat: q.Heat}, cands)
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.Name == name })
}
