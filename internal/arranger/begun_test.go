package arranger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNewRequestsDoNotWaitForADrainForStreams guards against new requests that wait until models have drained at the only version that streams can use, while another upstream with a copy on its disk is free.
func TestNewRequestsDoNotWaitForADrainForStreams(t *testing.T) {
	f, v1 := twoVersions()
	for i := range 2 { // both upstreams of v1 have to drain
		for j := range f.Upstreams[i].Models {
			f.Upstreams[i].Models[j].Running = 2
		}
		f.Upstreams[i].OnDisk = append(f.Upstreams[i].OnDisk, "m8")
	}
	f.Upstreams[2].Models, f.Upstreams[2].OnDisk = nil, []string{"m8"}
	f.addDemand("m8", "", 3, 4)
	without := Plan(f)
	require.Contains(t, loadOrders(without), "e2 m8")
	f.Demands = append(f.Demands, Demand{Model: "m8", Software: &v1, Waiting: 1})
	require.Contains(t, loadOrders(Plan(f)), "e2 m8")
}
