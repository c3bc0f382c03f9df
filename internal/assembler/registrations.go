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
	age, isKnown := a.upstreamFollower.Age() // of what was known before: all records are younger
	for _, u := range changes {
		if u == nil {
			continue
		}
		a.losses.RecordRegistration(u.Incarnation(), now)
		if isKnown {
			a.upstreamTable.RecordAlive(u.Incarnation(), now.Add(-age-registrar.MaxRegistrationDelay))
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

// passRestartOn passes what is found out about the restart of an upstream on to the conductor
// and the watchers of the view.
func (a *Assembler) passRestartOn(r registrar.Restart, lost []registrar.Model, why string) {
	a.Log.Info("upstream restart "+r.Certainty.String(), zap.String("upstream", r.ID), zap.Int64("born", r.StartedAtMs), zap.Int64("orders", r.NumOrders),
		zap.Int("models", len(lost)), zap.Duration("age", r.Age), zap.Bool("own", r.IsOwn), zap.String("why", why))
	a.metrics.restarts.WithLabelValues(r.Certainty.String()).Inc()
	if r.Certainty != registrar.Suspected {
		a.server.NotifyRestart(r, lost)
	}
	if r.IsOwn {
		a.client.ReportNow()
	}
	if a.lease.IsHolder() && (r.Certainty == registrar.Suspected || r.Certainty == registrar.Evident) {
		a.conductor.Suspect(r.Incarnation, time.Now().Add(-r.Age))
	}
}
