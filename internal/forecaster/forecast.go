package forecaster

import (
	"math"
	"time"
)

const (
	// Horizon is the horizon of a full forecast.
	Horizon = 24 * time.Hour
	// SoonWindow is the window of Forecast.SoonUsesPerIdleHour.
	SoonWindow = 10 * time.Minute
	// ProbabilityWindow is the window of Forecast.UseProbability.
	ProbabilityWindow = time.Hour
)

// Forecast describes the next use of an idle model.
type Forecast struct {
	// MaxUsesPerIdleHour is the probability that the model is used before it is
	// unloaded, divided by the expected idle hours until the use or the unload.
	// It is the largest value over all unload times up to the horizon.
	MaxUsesPerIdleHour float64
	// SoonUsesPerIdleHour is the same ratio for an unload after SoonWindow.
	SoonUsesPerIdleHour float64
	// UseProbability is the probability that the model is used within
	// ProbabilityWindow.
	UseProbability float64
}

// Forecast returns the forecast at now for an idle model whose last use was at
// last, the zero time for never. The horizon must be at least ProbabilityWindow.
func (h *History) Forecast(now, last time.Time, horizon time.Duration) Forecast {
	w := projection{horizon: horizon.Hours(), survival: 1}
	if last.IsZero() {
		h.addClockBins(&w, now, maxLookbackDays)
		return w.forecast
	}
	age := max(now.Sub(last), 0)
	if age < SessionGap {
		h.addGapBins(&w, age)
		now = now.Add(SessionGap - age)
	}
	h.addClockBins(&w, now, int(min(age/(24*time.Hour), maxLookbackDays)))
	return w.forecast
}

// projection accumulates a Forecast bin by bin. Times are in hours.
type projection struct {
	horizon   float64
	elapsed   float64 // from now to the end of the last bin
	survival  float64 // probability of no use within the elapsed time
	idleHours float64 // expected idle time before a use, up to the elapsed time
	forecast  Forecast
}

func (w *projection) isDone() bool { return w.elapsed >= w.horizon }

// add appends a bin of the given length in hours, in which the model is used
// with the given probability. It splits the bin at the ends of SoonWindow and
// ProbabilityWindow.
func (w *projection) add(length, probability float64) {
	for _, window := range [...]float64{SoonWindow.Hours(), ProbabilityWindow.Hours()} {
		if part := window - w.elapsed; part > 0 && part <= length {
			first := partialProbability(probability, part/length)
			w.advance(part, first)
			w.recordWindow(window)
			length -= part
			probability = 1 - (1-probability)/(1-first)
		}
	}
	if length > 0 {
		w.advance(length, probability)
	}
}

// advance appends a bin without splitting it. A use in the bin is expected in
// its middle.
func (w *projection) advance(length, probability float64) {
	w.idleHours += w.survival * (1 - probability/2) * length
	w.survival *= 1 - probability
	w.elapsed += length
	w.forecast.MaxUsesPerIdleHour = max(w.forecast.MaxUsesPerIdleHour, (1-w.survival)/w.idleHours)
}

// recordWindow sets the field of the Forecast for the window that ends here.
func (w *projection) recordWindow(window float64) {
	w.elapsed = window // avoids rounding errors
	if window == SoonWindow.Hours() {
		w.forecast.SoonUsesPerIdleHour = (1 - w.survival) / w.idleHours
		return
	}
	w.forecast.UseProbability = 1 - w.survival
}

// addGapBins adds the gap bins from age to SessionGap.
func (h *History) addGapBins(w *projection, age time.Duration) {
	for i := gapBin(age); i < gapBins && !w.isDone(); i++ {
		width, remaining := gapEdges[i+1]-gapEdges[i], gapEdges[i+1]-age
		w.add(remaining.Hours(), partialProbability(h.gaps[i].probability(gapPrior), float64(remaining)/float64(width)))
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

// addClockBins adds the clock bins from now to the horizon. Each whole day of
// the current gap counts as a trial without an event in every bin.
func (h *History) addClockBins(w *projection, now time.Time, daysIdle int) {
	prior := (float64(h.clockTotal.events) + 1) / (float64(h.clockTotal.trials) + 1/clockPrior)
	decay, extraTrials := float32(1), float32(0)
	for range daysIdle {
		decay, extraTrials = decay*dailyDecay, extraTrials*dailyDecay+1
	}
	remaining := ClockBinWidth - now.Sub(now.Truncate(ClockBinWidth))
	for i := clockBin(now); !w.isDone(); i = (i + 1) % clockBins {
		c := trialCount{h.clock[i].events * decay, h.clock[i].trials*decay + extraTrials}
		w.add(remaining.Hours(), partialProbability(c.probability(prior), float64(remaining)/float64(ClockBinWidth)))
		remaining = ClockBinWidth
	}
}

// partialProbability returns the probability of an event in a fraction of a
// bin, given the probability in the whole bin and a constant hazard rate.
func partialProbability(probability, fraction float64) float64 {
	if fraction >= 1 {
		return probability
	}
	return 1 - math.Pow(1-probability, fraction)
}
