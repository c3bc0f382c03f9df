package endchecker

import (
	"context"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// tickInterval is the time between two looks at the second connections. The connections of a process that crashes
	// end within it.
	tickInterval = 25 * time.Millisecond
	// stillTime is the time between two looks from which on this process counts as having stood still. An upstream
	// that crashes takes longer until it is back.
	stillTime = 500 * time.Millisecond
	// resumeTime is how long after it stood still the process may take to read what has arrived meanwhile.
	resumeTime = time.Second
	// settleTime is how long a second connection has to stay open until it counts: an upstream without room accepts a
	// connection and then resets it.
	settleTime = 25 * time.Millisecond
	// minHoldDelay and maxHoldDelay bound the time until a second connection is tried again after one has failed.
	minHoldDelay, maxHoldDelay = 100 * time.Millisecond, 1600 * time.Millisecond
	// listenTimeout bounds how long the end of a response waits for new connections.
	listenTimeout = 300 * time.Millisecond
)

// Process identifies the process of an upstream.
type Process struct {
	registrar.Incarnation
	Address string
}

// Checker holds second connections to the processes whose responses are watched. Its zero value is ready to use.
type Checker struct {
	mu        sync.Mutex
	processes map[Process]*process // those with responses. While there are any, a goroutine looks at them.
	isRunning bool                 // the goroutine
	tickedAt  time.Time
	resumedAt time.Time // when this process ran again after it stood still
}

// process is the state of one process of an upstream. Its fields are guarded by the mutex of the Checker.
type process struct {
	Process
	pool    *courier.Pool
	watches map[*Watch]bool
	second  *second
	// isHolding says that a second connection is being opened, until cancel is called.
	isHolding bool
	cancel    context.CancelFunc
	holdDelay time.Duration
	holdAt    time.Time // of the next try
	isLeaving bool
}

// second is a second connection. It is closed when no response refers to it and it has been replaced.
type second struct {
	*courier.Held
	numRefs    int
	isReplaced bool
	endSeenAt  time.Time // zero while it is open
}

func (s *second) unref() {
	if s.numRefs--; s.numRefs == 0 && s.isReplaced {
		s.Close()
	}
}

// Watch watches the process of an upstream while it sends a response.
type Watch struct {
	checker *Checker
	process *process
	resp    *courier.Response
	sentAt  time.Time // of the request
	second  *second   // was open at the same time as the connection of the response, nil for none; guarded like process
}

// Watch begins to watch the process that sends a response to a request that was sent at a time. Stop must be called.
func (c *Checker) Watch(pool *courier.Pool, id Process, resp *courier.Response, sentAt time.Time) *Watch {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[id]
	if p == nil {
		// The first response has a second connection only from the next look on: most plain responses end before.
		p = &process{Process: id, pool: pool, watches: make(map[*Watch]bool)}
		if c.processes == nil {
			c.processes = make(map[Process]*process)
		}
		c.processes[id] = p
		if !c.isRunning {
			c.isRunning, c.tickedAt = true, time.Now()
			go c.run()
		}
	}
	w := &Watch{checker: c, process: p, resp: resp, sentAt: sentAt}
	p.watches[w] = true
	w.joinLocked()
	return w
}

// joinLocked makes the second connection of the process that of the response, if both are open.
func (w *Watch) joinLocked() {
	s := w.process.second
	if s == nil || s == w.second || s.State() != courier.HeldOpen || !w.resp.IsConnected() {
		return
	}
	w.leaveLocked()
	w.second = s
	s.numRefs++
}

func (w *Watch) leaveLocked() {
	if w.second != nil {
		w.second.unref()
		w.second = nil
	}
}

// Stop ends the watch. The second connection becomes available for requests if it was the last one, unless the upstream
// is leaving.
func (w *Watch) Stop(isLeaving bool) {
	c, p := w.checker, w.process
	c.mu.Lock()
	defer c.mu.Unlock()
	if !p.watches[w] {
		return
	}
	delete(p.watches, w)
	w.leaveLocked()
	p.isLeaving = isLeaving
	if len(p.watches) > 0 {
		return
	}
	delete(c.processes, p.Process)
	if p.isHolding {
		p.cancel()
	}
	switch {
	case p.second == nil:
	case isLeaving:
		p.second.Close() // some servers wait for connections without a request before they exit
	default:
		p.second.Release()
	}
}

