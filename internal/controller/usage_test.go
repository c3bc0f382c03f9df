package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

func TestObserveDemand(t *testing.T) {
	var c Controller
	c.Init()
	at := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	require.Equal(t, at, c.observeDemand("m", tallier.Demand{}, at).lastUsed, "a model first seen counts as just used")
	for range 20 {
		at = at.Add(30 * time.Second)
		c.observeDemand("m", tallier.Demand{Arrived: 1, Waiting: 1, LastUsed: at}, at)
	}
	u := c.observeDemand("m", tallier.Demand{LastUsed: at}, at.Add(20*time.Second))
	require.Equal(t, at, u.lastUsed, "an idle model keeps the time of its last use")
	require.Greater(t, u.Forecast(at.Add(20*time.Second), at, forecaster.ProbabilityWindow).UseProbability, 0.8)

	c.forgetRemovedModels(map[string]*recordv1.Model{})
	require.Empty(t, c.usage)
}

func TestEvictionRequestExpires(t *testing.T) {
	now := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	e := evictions{requested: map[string]eviction{"r": {"room for m", now.Add(evictionTTL)}}}
	require.Equal(t, "room for m", e.reason("r", now))
	require.Empty(t, e.reason("other", now))
	require.Empty(t, e.reason("r", now.Add(evictionTTL+1)))
}
