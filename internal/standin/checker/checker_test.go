package checker

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

func TestCheckEnginesReportsViolations(t *testing.T) {
	held := []EngineState{{Upstream: "a", MemoryBytes: 10, PeakBytes: 10, Replicas: map[string]string{"r-1": "m"}}}
	require.Equal(t, []string{"a: holds r-1 of m, which is not decided"}, CheckEngines(held, new(applier.State), held))
	require.Empty(t, CheckEngines(held, new(applier.State), nil), "a replica unloaded between the two reads is no violation")
	held[0].PeakBytes = 11
	require.Len(t, CheckEngines(held, new(applier.State), nil), 1)
}

func TestCheckCallsReportsViolations(t *testing.T) {
	notRun := verdict.Refuse(verdict.ReasonLogDown, 0, "x")
	mayHaveRun := verdict.RefuseMayHaveRun(verdict.ReasonUpstreamFailed, 0, "x")
	for _, tc := range []struct {
		name    string
		ran     int
		results []CallResult
		want    int
	}{
		{"ran twice", 2, []CallResult{{"k", nil}}, 1},
		{"not run but ran", 1, []CallResult{{"k", notRun}}, 1},
		{"answered but did not run", 0, []CallResult{{"k", nil}}, 1},
		{"ran once", 1, []CallResult{{"k", nil}, {"k", notRun}}, 0},
		{"may have run and ran", 1, []CallResult{{"k", mayHaveRun}, {"k", notRun}}, 0},
		{"not run and did not run", 0, []CallResult{{"k", notRun}}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Len(t, CheckCalls(map[string]int{"k": tc.ran}, tc.results), tc.want)
		})
	}
}
