package relayer

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// cutTimeout is how long an attempt may bring nothing while the links of the instance to the
	// upstreams are cut, and cutEventGaps the same for a stream, in pauses that are still on time.
	// It is not 0, since connections that exist may live on while new ones fail.
	cutTimeout   = time.Second
	cutEventGaps = 4
	// cutShare is the share of the time left that an attempt may wait for its response.
	cutShare = 3
	// cutCheckInterval is the time between two looks at the links.
	cutCheckInterval = 100 * time.Millisecond
)

// errLinksCut ends an attempt that has brought nothing while the links are cut, so that a peer can
// serve the request while its client still waits.
var errLinksCut error = linksCutError{}

// linksCutError counts as a passed deadline: what has arrived before is read first.
type linksCutError struct{}

func (linksCutError) Error() string {
	return "no response or event, and the links to the upstreams are cut"
}

// Is supports errors.Is.
func (linksCutError) Is(target error) bool { return target == context.DeadlineExceeded }

// mayRunAgain reports whether the request may run at several upstreams.
func (c *call) mayRunAgain() bool { return c.route.MayRetry() || c.isResumable() }

// cutWatch cancels an attempt that has no response after some time, if the links are cut then or
// later.
type cutWatch struct {
	isCut  func() bool
	cancel context.CancelCauseFunc
	isOver atomic.Bool
	first  *time.Timer
}

// watchCut begins to watch an attempt that has some time left. It returns nil if there is nothing to
// watch.
func (c *call) watchCut(remaining time.Duration, cancel context.CancelCauseFunc) *cutWatch {
	if c.Links == nil || !c.mayRunAgain() {
		return nil
	}
	w := &cutWatch{isCut: c.Links.IsCut, cancel: cancel}
	w.first = time.AfterFunc(min(cutTimeout, remaining/cutShare), w.check)
	return w
}

func (w *cutWatch) check() {
	switch {
	case w.isOver.Load():
	case w.isCut():
		w.cancel(errLinksCut)
	default:
		time.AfterFunc(cutCheckInterval, w.check)
	}
}

// stop ends the watch. A nil cutWatch has none.
func (w *cutWatch) stop() {
	if w != nil {
		w.isOver.Store(true)
		w.first.Stop() // or it keeps the request for its time
	}
}
