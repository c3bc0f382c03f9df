package syncer

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// NotifyRestart passes what is found out about a restart on to the watchers. Those that have
// requests for what the upstream held get it at once.
func (s *Server) NotifyRestart(r registrar.Restart, lost []registrar.Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delta.restartVersions == nil {
		s.delta.restartVersions = make(map[string]uint64)
	}
	s.delta.restartVersions[r.ID] = s.version + 1
	changes := viewChanges{removed: loadedAt(lost)}
	for _, w := range s.watchers {
		if !w.isUrgent && w.uses(changes) {
			w.isUrgent = true
		}
	}
	s.notifyWatchersLocked()
}

// applyRestarts applies what an instance reports of restarts. Evidence that an order explains,
// or a view that the instance has not seen yet, is only a reason to request the state.
func (s *Server) applyRestarts(list []registrar.Restart, now time.Time) {
	for i, r := range list {
		if r.Certainty == registrar.Evident && !s.Conductor.MayHaveRestarted(r) {
			list[i].Certainty = registrar.Suspected
		}
		if r.Certainty == registrar.Evident || r.Certainty == registrar.Suspected {
			s.Conductor.Suspect(r.Incarnation, now.Add(-r.Age))
		}
	}
	s.Conductor.Upstreams.MergeRestarts(list, now)
}

// restartsSinceLocked returns the restarts that have changed since a version of the view.
func (s *Server) restartsSinceLocked(list []registrar.Restart, base uint64) []registrar.Restart {
	var out []registrar.Restart
	for _, r := range list {
		if base == 0 || s.delta.restartVersions[r.ID] > base {
			out = append(out, r)
		}
	}
	if len(list) == 0 {
		clear(s.delta.restartVersions)
	}
	return out
}

func encodeRestarts(list []registrar.Restart) []*peerv1.Restart {
	var out []*peerv1.Restart
	for _, r := range list {
		out = append(out, &peerv1.Restart{
			Upstream: r.ID, Born: r.StartedAtMs, Orders: r.NumOrders, AgeMs: milliseconds(r.Age),
			IsSuspected: r.Certainty == registrar.Suspected, IsConfirmed: r.Certainty == registrar.Confirmed, IsRefuted: r.Certainty == registrar.Refuted,
		})
	}
	return out
}

func decodeRestarts(list []*peerv1.Restart) []registrar.Restart {
	var out []registrar.Restart
	for _, r := range list {
		x := registrar.Restart{
			Incarnation: registrar.Incarnation{ID: r.GetUpstream(), StartedAtMs: r.GetBorn()}, NumOrders: r.GetOrders(),
			Certainty: registrar.Evident, Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
		}
		switch {
		case r.GetIsConfirmed():
			x.Certainty = registrar.Confirmed
		case r.GetIsRefuted():
			x.Certainty = registrar.Refuted
		case r.GetIsSuspected():
			x.Certainty = registrar.Suspected
		}
		out = append(out, x)
	}
	return out
}
