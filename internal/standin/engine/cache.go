package engine

import (
	"slices"

	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
)

const (
	// maxCachedPrefixes is the number of prompt prefixes that an engine caches.
	maxCachedPrefixes = 64
	// maxCacheEvents is the number of cache events in a report. Older ones are lost.
	maxCacheEvents = 256
)

// promptCache holds the prompt prefixes that an engine has cached, and the events
// that report its changes. Its zero value is empty.
type promptCache struct {
	prefixes []cachedPrefix // the least recently used first
	events   []*upstreamv1.CacheEvent
	sequence uint64 // of the last event
}

type cachedPrefix struct {
	model string
	hash  uint64
}

// add caches a prefix, or marks it as used if it is cached.
func (c *promptCache) add(model string, hash uint64) {
	p := cachedPrefix{model, hash}
	if i := slices.Index(c.prefixes, p); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), p)
		return
	}
	c.prefixes = append(c.prefixes, p)
	c.report(p, false)
	if len(c.prefixes) > maxCachedPrefixes {
		c.report(c.prefixes[0], true)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
}

func (c *promptCache) report(p cachedPrefix, isDropped bool) {
	c.sequence++
	c.events = append(c.events, &upstreamv1.CacheEvent{Sequence: c.sequence, Model: p.model, Prefix: p.hash, Dropped: isDropped})
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}
