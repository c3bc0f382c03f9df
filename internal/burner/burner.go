// Package burner counts how the service-level objectives are kept, and works
// out how fast their error budgets burn.
//
// A Burner counts good and bad events of each customer, class and objective
// in buckets of three widths, so that four windows up to three days are
// answered from a bounded number of counters. Counts of several instances are
// added up, so that a Report is exact for what the instances remember.
//
// Rules:
//   - An event is counted at one instance only: that which served the request
//     or wrote the record.
//   - A burn rate of 1 uses up the error budget in just the objective's period.
//   - Instances keep nothing over a restart. A Report says how much of the
//     period each instance remembers and which one could not be asked.
package burner

import (
	"sync"
	"time"
)

// Objective is a service-level objective.
type Objective string

// Objectives.
const (
	AnsweredInTime Objective = "answered-in-time"
	ColdStart      Objective = "cold-start"
	Refusals       Objective = "refusals"
	InForce        Objective = "in-force"
)

// Objectives holds the share of events that must be good.
var Objectives = map[Objective]float64{
	AnsweredInTime: 0.999,
	ColdStart:      0.95,
	Refusals:       0.99,
	InForce:        0.999,
}

// Bounds of what counts as good.
const (
	// MaxColdStart is the longest good time from the decision of a load to its end.
	MaxColdStart = 30 * time.Second
	// MaxInForce is the longest good time from a publish to its being read back.
	MaxInForce = 16 * time.Second
)

// Windows are the lengths over which a burn is told.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, Period}

// Period is the length of an error budget.
const Period = 72 * time.Hour

// maxSeries bounds the series of a Burner.
const maxSeries = 1024

// Key names a series.
type Key struct {
	Customer  string
	Class     string
	Objective Objective
}

// Count is a number of events.
type Count struct {
	Good, Bad uint64
	// Reasons holds the bad events by reason.
	Reasons map[string]uint64
}

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count {
	sum := Count{Good: c.Good + o.Good, Bad: c.Bad + o.Bad, Reasons: make(map[string]uint64)}
	for _, m := range []map[string]uint64{c.Reasons, o.Reasons} {
		for k, n := range m {
			sum.Reasons[k] += n
		}
	}
	return sum
}

// tier is a ring of buckets of one width.
type tier struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	number int64 // of the width since the epoch
	count  Count
}

func newTiers() [3]tier {
	return [3]tier{
		{time.Minute, make([]bucket, 60)},
		{10 * time.Minute, make([]bucket, 36)},
		{time.Hour, make([]bucket, 72)},
	}
}

func (t *tier) add(now time.Time, reason string) {
	n := now.UnixNano() / int64(t.width)
	b := &t.buckets[n%int64(len(t.buckets))]
	if b.number != n {
		*b = bucket{number: n}
	}
	if reason == "" {
		b.count.Good++
		return
	}
	b.count.Bad++
	if b.count.Reasons == nil {
		b.count.Reasons = make(map[string]uint64)
	}
	b.count.Reasons[reason]++
}

// sum returns the events of the buckets that began within the window.
func (t *tier) sum(now time.Time, window time.Duration) Count {
	last := now.UnixNano() / int64(t.width)
	first := last - int64(window/t.width) + 1
	var sum Count
	for _, b := range t.buckets {
		if b.number >= first && b.number <= last {
			sum = sum.Plus(b.count)
		}
	}
	return sum
}

// Burner counts events. Its zero value is ready to use.
type Burner struct {
	mu      sync.Mutex
	since   time.Time
	series  map[Key]*[3]tier
	dropped uint64
}

// Start notes since when events are counted.
func (b *Burner) Start(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = now
}

// Add counts an event: a good one, or a bad one with its reason. Reasons must
// come from a bounded set.
func (b *Burner) Add(now time.Time, k Key, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.series == nil {
		b.series = make(map[Key]*[3]tier)
	}
	s := b.series[k]
	if s == nil {
		if len(b.series) >= maxSeries {
			b.dropped++
			return
		}
		tiers := newTiers()
		s = &tiers
		b.series[k] = s
	}
	for i := range s {
		s[i].add(now, reason)
	}
}

// Snapshot returns the counts of every series over Windows.
func (b *Burner) Snapshot(now time.Time) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := Snapshot{Remembers: now.Sub(b.since), Dropped: b.dropped, Series: make(map[Key][]Count, len(b.series))}
	for k, s := range b.series {
		counts := make([]Count, len(Windows))
		for i, w := range Windows {
			counts[i] = tierFor(s, w).sum(now, w)
		}
		out.Series[k] = counts
	}
	return out
}

// tierFor returns the finest tier that holds the window.
func tierFor(s *[3]tier, window time.Duration) *tier {
	for i := range s {
		if window <= s[i].width*time.Duration(len(s[i].buckets)) {
			return &s[i]
		}
	}
	return &s[len(s)-1]
}

// Snapshot is what one instance remembers.
type Snapshot struct {
	Instance string
	// Remembers is how far back the counts reach.
	Remembers time.Duration
	Dropped   uint64
	// Series holds a count for each of Windows.
	Series map[Key][]Count
}
