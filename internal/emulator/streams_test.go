package emulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
)

// duringRelease is manyModels in the middle of a release, with streams that clients take up
// again and upstreams of either version that crash.
func duringRelease(seed uint64) Setup {
	s := manyModels(seed)
	s.SoftwareOf = func(engine int) string { return fmt.Sprintf("v%d", 1+engine%2) }
	s.Kinds[2].IsResumable, s.Kinds[2].MeanRun = true, 8*time.Second
	for i, at := range []float64{6, 9, 13, 17, 21, 25, 29, 33} {
		for k := range 2 {
			s.Outages = append(s.Outages, Outage{Engine: (5*i + 3*k) % s.Engines, At: time.Duration(at*1000) * time.Millisecond, Duration: 2 * time.Second})
		}
	}
	return s
}

// servedShare returns the share of the requests that were served.
func servedShare(r Result) float64 {
	return float64(r.InTime+r.Late) / float64(max(r.InTime+r.Late+r.Refused, 1))
}

// withoutVersions is arranger.Plan without knowledge of which requests are for the rest of streams.
func withoutVersions(f arranger.Fleet) []arranger.Move {
	f.Demands = slices.DeleteFunc(slices.Clone(f.Demands), func(d arranger.Demand) bool { return d.Software != nil })
	return arranger.Plan(f)
}

// TestStreamsThatClientsTakeUpAreServed guards against rests of streams that are refused more often than new requests, and against serving them at the cost of these.
func TestStreamsThatClientsTakeUpAreServed(t *testing.T) {
	const seeds = 6
	play := func(p Policy) (rest, fresh Result) {
		for seed := range uint64(seeds) {
			for kind, x := range Simulate(duringRelease(seed), p) {
				sum := &rest
				if value[kind] > 0 {
					sum = &fresh
				}
				sum.Arrived, sum.InTime, sum.Late = sum.Arrived+x.Arrived, sum.InTime+x.InTime, sum.Late+x.Late
				sum.Refused, sum.Interrupted = sum.Refused+x.Refused, sum.Interrupted+x.Interrupted
			}
		}
		return rest, fresh
	}
	rest, fresh := play(arranger.Plan)
	t.Logf("rest: %v (%.3f served); new: %v (%.3f served)", rest, servedShare(rest), fresh, servedShare(fresh))
	otherRest, otherFresh := play(withoutVersions)
	t.Logf("without versions, rest: %v (%.3f served); new: %v (%.3f served)", otherRest, servedShare(otherRest), otherFresh, servedShare(otherFresh))
	require.GreaterOrEqual(t, servedShare(rest), servedShare(fresh))
	require.Greater(t, servedShare(rest), servedShare(otherRest))
	require.GreaterOrEqual(t, servedShare(fresh), servedShare(otherFresh)-0.02)
}
