// Package rater smooths arrival rates and forecasts rising ones.
//
// The workload that it is designed for: demand shifts from one model to another
// within a few seconds, and another replica of a model takes as long to load. A
// rate over a long window shows the shift too late, one over a short window is
// mostly noise. So a rise is extrapolated only above a rate that noise does not
// reach.
package rater

import (
	"math"
	"time"
)

const (
	// window is the time constant of the smoothed rate.
	window = 4 * time.Second
	// quickWindow is the time constant of the quick rate, which shows a rise early.
	quickWindow = 1200 * time.Millisecond
	// minForecast is the least quick rate, in requests per second, that is
	// extrapolated.
	minForecast = 8.0
	// riseFactor is the multiple of the difference between the quick and the smoothed
	// rate that a forecast adds to the quick rate.
	riseFactor = 1.0
)

// Rate is a smoothed arrival rate. Its zero value is a rate of 0.
type Rate struct {
	value, quick float64 // per second
	last         time.Time
}

// Add adds n arrivals at the time now.
func (r *Rate) Add(n int, now time.Time) {
	if n == 0 {
		return
	}
	r.value = r.At(now) + float64(n)/window.Seconds()
	r.quick = r.quickAt(now) + float64(n)/quickWindow.Seconds()
	r.last = now
}

// Set sets the rate, in requests per second. Earlier arrivals no longer count.
func (r *Rate) Set(perSecond float64, now time.Time) {
	r.value, r.quick, r.last = perSecond, 0, now
}

// At returns the rate in requests per second.
func (r *Rate) At(now time.Time) float64 {
	return r.value * r.decay(now, window)
}

func (r *Rate) quickAt(now time.Time) float64 {
	return r.quick * r.decay(now, quickWindow)
}

// Forecast returns the rate, in requests per second, that is expected when a load
// that starts now is done. A rising rate is assumed to keep rising.
func (r *Rate) Forecast(now time.Time) float64 {
	v, q := r.At(now), r.quickAt(now)
	if q < minForecast || q < v {
		return v
	}
	return q + riseFactor*(q-v)
}

// decay returns the factor by which a rate with this time constant has decayed
// since the last arrival.
func (r *Rate) decay(now time.Time, window time.Duration) float64 {
	if r.last.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(r.last).Seconds() / window.Seconds())
}
