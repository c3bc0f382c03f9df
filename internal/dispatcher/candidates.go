package dispatcher

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/router"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
)

// replicas returns the loaded replicas that can serve the request.
func (d *Dispatcher) replicas(req *callerv1.GenerateRequest, now time.Time) []router.Candidate {
	var loaded []applier.Replica
	d.Keeper.View(func(s *applier.State) {
		for _, id := range s.ReplicaIDs(req.GetModel()) {
			r, _ := s.Replica(id)
			if r.IsUsable() && (req.GetAdapter() == "" || r.Adapters[req.GetAdapter()] == applier.PhaseLoaded) {
				loaded = append(loaded, r)
			}
		}
	})
	var out []router.Candidate
	for _, r := range loaded {
		v, ok := d.Monitor.View(r.Upstream)
		if !ok || !v.IsUsable(now) || v.Report.GetIncarnation() != r.UpstreamIncarnation {
			continue
		}
		out = append(out, router.Candidate{
			Upstream: r.Upstream, Incarnation: r.UpstreamIncarnation, Replica: r.ID, Address: v.Config.GetAddress(),
			Load: v.Load(), Slots: int(v.Report.GetSlots()), Latency: v.Latency, Distance: d.distance(v),
		})
	}
	return out
}

// services returns the usable upstreams of a plain service.
func (d *Dispatcher) services(name string, now time.Time) []router.Candidate {
	var out []router.Candidate
	for up, v := range d.Monitor.Views() {
		if v.Config.GetService() == name && v.IsUsable(now) {
			out = append(out, router.Candidate{
				Upstream: up, Incarnation: v.Report.GetIncarnation(), Address: v.Config.GetAddress(),
				Load: v.Load(), Slots: int(v.Report.GetSlots()), Latency: v.Latency, Distance: d.distance(v),
			})
		}
	}
	return out
}

// crossDataCentreRTT is the round-trip time to an upstream in another data
// centre.
const crossDataCentreRTT = 2 * time.Millisecond

// distance returns the round-trip time to an upstream.
func (d *Dispatcher) distance(v monitor.View) time.Duration {
	if v.Config.GetDataCentre() == d.DataCentre {
		return 0
	}
	return crossDataCentreRTT
}
