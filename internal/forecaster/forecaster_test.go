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

func TestOutlookLearnsTimeOfDay(t *testing.T) {
	h, last := dailyHistory(8, 10)
	day := last.Truncate(24*time.Hour).AddDate(0, 0, 1)
	before := h.Outlook(day.Add(7*time.Hour+55*time.Minute), last, forecaster.ChanceWithin)
	evening := h.Outlook(day.Add(-4*time.Hour), last, forecaster.ChanceWithin)
	require.Greater(t, before.SoonPerHour, 2.0)
	require.Greater(t, before.Chance, 0.5)
	require.Less(t, evening.Chance, 0.1)
}

func TestOutlookLearnsGapLength(t *testing.T) {
	var h forecaster.History
	at := monday
	for range 50 {
		next := at.Add(30 * time.Second)
		h.Observe(at, next)
		at = next
	}
	require.Greater(t, h.Outlook(at.Add(20*time.Second), at, forecaster.ChanceWithin).Chance, 0.9)
	var none forecaster.History
	known, unknown := h.Outlook(at.Add(25*time.Second), at, forecaster.Horizon), none.Outlook(at.Add(25*time.Second), at, forecaster.Horizon)
	require.Greater(t, known.NeedsPerHour, 2*unknown.NeedsPerHour)
}

func TestOutlookFollowsChangedPattern(t *testing.T) {
	h, last := dailyHistory(8, 10)
	for d := range 10 {
		at := monday.AddDate(0, 0, 10+d).Add(15 * time.Hour)
		h.Observe(last, at)
		last = at
	}
	day := last.Truncate(24*time.Hour).AddDate(0, 0, 1)
	require.Greater(t, h.Outlook(day.Add(15*time.Hour), last, forecaster.ChanceWithin).Chance, 0.5)
	require.Less(t, h.Outlook(day.Add(8*time.Hour), last, forecaster.ChanceWithin).Chance, 0.3)
}

func TestOutlookIsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h forecaster.History
		at := monday
		for range rapid.IntRange(0, 50).Draw(t, "uses") {
			next := at.Add(time.Duration(rapid.Int64Range(0, int64(100*time.Hour)).Draw(t, "gap")))
			h.Observe(at, next)
			at = next
		}
		o := h.Outlook(at.Add(time.Duration(rapid.Int64Range(0, int64(100*time.Hour)).Draw(t, "age"))), at, forecaster.Horizon)
		require.True(t, o.Chance >= 0 && o.Chance <= 1, "chance %v", o.Chance)
		require.GreaterOrEqual(t, o.NeedsPerHour, o.SoonPerHour)
		require.GreaterOrEqual(t, o.SoonPerHour, 0.0)
	})
}

func ExampleHistory_Outlook() {
	h, last := dailyHistory(8, 10)
	fmt.Println(forecaster.SizeBytes, h.Outlook(last.Add(23*time.Hour+50*time.Minute), last, forecaster.ChanceWithin).Chance > 0.5)
	// Output: 968 true
}

func BenchmarkOutlook(b *testing.B) {
	h, last := dailyHistory(8, 10)
	for b.Loop() {
		h.Outlook(last.Add(time.Minute), last, forecaster.Horizon)
	}
}
