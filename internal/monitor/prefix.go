package monitor

import "github.com/primrosedrift/primrosedrift/internal/prefixer"

// RecordPrefix records that a prompt with the prefix was sent to the upstream.
func (m *Monitor) RecordPrefix(name string, prefix uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prefixLocked(name).Add(prefix)
}

// HasPrefix reports whether the upstream likely has the prefix in its cache.
func (m *Monitor) HasPrefix(name string, prefix uint64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p := m.prefixes[name]
	return p != nil && p.Has(prefix)
}

func (m *Monitor) prefixLocked(name string) *prefixer.PrefixSet {
	if m.prefixes == nil {
		m.prefixes = make(map[string]*prefixer.PrefixSet)
	}
	p := m.prefixes[name]
	if p == nil {
		p = &prefixer.PrefixSet{}
		m.prefixes[name] = p
	}
	return p
}
