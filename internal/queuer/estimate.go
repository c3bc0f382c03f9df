package queuer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// StartEstimate says when a request that has no slot yet could start.
type StartEstimate struct {
	// Delay is the estimated delay until then.
	Delay time.Duration
	// NeedsLoad says that no upstream has the model and the adapter loaded.
	NeedsLoad bool
	// IsElsewhere says that another instance has to send the request.
	IsElsewhere bool
	// IsStopping says that this instance stops before the request could end.
	IsStopping bool
	// IsBusy says that the requests ahead take longer than the request has. RetryAfter is then
	// its assigned retry delay, and NumWaiting how many requests wait for the same.
	IsBusy     bool
	RetryAfter time.Duration
	NumWaiting int
}

// Estimate returns when a request that has no slot yet could start.
func (t *Table) Estimate(req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) StartEstimate {
	return t.estimateBehind(t.numAhead(req), req, s, cfg, now)
}

// numAhead counts the waiting requests for the same model.
func (t *Table) numAhead(req Request) ahead {
	var a ahead
	for _, w := range t.waiting {
		if w.Request.Service == req.Service && w.Request.Model == req.Model {
			a.add(w.Request)
		}
	}
	return a
}

// overheads are the parts of an estimate that are assumed. Their zero value gives the earliest
// possible start.
type overheads struct {
	failover time.Duration // until a conductor sends orders again
	swap     time.Duration // see swapOverhead
	adapter  time.Duration // see adapterLoadDelay
	overdue  time.Duration // until the end of an overdue load
}

// estimateBehind is Estimate for a request that starts after some others of its model.
func (t *Table) estimateBehind(a ahead, req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) StartEstimate {
	o := overheads{swap: swapOverhead, adapter: adapterLoadDelay, overdue: minRetryDelay}
	if !t.HasConductor {
		o.failover = failoverLeft(t.ConductorSilence)
	}
	return t.estimateWith(o, a, req, s, cfg, now)
}

// failoverLeft returns when a conductor is expected to send orders again. One that was cut off or
// restarted is back within failoverDelay. If it is late, it is assumed to take as much time again as it
// is late, up to maxFailoverDelay, when another one takes over.
func failoverLeft(silence time.Duration) time.Duration {
	left := failoverDelay - silence
	if left < 0 {
		left = min(-left, maxFailoverDelay-silence)
	}
	return max(left, minRetryDelay)
}

// isTooLate reports whether the request is refused by its estimate. One for the rest of a stream
// is refused only if it cannot start in time in any case: new requests can go elsewhere, but only
// upstreams of its version can serve it.
func (t *Table) isTooLate(e StartEstimate, a ahead, req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) bool {
	if now.Add(e.Delay).After(req.StartBy) && req.Software != nil {
		if req.isHeldElsewhere(s) {
			a.anywhere = 0 // other versions may take them
		}
		e = t.estimateWith(overheads{}, a, req, s, cfg, now)
	}
	return now.Add(e.Delay).After(req.StartBy)
}

func (t *Table) estimateWith(o overheads, a ahead, req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) StartEstimate {
	t.init()
	svc, ok := cfg.Services[req.Service]
	if !ok {
		return StartEstimate{}
	}
	list := req.candidates(s)
	if req.Software != nil {
		if v := (version{req.Service, *req.Software}); len(list) > 0 {
			t.versionsSeen[v] = now
		} else if now.Sub(t.versionsSeen[v]) > versionReturnTime {
			return StartEstimate{Delay: absentVersionDelay}
		}
	}
	if req.Model == "" || svc.Engine == nil {
		return StartEstimate{Delay: t.plainDelay(a, list, now)}
	}
	model := svc.Engine.Models[req.Model]
	best := shortestPause(list, now) + o.failover + model.StoreLoadDuration + o.swap
	isLoaded := false
	limited := make(limits)
	for _, u := range list {
		if m, ok := u.Model(req.Model); ok {
			if req.Adapter == "" || slices.Contains(m.Adapters, req.Adapter) {
				if u.IsLimited && m.ReadyAt.IsZero() && !u.IsPaused(now) {
					limited.add(u, t.bucketOf(u, now), now)
					continue
				}
				isLoaded = isLoaded || m.ReadyAt.IsZero()
				best = min(best, max(readyIn(m, now, o.overdue), pauseOf(u, now)))
			} else if t.canStart(u, now) {
				best = min(best, max(readyIn(m, now, o.overdue), pauseOf(u, now))+o.failover+o.adapter)
			}
			continue
		}
		switch {
		case u.IsLimited:
		case slices.Contains(u.InHostMemory, req.Model):
			best = min(best, o.failover+model.HostLoadDuration+o.swap)
		case slices.Contains(u.OnDisk, req.Model):
			best = min(best, o.failover+model.DiskLoadDuration+o.swap)
		}
	}
	if len(limited) > 0 {
		delay := limited.after(a)
		isLoaded = isLoaded || delay == 0
		best = min(best, delay)
	}
	return StartEstimate{Delay: best, NeedsLoad: !isLoaded}
}

// plainDelay returns when an upstream without a model engine takes a request.
func (t *Table) plainDelay(a ahead, list []*registrar.Upstream, now time.Time) time.Duration {
	limited := make(limits)
	var others []*registrar.Upstream
	for _, u := range list {
		if u.IsLimited && !u.IsPaused(now) {
			limited.add(u, t.bucketOf(u, now), now)
		} else {
			others = append(others, u)
		}
	}
	switch {
	case len(limited) == 0:
		return shortestPause(list, now)
	case len(others) == 0:
		return limited.after(a)
	}
	return min(shortestPause(others, now), limited.after(a))
}

// pauseOf returns how long the upstream accepts nothing from this instance.
func pauseOf(u *registrar.Upstream, now time.Time) time.Duration {
	return max(0, u.PausedUntil.Sub(now))
}

// shortestPause returns how long it takes until this instance may send to one of the
// upstreams, zero if there are none.
func shortestPause(list []*registrar.Upstream, now time.Time) time.Duration {
	if len(list) == 0 {
		return 0
	}
	shortest := pauseOf(list[0], now)
	for _, u := range list[1:] {
		shortest = min(shortest, pauseOf(u, now))
	}
	return shortest
}

// readyIn returns the remaining duration of a load, zero if it is done. An
// overdue load may end at any time and is assumed to end after the given time.
func readyIn(m registrar.Model, now time.Time, overdue time.Duration) time.Duration {
	if m.ReadyAt.IsZero() {
		return 0
	}
	return max(m.ReadyAt.Sub(now), overdue)
}
