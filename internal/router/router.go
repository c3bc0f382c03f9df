// Package router chooses the upstream of an attempt.
//
// Choose is a pure function of what is known of the candidates. Of two random
// candidates the one with the lower load gets the attempt, so that lagging
// reports do not send everybody to the same one.
package router

import "math/rand/v2"

// Candidate is an upstream, or a replica on it, that can take the attempt.
type Candidate struct {
	Upstream string
	Replica  string
	Address  string
	// Load is what runs and waits there, Slots how much runs at once.
	Load  int
	Slots int
}

// Choose returns the index of the chosen candidate, or -1 if none has room.
// A candidate has room while its load is below its slots. Candidates named in
// tried are taken only if there is no other.
func Choose(cands []Candidate, tried map[string]bool, rng *rand.Rand) int {
	fresh := make([]int, 0, len(cands))
	var again []int
	for i, c := range cands {
		switch {
		case c.Load >= c.Slots:
		case tried[c.Upstream]:
			again = append(again, i)
		default:
			fresh = append(fresh, i)
		}
	}
	if len(fresh) == 0 {
		fresh = again
	}
	if len(fresh) == 0 {
		return -1
	}
	a, b := fresh[rng.IntN(len(fresh))], fresh[rng.IntN(len(fresh))]
	if cands[b].Load < cands[a].Load {
		return b
	}
	return a
}
