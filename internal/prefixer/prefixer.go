// Package prefixer tracks the prompt prefixes that an upstream likely has in its
// cache.
//
// It uses two sources: the prompts that this instance has sent to the upstream,
// and the upstream's cache events. The events arrive late and with gaps. After a
// gap the earlier entries may be outdated, so all of them are dropped; entries are
// added again from then on. A wrong entry costs latency only and never changes a
// response.
package prefixer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// Bounds of a PrefixSet.
const (
	// MaxPrefixes bounds the prefixes that are kept for each upstream.
	MaxPrefixes = 4096
	// prefixBytes is the maximum length of a prompt's prefix.
	prefixBytes = 256
)

// Hash returns the hash of a prompt's prefix, for a model and adapter.
func Hash(model, adapter, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{model, adapter, prompt[:min(len(prompt), prefixBytes)]} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// PrefixSet is the set of prefixes that one upstream likely has in its cache. When
// the set is full, the prefix that was recorded least recently is dropped. Its zero
// value is empty and ready to use. A PrefixSet is not safe for concurrent use.
type PrefixSet struct {
	prefixes    *simplelru.LRU[uint64, struct{}]
	incarnation string
	sequence    uint64 // of the last cache event
}

// Has reports whether the upstream likely has the prefix in its cache.
func (s *PrefixSet) Has(prefix uint64) bool {
	return s.prefixes != nil && s.prefixes.Contains(prefix)
}

// Len returns the number of prefixes in the set.
func (s *PrefixSet) Len() int {
	if s.prefixes == nil {
		return 0
	}
	return s.prefixes.Len()
}

// Add adds the prefix of a prompt that was sent to the upstream.
func (s *PrefixSet) Add(prefix uint64) {
	if s.prefixes == nil {
		s.prefixes, _ = simplelru.NewLRU[uint64, struct{}](MaxPrefixes, nil) // fails only for a size below one
	}
	s.prefixes.Add(prefix, struct{}{})
}

// Observe applies the cache events of a report and skips those that were applied
// before. A new incarnation or a gap in the sequence clears the set first.
func (s *PrefixSet) Observe(r *upstreamv1.ReportResponse) {
	if r.GetIncarnation() != s.incarnation {
		s.clear()
		s.incarnation = r.GetIncarnation()
		s.sequence = 0
	}
	for _, e := range r.GetCacheEvents() {
		switch {
		case e.GetSequence() <= s.sequence:
			continue
		case s.sequence > 0 && e.GetSequence() != s.sequence+1:
			s.clear()
		}
		s.sequence = e.GetSequence()
		if e.GetDropped() {
			if s.prefixes != nil {
				s.prefixes.Remove(e.GetPrefix())
			}
			continue
		}
		s.Add(e.GetPrefix())
	}
}

func (s *PrefixSet) clear() {
	if s.prefixes != nil {
		s.prefixes.Purge()
	}
}
