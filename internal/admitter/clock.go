package admitter

// maxIdleTags is how many keys a clock holds before it drops idle ones.
const maxIdleTags = 64

// clock is a start-time fair clock over keys. Its zero value is at time zero.
type clock[K comparable] struct {
	now  float64
	next map[K]float64
}

// start returns the virtual time at which the next service of the key starts.
func (c *clock[K]) start(key K) float64 {
	return max(c.now, c.next[key])
}

// charge serves the key once.
func (c *clock[K]) charge(key K, cost, weight float64) {
	s := c.start(key)
	c.now = s
	if c.next == nil {
		c.next = make(map[K]float64)
	}
	c.next[key] = s + cost/weight
	if len(c.next) <= maxIdleTags {
		return
	}
	for k, v := range c.next {
		if v <= c.now {
			delete(c.next, k)
		}
	}
}
