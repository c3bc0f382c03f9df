// Package rater smooths rates of arrivals, and forecasts those that rise.
//
// The load that it answers: demand moves from one model to another within a few
// seconds, and another copy of a model takes as long to load. A rate over a long
// window shows the move too late, one over a short window is mostly noise. So a
// rise counts only above a rate that noise does not reach.
package rater

import (
	"math"
	"time"
)

const (
	// window is the time constant of the smoothed rate.
	window = 4 * time.Second
	// quickWindow is the time constant of the rate that shows a rise early.
	quickWindow = 1200 * time.Millisecond
	// minForecast is the rate per second from which a rise is taken for one, and
	// gain how far it is drawn out.
	minForecast = 8.0
	gain        = 1.0
)

// Rate is a smoothed rate of arrivals. Its zero value has seen none.
type Rate struct {
	value, quick float64 // per second
	last         time.Time
}

// Add notes arrivals.
func (r *Rate) Add(n int, now time.Time) {
	if n == 0 {
		return
	}
	r.value = r.At(now) + float64(n)/window.Seconds()
	r.quick = r.quickAt(now) + float64(n)/quickWindow.Seconds()
	r.last = now
}

// Assume sets the rate to what it is believed to be, in requests per second.
func (r *Rate) Assume(perSecond float64, now time.Time) {
	r.value, r.quick, r.last = perSecond, 0, now
}

// At returns the rate in requests per second.
func (r *Rate) At(now time.Time) float64 {
	return r.value * r.decay(now, window)
}

func (r *Rate) quickAt(now time.Time) float64 {
	return r.quick * r.decay(now, quickWindow)
}

// Forecast returns the rate when a load is done that begins now, if it goes on
// rising.
func (r *Rate) Forecast(now time.Time) float64 {
	v, q := r.At(now), r.quickAt(now)
	if q < minForecast || q < v {
		return v
	}
	return q + gain*(q-v)
}

func (r *Rate) decay(now time.Time, window time.Duration) float64 {
	if r.last.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(r.last).Seconds() / window.Seconds())
}
