// Package apportioner shares a capacity between keys by weight (start-time fair queueing).
//
// A Clock is plain state: it reads no time, and its owner decides what a cost is. The key
// with the smallest start tag is to be served next. A key that was idle starts at the
// virtual time: it is served before keys that had more than their share, and has no credit
// for the time in which it was idle.
package apportioner

// maxFinishTags is the number of keys above which a clock drops the finish tags
// of idle keys.
const maxFinishTags = 64

// Clock is the virtual clock of start-time fair queueing between keys. Its zero
// value is at time zero. It is not safe for concurrent use.
type Clock[K comparable] struct {
	virtualTime float64
	finishTags  map[K]float64
}

// Start returns the start tag of the next service of the key, in virtual time.
func (c *Clock[K]) Start(key K) float64 {
	return max(c.virtualTime, c.finishTags[key])
}

// Charge records a service of the key.
func (c *Clock[K]) Charge(key K, cost, weight float64) {
	c.ChargeAhead(key, cost, weight, 0)
}

// ChargeAhead records a service of a key whose start tag exceeds the smallest one by lead at
// most. The virtual time stays behind the start tag by the lead, so that the keys that were
// passed over keep what they are owed.
func (c *Clock[K]) ChargeAhead(key K, cost, weight, lead float64) {
	s := c.Start(key)
	c.virtualTime = max(c.virtualTime, s-lead)
	if c.finishTags == nil {
		c.finishTags = make(map[K]float64)
	}
	c.finishTags[key] = s + cost/weight
	if len(c.finishTags) <= maxFinishTags {
		return
	}
	for k, v := range c.finishTags {
		if v <= c.virtualTime {
			delete(c.finishTags, k)
		}
	}
}
