package syncer

import "time"

const (
	// maxSweepDelay is how late a sweep of the members may be. The conductor sweeps every retryDelay.
	maxSweepDelay = 500 * time.Millisecond
	// maxPause bounds the time that does not count for members because this process was paused. After more
	// than that the lease has ended as well.
	maxPause = 8 * time.Second
)

// sweepLocked drops the members whose last report is too long ago. If the sweep before it is longer ago than
// maxSweepDelay, the process was paused, and there may be reports that it has not read: that time does
// not count, up to maxPause.
func (s *Server) sweepLocked(now time.Time) {
	lost := now.Sub(s.sweptAt) - retryDelay
	if lost > maxSweepDelay && lost < maxPause {
		for name, m := range s.members {
			m.reportedAt = m.reportedAt.Add(lost)
			s.members[name] = m
		}
	}
	s.sweptAt = now
	for name, m := range s.members {
		if now.Sub(m.reportedAt) > memberTTL {
			delete(s.members, name)
			s.removed[name] = s.version + 1
			delete(s.delta.responses, name)
			delete(s.watchers, name)
			s.Conductor.RemoveInstance(name)
			s.notifyWatchersLocked()
		}
	}
}

// endSweepsWithoutLease makes the next sweep the first one if this instance does not hold the lease: other
// instances do not report to it, and the time until it holds the lease again is not a pause.
func (s *Server) endSweepsWithoutLease() {
	if s.IsHolder() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweptAt = time.Time{}
}
