package admitter

// maxFinishTags is the number of keys above which a clock drops the finish tags
// of idle keys.
const maxFinishTags = 64

// fairClock is the virtual clock of start-time fair queueing between keys. Its
// zero value is at time zero.
type fairClock[K comparable] struct {
	virtualTime float64
	finishTags  map[K]float64
}

// start returns the start tag of the next service of the key, in virtual time.
func (c *fairClock[K]) start(key K) float64 {
	return max(c.virtualTime, c.finishTags[key])
}

// charge records a service of the key.
func (c *fairClock[K]) charge(key K, cost, weight float64) {
	s := c.start(key)
	c.virtualTime = s
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
