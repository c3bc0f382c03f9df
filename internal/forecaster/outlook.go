package forecaster

import (
	"math"
	"time"
)

const (
	// Horizon is how far an Outlook reaches.
	Horizon = 24 * time.Hour
	// SoonAfter is the time that SoonPerHour looks ahead.
	SoonAfter = 10 * time.Minute
	// ChanceWithin is the time that Chance looks ahead.
	ChanceWithin = time.Hour
)

// Outlook is what is expected of an idle model.
type Outlook struct {
	// NeedsPerHour is the most needs met for each hour that the model is kept
	// loaded and idle, over all times up to the horizon until which it could
	// be kept.
	NeedsPerHour float64
	// SoonPerHour is the needs met for each idle hour until SoonAfter.
	SoonPerHour float64
	// Chance is the chance that the model is needed within ChanceWithin.
	Chance float64
}

// Outlook returns what is expected of a model that was last used at last, the
// zero time for never, and is idle. It looks ahead until the horizon, which
// is at least ChanceWithin.
func (h *History) Outlook(now, last time.Time, horizon time.Duration) Outlook {
	w := walk{horizon: horizon.Hours(), alive: 1}
	if last.IsZero() {
		h.walkClock(&w, now, maxClockDays)
		return w.out
	}
	age := max(now.Sub(last), 0)
	if age < SessionGap {
		h.walkGaps(&w, age)
		now = now.Add(SessionGap - age)
	}
	h.walkClock(&w, now, int(min(age/(24*time.Hour), maxClockDays)))
	return w.out
}

// walk sums what is expected, bin by bin. Times are in hours.
type walk struct {
	horizon float64
	ahead   float64
	alive   float64 // chance that the model was not needed yet
	idle    float64 // expected idle hours
	out     Outlook
}

func (w *walk) isDone() bool { return w.ahead >= w.horizon }

// add goes through a bin of the given length in which the model is needed
// with the given chance.
func (w *walk) add(length, chance float64) {
	for _, mark := range [...]float64{SoonAfter.Hours(), ChanceWithin.Hours()} {
		if part := mark - w.ahead; part > 0 && part <= length {
			first := partOf(chance, part/length)
			w.advance(part, first)
			w.mark(mark)
			length -= part
			chance = 1 - (1-chance)/(1-first)
		}
	}
	if length > 0 {
		w.advance(length, chance)
	}
}

func (w *walk) advance(length, chance float64) {
	w.idle += w.alive * (1 - chance/2) * length
	w.alive *= 1 - chance
	w.ahead += length
	w.out.NeedsPerHour = max(w.out.NeedsPerHour, (1-w.alive)/w.idle)
}

func (w *walk) mark(at float64) {
	w.ahead = at // without rounding errors
	if at == SoonAfter.Hours() {
		w.out.SoonPerHour = (1 - w.alive) / w.idle
		return
	}
	w.out.Chance = 1 - w.alive
}

// walkGaps goes through the rest of the session's gap bins.
func (h *History) walkGaps(w *walk, age time.Duration) {
	for i := gapBin(age); i < gapBins && !w.isDone(); i++ {
		whole, left := gapEdges[i+1]-gapEdges[i], gapEdges[i+1]-age
		w.add(left.Hours(), partOf(h.gaps[i].chance(gapPrior), float64(left)/float64(whole)))
		age = gapEdges[i+1]
	}
}

func gapBin(age time.Duration) int {
	i := 0
	for i < gapBins-1 && age >= gapEdges[i+1] {
		i++
	}
	return i
}

// walkClock goes through the bins of the day. The days that the current gap
// has lasted count as days without a start.
func (h *History) walkClock(w *walk, now time.Time, missedDays int) {
	prior := (float64(h.starts.events) + 1) / (float64(h.starts.atRisk) + 1/clockPrior)
	fade, missed := float32(1), float32(0)
	for range missedDays {
		fade, missed = fade*clockFade, missed*clockFade+1
	}
	left := ClockBin - now.Sub(now.Truncate(ClockBin))
	for i := clockBin(now); !w.isDone(); i = (i + 1) % clockBins {
		c := count{h.clock[i].events * fade, h.clock[i].atRisk*fade + missed}
		w.add(left.Hours(), partOf(c.chance(prior), float64(left)/float64(ClockBin)))
		left = ClockBin
	}
}

// partOf returns the chance in a part of a bin, at an even rate.
func partOf(chance, part float64) float64 {
	if part >= 1 {
		return chance
	}
	return 1 - math.Pow(1-chance, part)
}
