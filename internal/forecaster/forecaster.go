// Package forecaster learns when a model is next needed.
//
// A History holds what is known of one model's gaps between uses. A short gap
// belongs to a session: its length says how likely the session goes on. A long
// gap ends when the next session starts, which depends on the hour: a fleet
// office opens at eight whatever time it closed. So a History keeps two sets of
// counts. The first counts, by the age of a gap, how often a gap of that age
// ended. The second counts, by the quarter of an hour in the day, how often a
// model that had been idle for a session's length was used again.
//
// The rules:
//
//   - Every count is a pair of events and of times at risk, so that an estimate
//     is the chance to be needed in a bin, given that it was not needed before.
//   - Counts are halved at a cap, and clock counts fade by the day, so that a
//     change of habits is followed.
//   - A History has a fixed size and no pointers: SizeBytes bounds it.
//   - Queries take the time as an argument. There is no clock and no
//     randomness here.
package forecaster

import (
	"math"
	"time"
	"unsafe"
)

const (
	// SessionGap is the longest gap within a session.
	SessionGap = time.Hour
	// ClockBin is the length of one bin of the day.
	ClockBin = 15 * time.Minute

	gapBins   = 24
	clockBins = int(24 * time.Hour / ClockBin)
	// maxAtRisk is the count at which a gap bin is halved.
	maxAtRisk = 64
	// clockFade is what a day leaves of a clock bin's counts.
	clockFade = 0.85
	// maxClockDays bounds how far back one gap is counted.
	maxClockDays = 3
	// priorWeight is the weight of the prior, in observations.
	priorWeight = 1.0
	// gapPrior is the chance that a gap ends within a bin before anything is known.
	gapPrior = 0.15
	// clockPrior is the chance of a start in a clock bin before anything is known.
	clockPrior = 0.5 / float64(clockBins)
)

// SizeBytes is the memory that the history of one model takes.
const SizeBytes = int(unsafe.Sizeof(History{}))

// gapEdges are the bounds of the gap bins, from zero to SessionGap.
var gapEdges = newGapEdges()

func newGapEdges() [gapBins + 1]time.Duration {
	var out [gapBins + 1]time.Duration
	for i := 1; i <= gapBins; i++ {
		out[i] = time.Duration(math.Pow(SessionGap.Seconds(), float64(i)/gapBins) * float64(time.Second))
	}
	out[gapBins] = SessionGap
	return out
}

// count is how often something happened out of how often it could.
type count struct {
	events, atRisk float32
}

func (c count) halved() count {
	return count{c.events / 2, c.atRisk / 2}
}

func (c count) chance(prior float64) float64 {
	return (float64(c.events) + priorWeight*prior) / (float64(c.atRisk) + priorWeight)
}

// History is what is known of one model. Its zero value knows nothing.
type History struct {
	gaps  [gapBins]count
	clock [clockBins]count
	// starts sums the clock bins.
	starts count
}

// Observe counts the gap between the last use and the next one.
func (h *History) Observe(last, next time.Time) {
	gap := next.Sub(last)
	if last.IsZero() || gap <= 0 {
		return
	}
	for i := range h.gaps {
		if gap < gapEdges[i] {
			return
		}
		h.countGap(i, gap < gapEdges[i+1])
	}
	h.observeClock(last.Add(SessionGap), next)
}

func (h *History) countGap(i int, ended bool) {
	c := &h.gaps[i]
	if c.atRisk >= maxAtRisk {
		*c = c.halved()
	}
	c.atRisk++
	if ended {
		c.events++
	}
}

// observeClock counts the bins in which the model could have been needed.
func (h *History) observeClock(from, next time.Time) {
	if earliest := next.Add(-maxClockDays * 24 * time.Hour); from.Before(earliest) {
		from = earliest
	}
	end := next.Truncate(ClockBin)
	for t := from.Truncate(ClockBin); !t.After(end); t = t.Add(ClockBin) {
		h.countClock(clockBin(t), t.Equal(end))
	}
}

func (h *History) countClock(i int, started bool) {
	old := h.clock[i]
	c := count{old.events * clockFade, old.atRisk*clockFade + 1}
	if started {
		c.events++
	}
	h.clock[i] = c
	h.starts.events += c.events - old.events
	h.starts.atRisk += c.atRisk - old.atRisk
}

func clockBin(t time.Time) int {
	day := t.Sub(t.Truncate(24 * time.Hour))
	return int(day / ClockBin)
}
