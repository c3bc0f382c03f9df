// Package prefixer remembers which prompt prefixes an upstream likely holds.
//
// Two sources tell: what this instance has sent there, and the upstream's
// cache events. The events come late and with gaps. After a gap nothing that
// was learnt before it can be trusted, so it is forgotten; what is sent from
// then on is learnt anew. A wrong memory costs time only, never an answer.
package prefixer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

// Bounds of the memory.
const (
	// Remembered is how many prefixes are remembered for each upstream.
	Remembered = 4096
	// prefixBytes is how much of a prompt makes its prefix.
	prefixBytes = 256
)

// Of returns the prefix of a prompt to a model and adapter.
func Of(model, adapter, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{model, adapter, prompt[:min(len(prompt), prefixBytes)]} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Memory is what one upstream likely holds. Its zero value holds nothing. It
// is not safe for concurrent use.
type Memory struct {
	held        *simplelru.LRU[uint64, struct{}]
	incarnation string
	sequence    uint64 // of the last cache event
}

// Has reports whether the upstream likely holds the prefix.
func (m *Memory) Has(prefix uint64) bool {
	return m.held != nil && m.held.Contains(prefix)
}

// Len returns the number of prefixes remembered.
func (m *Memory) Len() int {
	if m.held == nil {
		return 0
	}
	return m.held.Len()
}

// Sent notes that a prompt with the prefix went to the upstream.
func (m *Memory) Sent(prefix uint64) {
	if m.held == nil {
		m.held, _ = simplelru.NewLRU[uint64, struct{}](Remembered, nil) // fails for a size below one only
	}
	m.held.Add(prefix, struct{}{})
}

// Observe takes over the events of a report. Events that were seen before are
// passed over.
func (m *Memory) Observe(r *upstreamv1.ReportResponse) {
	if r.GetIncarnation() != m.incarnation {
		m.forget()
		m.incarnation = r.GetIncarnation()
		m.sequence = 0
	}
	for _, e := range r.GetCacheEvents() {
		switch {
		case e.GetSequence() <= m.sequence:
			continue
		case m.sequence > 0 && e.GetSequence() != m.sequence+1:
			m.forget()
		}
		m.sequence = e.GetSequence()
		if e.GetDropped() {
			if m.held != nil {
				m.held.Remove(e.GetPrefix())
			}
			continue
		}
		m.Sent(e.GetPrefix())
	}
}

func (m *Memory) forget() {
	if m.held != nil {
		m.held.Purge()
	}
}
