package locator

import (
	"slices"
)

// Bounds of the list that Locate returns.
const (
	// RequestsPerEntry is how many concurrent requests for one target an instance
	// handles before another instance shares them.
	RequestsPerEntry = 64
	// numFallbacks is how many more instances are listed in case the first ones fail.
	numFallbacks = 2
)

// Request is a caller's request for the instances of a target.
type Request struct {
	// Key identifies the target; the instances are ranked by it.
	Key        string
	DataCentre string // of the caller
	// NumRequests is the number of queued and running requests for the target.
	NumRequests int
	// Rotation rotates the instances that share a target, so that its callers spread
	// over them.
	Rotation uint64
}

// numSharing returns how many of n instances share the target's requests.
func (q Request) numSharing(n int) int {
	return min(n, 1+q.NumRequests/RequestsPerEntry)
}

// Locate returns the instances that a caller should try, in that order: those
// that share the target's requests, then fallbacks. Below RequestsPerEntry
// requests the first instance is the same for every caller. From that number on,
// the sharing instances are rotated by Rotation, with those in the caller's data
// centre first. Overloaded instances are listed only if all instances are
// overloaded.
func Locate(q Request, cands []Candidate) []Candidate {
	usable := slices.DeleteFunc(slices.Clone(cands), func(c Candidate) bool { return c.IsOverloaded })
	if len(usable) == 0 {
		usable = cands
	}
	rank := Rank(q.Key, usable)
	n := q.numSharing(len(rank))
	located := rank[:min(len(rank), n+numFallbacks)]
	sharing, rest := located[:n], located[n:]
	if n > 1 {
		rotate(sharing, int(q.Rotation%uint64(n)))
	}
	preferNear(sharing, q.DataCentre)
	preferNear(rest, q.DataCentre)
	return located
}

func rotate(list []Candidate, n int) {
	copy(list, append(slices.Clone(list[n:]), list[:n]...))
}

// preferNear moves the candidates in the data centre to the front and keeps the
// order otherwise.
func preferNear(list []Candidate, dataCentre string) {
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return distance(a, dataCentre) - distance(b, dataCentre)
	})
}

// distance returns 0 for a candidate in the data centre and 1 for any other.
func distance(c Candidate, dataCentre string) int {
	if c.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// Includes reports whether Locate lists the instance for the target, for callers
// in any data centre.
func Includes(q Request, cands []Candidate, name string) bool {
	list := Locate(Request{Key: q.Key, NumRequests: q.NumRequests}, cands)
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.Name == name })
}
