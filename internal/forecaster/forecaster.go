// Package forecaster estimates when a model is used next.
//
// A History holds statistics of the gaps between the uses of one model. A short
// gap belongs to a session, and the age of the gap determines how likely the
// session continues. A long gap ends when the next session starts, which
// depends on the time of day: an office opens at eight regardless of when it
// closed. So a History keeps two histograms. The first counts, by the age of a
// gap, how often a gap of that age ended. The second counts, by the quarter of
// an hour of the day, how often a model that had been idle for at least
// SessionGap was used again.
//
// The rules:
//
//   - Every bin counts events and trials, so that its estimate is a hazard rate:
//     the probability of a use within the bin, given that there was none before.
//   - Counts of the gap histogram are halved at a limit, and those of the clock
//     histogram decay by the day, so that the estimates follow a changed pattern
//     of use.
//   - A History has a fixed size of SizeBytes and no pointers.
//   - Queries take the time as an argument. The package reads no clock and uses
//     no randomness.
package forecaster

import (
	"math"
	"time"
	"unsafe"
)

const (
	// SessionGap is the longest gap within a session.
	SessionGap = time.Hour
	// ClockBinWidth is the width of a bin of the clock histogram.
	ClockBinWidth = 15 * time.Minute

	gapBins   = 24
	clockBins = int(24 * time.Hour / ClockBinWidth)
	// maxTrials is the number of trials at which a gap bin is halved.
	maxTrials = 64
	// dailyDecay is the factor on the counts of a clock bin per day.
	dailyDecay = 0.85
	// maxLookbackDays limits how many days of a long gap, the last ones, are
	// counted in the clock histogram.
	maxLookbackDays = 3
	// priorWeight is the weight of the prior in trials.
	priorWeight = 1.0
	// gapPrior is the prior probability that a gap ends within a gap bin.
	gapPrior = 0.15
	// clockPrior is the prior probability that a session starts in a clock bin.
	clockPrior = 0.5 / float64(clockBins)
)

// SizeBytes is the size of a History in bytes.
const SizeBytes = int(unsafe.Sizeof(History{}))

// gapEdges are the edges of the gap bins, from zero to SessionGap. Their spacing
// grows exponentially.
var gapEdges = newGapEdges()

func newGapEdges() [gapBins + 1]time.Duration {
	var out [gapBins + 1]time.Duration
	for i := 1; i <= gapBins; i++ {
		out[i] = time.Duration(math.Pow(SessionGap.Seconds(), float64(i)/gapBins) * float64(time.Second))
	}
	out[gapBins] = SessionGap
	return out
}

// trialCount is the number of trials and the number of those with an event.
type trialCount struct {
	events, trials float32
}

func (c trialCount) halved() trialCount {
	return trialCount{c.events / 2, c.trials / 2}
}

func (c trialCount) probability(prior float64) float64 {
	return (float64(c.events) + priorWeight*prior) / (float64(c.trials) + priorWeight)
}

// History holds the use statistics of one model. Its zero value has no
// observations.
type History struct {
	gaps  [gapBins]trialCount
	clock [clockBins]trialCount
	// clockTotal is the sum of the clock bins.
	clockTotal trialCount
}

// Observe counts the gap between two successive uses.
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
	if c.trials >= maxTrials {
		*c = c.halved()
	}
	c.trials++
	if ended {
		c.events++
	}
}

// observeClock counts a trial in every clock bin between from and next, and an
// event in the bin of next.
func (h *History) observeClock(from, next time.Time) {
	if earliest := next.Add(-maxLookbackDays * 24 * time.Hour); from.Before(earliest) {
		from = earliest
	}
	end := next.Truncate(ClockBinWidth)
	for t := from.Truncate(ClockBinWidth); !t.After(end); t = t.Add(ClockBinWidth) {
		h.countClock(clockBin(t), t.Equal(end))
	}
}

func (h *History) countClock(i int, started bool) {
	old := h.clock[i]
	c := trialCount{old.events * dailyDecay, old.trials*dailyDecay + 1}
	if started {
		c.events++
	}
	h.clock[i] = c
	h.clockTotal.events += c.events - old.events
	h.clockTotal.trials += c.trials - old.trials
}

func clockBin(t time.Time) int {
	day := t.Sub(t.Truncate(24 * time.Hour))
	return int(day / ClockBinWidth)
}
