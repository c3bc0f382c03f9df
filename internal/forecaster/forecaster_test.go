package forecaster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosedrift/primrosedrift/internal/forecaster"
)

var monday = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// dailyHistory returns a history with one use a day at the same hour, and the
// last use.
func dailyHistory(hour, days int) (*forecaster.History, time.Time) {
	var h forecaster.History
	last := time.Time{}
	for d := range days {
		at := monday.AddDate(0, 0, d).Add(time.Duration(hour) * time.Hour)
		h.Observe(last, at)
		last = at
	}
	return &h, last
}

func TestForecastLearnsTimeOfDay(t *testing.T) {
	h, last := dailyHistory(8, 10)
	day := last.Truncate(24*time.Hour).AddDate(0, 0, 1)
	before := h.Forecast(day.Add(7*time.Hour+55*time.Minute), last, forecaster.ProbabilityWindow)
	evening := h.Forecast(day.Add(-4*time.Hour), last, forecaster.ProbabilityWindow)
	require.Greater(t, before.SoonUsesPerIdleHour, 2.0)
	require.Greater(t, before.UseProbability, 0.5)
	require.Less(t, evening.UseProbability, 0.1)
}

func TestForecastLearnsGapLength(t *testing.T) {
	var h forecaster.History
	at := monday
	for range 50 {
		next := at.Add(30 * time.Second)
		h.Observe(at, next)
		at = next
	}
	require.Greater(t, h.Forecast(at.Add(20*time.Second), at, forecaster.ProbabilityWindow).UseProbability, 0.9)
	var none forecaster.History
	known, unknown := h.Forecast(at.Add(25*time.Second), at, forecaster.Horizon), none.Forecast(at.Add(25*time.Second), at, forecaster.Horizon)
	require.Greater(t, known.MaxUsesPerIdleHour, 2*unknown.MaxUsesPerIdleHour)
}

func TestForecastFollowsChangedPattern(t *testing.T) {
	h, last := dailyHistory(8, 10)
	for d := range 10 {
		at := monday.AddDate(0, 0, 10+d).Add(15 * time.Hour)
		h.Observe(last, at)
		last = at
	}
	day := last.Truncate(24*time.Hour).AddDate(0, 0, 1)
	require.Greater(t, h.Forecast(day.Add(15*time.Hour), last, forecaster.ProbabilityWindow).UseProbability, 0.5)
	require.Less(t, h.Forecast(day.Add(8*time.Hour), last, forecaster.ProbabilityWindow).UseProbability, 0.3)
}

func TestForecastIsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h forecaster.History
		at := monday
		for range rapid.IntRange(0, 50).Draw(t, "uses") {
			next := at.Add(time.Duration(rapid.Int64Range(0, int64(100*time.Hour)).Draw(t, "gap")))
			h.Observe(at, next)
			at = next
		}
		o := h.Forecast(at.Add(time.Duration(rapid.Int64Range(0, int64(100*time.Hour)).Draw(t, "age"))), at, forecaster.Horizon)
		require.True(t, o.UseProbability >= 0 && o.UseProbability <= 1, "probability %v", o.UseProbability)
		require.GreaterOrEqual(t, o.MaxUsesPerIdleHour, o.SoonUsesPerIdleHour)
		require.GreaterOrEqual(t, o.SoonUsesPerIdleHour, 0.0)
	})
}

func ExampleHistory_Forecast() {
	h, last := dailyHistory(8, 10)
	fmt.Println(forecaster.SizeBytes, h.Forecast(last.Add(23*time.Hour+50*time.Minute), last, forecaster.ProbabilityWindow).UseProbability > 0.5)
	// Output: 968 true
}

func BenchmarkForecast(b *testing.B) {
	h, last := dailyHistory(8, 10)
	for b.Loop() {
		h.Forecast(last.Add(time.Minute), last, forecaster.Horizon)
	}
}
