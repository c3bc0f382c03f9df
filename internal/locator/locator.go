// Package locator selects the entry instances that a caller should use.
//
// Rendezvous hashing gives every caller of a target the same few instances, so
// that bursts, prefix caches, queues and limits of the target are handled by few
// instances. When an instance leaves, only the targets that ranked it first move
// to another instance.
package locator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that may be selected.
type Candidate struct {
	Name       string
	DataCentre string
	// IsOverloaded says that the instance should receive no more requests.
	IsOverloaded bool
}

// Rank orders the candidates for a key, best first. The order depends only on the
// key and the names.
func Rank(key string, cands []Candidate) []Candidate {
	type scored struct {
		c     Candidate
		score uint64
	}
	list := make([]scored, len(cands))
	for i, c := range cands {
		list[i] = scored{c, score(key, c.Name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.c.Name, b.c.Name)
	})
	out := make([]Candidate, len(list))
	for i, s := range list {
		out[i] = s.c
	}
	return out
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
