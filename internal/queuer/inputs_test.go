package queuer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// TestRefusalSaysWhatItsEstimateWasComparedWith guards against refusals whose cause the log does not show.
func TestRefusalSaysWhatItsEstimateWasComparedWith(t *testing.T) {
	v1 := "v1"
	onDisk, inMemory := versionEngine("e1", v1), versionEngine("e2", v1)
	onDisk.OnDisk, inMemory.InHostMemory = []string{"m1"}, []string{"m1"}
	s := snapshot(onDisk, inMemory, versionEngine("e3", v1), versionEngine("e4", "v2", registrar.Model{Name: "m1"}))
	table := newTable()
	table.HasConductor, table.ConductorSilence = false, 1600*time.Millisecond
	bound := newRequest(1, 0)
	bound.Software, bound.StartByLimit = &v1, LimitEventTimeout
	in := table.inputsOf(bound, s, config(), start)
	require.EqualError(t, refusal(StartEstimate{Delay: 10400 * time.Millisecond, NeedsLoad: true}, bound, in),
		`no-upstream (not-run): model m1 adapter "": not loaded, ready in 10.4s (2s left until the event-timeout, only at software version "v1", `+
			`upstreams 3: loaded 0, loading 0, in host memory 1, on disk 1, no conductor for 1.6s)`)
}
