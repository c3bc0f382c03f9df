package arranger

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// twoVersions returns a fleet with two upstreams at v1 and two at v2, which hold two models each.
func twoVersions() (f Fleet, v1 string) {
	f = fleet(4, 12)
	for i := range f.Upstreams {
		f.Upstreams[i].Software = []string{"v1", "v1", "v2", "v2"}[i]
	}
	f.addModels(0, "m0", "m1")
	f.addModels(1, "m2", "m3")
	f.addModels(2, "m4", "m5")
	f.addModels(3, "m6", "m7")
	for _, m := range []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"} {
		f.addDemand(m, "", 1, 0)
	}
	return f, "v1"
}

// busyFor makes an upstream carry out an order.
func (f *Fleet) busyFor(engine int, d time.Duration) {
	f.Upstreams[engine].IsBusy, f.Upstreams[engine].BusyFor = true, d
}

// TestStreamsAreServedBesideNewRequests guards against streams that wait in vain because each upstream of their version holds models that new requests use.
func TestStreamsAreServedBesideNewRequests(t *testing.T) {
	f, v1 := twoVersions()
	for i := range f.Demands {
		f.Demands[i].Waiting, f.Demands[i].Rate = 1, 2
	}
	f.Upstreams[0].OnDisk = append(f.Upstreams[0].OnDisk, "m8")
	f.Demands = append(f.Demands, Demand{Model: "m8", Software: &v1, Waiting: 1})
	require.Contains(t, loadOrders(Plan(f)), "e0 m8")
}

// TestStreamsDoNotWaitForABusyUpstream guards against streams that wait for a load of 6 s at the upstream that costs least, while another of their version is free.
func TestStreamsDoNotWaitForABusyUpstream(t *testing.T) {
	f, v1 := twoVersions()
	f.Upstreams[0].OnDisk = append(f.Upstreams[0].OnDisk, "m8")
	f.Upstreams[1].OnDisk = append(f.Upstreams[1].OnDisk, "m8")
	f.Upstreams[0].Models = f.Upstreams[0].Models[:1]
	f.busyFor(0, 5*time.Second)
	for i := range f.Demands {
		f.Demands[i].Rate = 1.5
	}
	f.Demands = append(f.Demands, Demand{Model: "m8", Software: &v1, Waiting: 1})
	require.Contains(t, loadOrders(Plan(f)), "e1 m8")
}

// TestNewRequestsDoNotTakeTheLastUpstreamOfAVersion guards against a load of 6 s for new requests at the only upstream that could serve streams which wait.
func TestNewRequestsDoNotTakeTheLastUpstreamOfAVersion(t *testing.T) {
	f, v1 := twoVersions()
	f.busyFor(0, 5*time.Second)
	f.Upstreams[1].Models, f.Upstreams[1].OnDisk = nil, []string{"m8"}
	f.Demands = slices.DeleteFunc(f.Demands, func(d Demand) bool { return d.Model == "m2" || d.Model == "m3" })
	f.addDemand("m9", "", 3, 4)
	f.Demands = append(f.Demands, Demand{Model: "m8", Software: &v1, Waiting: 1})
	loads := loadOrders(Plan(f))
	require.Contains(t, loads, "e1 m8")
	require.NotContains(t, loads, "e1 m9")
}

// TestDrainKeepsItsVictims guards against drains that change their victim again and again, so that neither ends.
func TestDrainKeepsItsVictims(t *testing.T) {
	f, _ := twoVersions()
	f.Upstreams = f.Upstreams[:1]
	f.Upstreams[0].Models[0].Running, f.Upstreams[0].Models[0].ReplacedBy = 2, "m8"
	f.Upstreams[0].Models[1].Running = 1
	f.Upstreams[0].OnDisk = append(f.Upstreams[0].OnDisk, "m8")
	f.addDemand("m8", "", 5, 3)
	moves := Plan(f)
	require.Len(t, moves, 1)
	require.Equal(t, []string{"m0"}, moves[0].ModelsToDrain, "m1 has fewer requests, and m0 drains already")
	f.Demands[0].Waiting = 1
	moves = Plan(f)
	require.Len(t, moves, 1)
	require.Equal(t, []string{"m0"}, moves[0].ModelsToDrain, "a new request waits because it drains")
	f.Upstreams[0].Models[1].Running = 0
	moves = Plan(f)
	require.Len(t, moves, 1)
	require.Equal(t, Order{Operation: Unload, Model: "m1"}, moves[0].Orders[0], "nothing has to end first")
}

// TestStreamsAndNewRequestsShareALoad guards against a second load of the model that streams wait for, while the first begins.
func TestStreamsAndNewRequestsShareALoad(t *testing.T) {
	f, v1 := twoVersions()
	f.addDemand("m8", "", 3, 2)
	f.Demands = append(f.Demands, Demand{Model: "m8", Software: &v1, Waiting: 1})
	loads := loadOrders(Plan(f))
	require.Len(t, loads, 1)
	require.Contains(t, []string{"e0 m8", "e1 m8"}, loads[0])
}

// TestStreamsTakeOverWhatDrainsForNewRequests guards against streams that wait behind a drain for requests which other upstreams could serve.
func TestStreamsTakeOverWhatDrainsForNewRequests(t *testing.T) {
	f, v1 := twoVersions()
	f.busyFor(1, 5*time.Second)
	f.Upstreams[0].Models[0].ReplacedBy, f.Upstreams[0].OnDisk = "m9", append(f.Upstreams[0].OnDisk, "m8")
	f.addDemand("m9", "", 2, 3)
	f.Demands = append(f.Demands, Demand{Model: "m8", Software: &v1, Waiting: 1})
	require.Contains(t, loadOrders(Plan(f)), "e0 m8")
}

// TestLastReplicaForStreamsThatBrokeStays guards against the eviction of the only replica that can serve streams whose clients are about to return.
func TestLastReplicaForStreamsThatBrokeStays(t *testing.T) {
	var s Streams
	newFleet := func(at time.Duration) Fleet {
		f, _ := twoVersions()
		f.Now = now.Add(at)
		f.Upstreams[0].OnDisk = append(f.Upstreams[0].OnDisk, "m8")
		f.busyFor(1, 5*time.Second)
		f.addDemand("m8", "", 2, 1)
		return f
	}
	victim := func(f Fleet) string {
		moves := Plan(f)
		require.Len(t, moves, 1)
		require.Equal(t, "e0", moves[0].Upstream)
		return moves[0].Orders[0].Model
	}
	require.Equal(t, "m0", victim(newFleet(0)), "no streams")
	running := newFleet(0)
	running.Upstreams[0].Models[0].Running = 3
	s.Observe(&running)
	broken := newFleet(time.Second)
	s.Observe(&broken)
	require.Equal(t, "m1", victim(broken))
	later := newFleet(time.Second + streamReturnTime)
	s.Observe(&later)
	require.Equal(t, "m0", victim(later), "nobody has returned")
	one := newFleet(time.Second)
	for i := range one.Upstreams {
		one.Upstreams[i].Software = "v1"
	}
	s.Observe(&one)
	require.Len(t, one.Demands, 9, "with one version any upstream can serve them")
}
