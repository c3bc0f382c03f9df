package rater

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRisingRateIsExtrapolatedAndDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Rate
	require.Zero(t, r.Forecast(now))
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		r.Add(3, now) // 30 a second
	}
	require.Greater(t, r.Forecast(now), r.At(now))
	require.InDelta(t, 30, r.quickAt(now), 8)
	now = now.Add(20 * time.Second)
	require.Less(t, r.Forecast(now), 1.0)
}

func TestSmallRateIsNotExtrapolated(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Rate
	r.Add(5, now)
	require.Equal(t, r.At(now), r.Forecast(now))
}

func TestAssumedRateDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Rate
	r.Set(10, now)
	require.InDelta(t, 10, r.Forecast(now), 1e-9)
	require.InDelta(t, 10*0.3679, r.At(now.Add(window)), 0.01)
}
