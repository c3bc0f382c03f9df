// Package burner counts good and bad events of service-level objectives and
// computes the burn rates of their error budgets.
//
// A Burner counts the events of each customer, class and objective in buckets of
// three widths, so that counts over four windows of up to three days need only a
// bounded number of counters. A Report adds up the counts of several instances.
// It is exact for the time that each instance has been counting.
//
// Rules:
//   - An event is counted on one instance only: the one that served the request
//     or wrote the record.
//   - A burn rate of 1 consumes the error budget in exactly the objective's period.
//   - Counts are lost when an instance restarts. A Report states how much of the
//     period each instance covers and which instances could not be queried.
package burner

import (
	"sync"
	"time"
)

// Objective is a service-level objective.
type Objective string

// Values of Objective. The comments say which events are good.
const (
	// AnsweredInTime counts requests whose first byte was sent within the waiting
	// time of the contract.
	AnsweredInTime Objective = "answered-in-time"
	// ColdStart counts loads of models that succeeded within MaxColdStart.
	ColdStart Objective = "cold-start"
	// NotRefused counts requests that were answered, however late.
	NotRefused Objective = "refusals"
	// TimeToInForce counts configuration changes that were in force within
	// MaxTimeToInForce.
	TimeToInForce Objective = "in-force"
)

// Targets holds the share of events that must be good, by objective.
var Targets = map[Objective]float64{
	AnsweredInTime: 0.999,
	ColdStart:      0.95,
	NotRefused:     0.99,
	TimeToInForce:  0.999,
}

// Maximum durations of good events.
const (
	// MaxColdStart is the maximum time from the decision to load a model to the end
	// of the load.
	MaxColdStart = 30 * time.Second
	// MaxTimeToInForce is the maximum time from publishing a configuration change to
	// reading it back from the log.
	MaxTimeToInForce = 16 * time.Second
)

// Windows holds the lengths of the windows for which burn rates are reported.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, Period}

// Period is the time that an error budget covers.
const Period = 72 * time.Hour

// maxSeries bounds the number of series of a Burner, and so its memory.
const maxSeries = 1024

// Key identifies a series.
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

// ring is a ring of buckets of the same width.
type ring struct {
	width   time.Duration
	buckets []bucket
}

type bucket struct {
	index int64 // bucket widths since the Unix epoch
	count Count
}

func newRings() [3]ring {
	return [3]ring{
		{time.Minute, make([]bucket, 60)},
		{10 * time.Minute, make([]bucket, 36)},
		{time.Hour, make([]bucket, 72)},
	}
}

func (r *ring) add(now time.Time, reason string) {
	n := now.UnixNano() / int64(r.width)
	b := &r.buckets[n%int64(len(r.buckets))]
	if b.index != n {
		*b = bucket{index: n}
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

// sum returns the events of the most recent buckets that make up the window,
// including the current, incomplete one.
func (r *ring) sum(now time.Time, window time.Duration) Count {
	last := now.UnixNano() / int64(r.width)
	first := last - int64(window/r.width) + 1
	var sum Count
	for _, b := range r.buckets {
		if b.index >= first && b.index <= last {
			sum = sum.Plus(b.count)
		}
	}
	return sum
}

// Burner counts events. Its zero value is ready to use.
type Burner struct {
	mu        sync.Mutex
	startedAt time.Time
	series    map[Key]*[3]ring
	dropped   uint64
}

// Start sets the time from which events are counted.
func (b *Burner) Start(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedAt = now
}

// Add counts an event as bad with the given reason, or as good if the reason is
// empty. Reasons must come from a bounded set, since each takes memory in every
// bucket. Events of a series beyond the maximum number are only counted as
// dropped.
func (b *Burner) Add(now time.Time, k Key, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.series == nil {
		b.series = make(map[Key]*[3]ring)
	}
	s := b.series[k]
	if s == nil {
		if len(b.series) >= maxSeries {
			b.dropped++
			return
		}
		rings := newRings()
		s = &rings
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
	out := Snapshot{CountedFor: now.Sub(b.startedAt), Dropped: b.dropped, Series: make(map[Key][]Count, len(b.series))}
	for k, s := range b.series {
		counts := make([]Count, len(Windows))
		for i, w := range Windows {
			counts[i] = ringFor(s, w).sum(now, w)
		}
		out.Series[k] = counts
	}
	return out
}

// ringFor returns the ring with the narrowest buckets that covers the window.
func ringFor(s *[3]ring, window time.Duration) *ring {
	for i := range s {
		if window <= s[i].width*time.Duration(len(s[i].buckets)) {
			return &s[i]
		}
	}
	return &s[len(s)-1]
}

// Snapshot holds the counts of one instance.
type Snapshot struct {
	Instance string
	// CountedFor is the time for which events have been counted.
	CountedFor time.Duration
	// Dropped is the number of events that were not counted because there were
	// too many series.
	Dropped uint64
	// Series holds one count per element of Windows.
	Series map[Key][]Count
}
