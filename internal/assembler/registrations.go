package assembler

import (
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/follower"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// applyUpstreams applies registrations of upstreams. If isSnapshot is set, the
// records are the complete set and replace all known registrations.
func (a *Assembler) applyUpstreams(records []follower.Record, isSnapshot bool) {
	changes := make(map[string]*registrar.Upstream, len(records))
	for _, r := range records {
		if r.Value == nil {
			changes[r.Key] = nil
			continue
		}
		u, err := a.DecodeUpstream(r.Key, r.Value)
		if err != nil {
			a.Log.Warn("registration could not be decoded; skipped", zap.Int64("offset", r.Offset), logger.Error(err))
			continue
		}
		changes[r.Key] = u
	}
	a.logUpstreams(changes)
	now := time.Now()
	if isSnapshot {
		a.upstreamTable.Replace(changes, now)
	} else {
		a.upstreamTable.ApplyRegistrations(changes, now)
		a.recordRegistrations(changes, now)
	}
	a.observeSoftware(now)
	if a.lease.IsHolder() {
		a.conductor.Wake()
	}
}

// recordRegistrations records that upstreams lived when they wrote the registrations. Those
// that are read late, after an outage, are left out.
func (a *Assembler) recordRegistrations(changes map[string]*registrar.Upstream, now time.Time) {
	if !a.upstreamTable.IsComplete(now) {
		return
	}
	for _, u := range changes {
		if u != nil {
			a.losses.RecordRegistration(u.Incarnation(), now)
		}
	}
}

// logUpstreams logs the upstreams that are new, restarted or started to drain.
func (a *Assembler) logUpstreams(changes map[string]*registrar.Upstream) {
	before := a.upstreamTable.Snapshot()
	for id, u := range changes {
		old := before.ByID[id]
		switch {
		case u == nil:
		case old == nil || old.StartedAtMs != u.StartedAtMs:
			a.Log.Info("upstream found", zap.String("upstream", id), zap.String("service", u.Service),
				zap.Int64("born", u.StartedAtMs), zap.String("software", u.Software), zap.String("data-centre", u.DataCentre), zap.Int("models", len(u.Models)))
		case u.IsLeaving && !old.IsLeaving:
			a.Log.Info("upstream leaves", zap.String("upstream", id), zap.Int64("born", u.StartedAtMs))
		}
	}
}