// Collect returns what is known about the process after the end of the response. HasRestarted and IsLeaving are left to
// the caller.
func (w *Watch) Collect(ctx context.Context) Evidence {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	e := w.observe()
	if e.Second == SecondOpen {
		wait(ctx, tickInterval)
		stoodStill := e.StoodStill
		e = w.observe()
		e.StoodStill = e.StoodStill || stoodStill
	}
	if e.Second != SecondOpen {
		e.Listening = w.process.pool.TryListening(ctx, w.process.Address)
	}
	return e
}

// observe returns what the second connection shows now.
func (w *Watch) observe() Evidence {
	c := w.checker
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	hasResumed := c.resumedAt.After(w.sentAt) && now.Sub(c.resumedAt) < resumeTime
	e := Evidence{Second: SecondNone, StoodStill: now.Sub(c.tickedAt) >= stillTime || hasResumed}
	if w.second == nil {
		return e
	}
	switch w.second.State() {
	case courier.HeldOpen:
		e.Second = SecondOpen
	case courier.HeldEnded:
		if now.Before(w.second.ExpiresAt()) {
			e.Second, e.HasStatedTimeout = SecondEnded, w.second.HasStatedTimeout()
		}
	}
	return e
}

// run looks at the second connections until no response is watched.
func (c *Checker) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !c.tick(time.Now()) {
			return
		}
	}
}

// tick looks at the second connections, and reports whether there are responses.
func (c *Checker) tick(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.tickedAt) >= stillTime {
		c.resumedAt = now
	}
	c.tickedAt = now
	for _, p := range c.processes {
		p.tickLocked(c, now)
	}
	c.isRunning = len(c.processes) > 0
	return c.isRunning
}

func (p *process) tickLocked(c *Checker, now time.Time) {
	s := p.second
	switch {
	case s == nil:
	case s.State() == courier.HeldOpen:
		if now.Before(s.ExpiresAt()) {
			return
		}
	case s.endSeenAt.IsZero():
		s.endSeenAt = now
		return
	default:
		// What is still open has outlived it, so the process has.
		for w := range p.watches {
			if w.second == s && w.resp.IsConnected() {
				w.leaveLocked()
			}
		}
		p.replaceLocked(nil)
	}
	if p.isHolding || now.Before(p.holdAt) {
		return
	}
	var since time.Time
	for w := range p.watches {
		if w.resp.OpenedAt.After(since) {
			since = w.resp.OpenedAt
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.isHolding, p.cancel = true, cancel
	go c.hold(ctx, p, since)
}

// hold opens a second connection.
func (c *Checker) hold(ctx context.Context, p *process, since time.Time) {
	h, err := p.pool.Hold(ctx, p.Address, since)
	if err == nil {
		wait(ctx, settleTime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.isHolding = false
	p.cancel()
	switch {
	case err == nil && h.State() != courier.HeldOpen:
		h.Close()
		fallthrough
	case err != nil:
		p.holdDelay = min(maxHoldDelay, max(minHoldDelay, 2*p.holdDelay))
		p.holdAt = time.Now().Add(p.holdDelay)
	case len(p.watches) == 0 && p.isLeaving:
		h.Close()
	case len(p.watches) == 0:
		h.Release()
	default:
		p.holdDelay, p.holdAt = 0, time.Time{}
		p.replaceLocked(&second{Held: h})
		for w := range p.watches {
			w.joinLocked()
		}
	}
}

// replaceLocked replaces the second connection. Responses that have ended keep it until they are decided.
func (p *process) replaceLocked(s *second) {
	if old := p.second; old != nil {
		if old.isReplaced = true; old.numRefs == 0 {
			old.Close()
		}
	}
	p.second = s
}

// wait waits for a time, or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
