package conductor

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// maxRunsWait bounds the wait for requests that an unload waits for. A report may be late or
	// its instance may have ended.
	maxRunsWait = 500 * time.Millisecond
	// runsCheckInterval is the time between two looks at the reports.
	runsCheckInterval = 5 * time.Millisecond
)

// awaitRuns waits until no requests run, according to the reports, that the unload before an
// order waits for. Without it an order would be refused every orderRetryInterval. The state of
// the upstream does not help: it is up to maxStateLag old. It reports whether it has waited.
func (c *Conductor) awaitRuns(ctx context.Context, e *engine) bool {
	hasWaited := false
	end := time.Now().Add(maxRunsWait)
	for c.runningOf(e, e.last) > 0 && ctx.Err() == nil && time.Now().Before(end) {
		sleeper.Sleep(ctx, runsCheckInterval)
		hasWaited = true
	}
	return hasWaited
}

// runningOf returns how many requests run, according to the reports, that an unload waits for.
func (c *Conductor) runningOf(e *engine, last accepted) int {
	if !last.isModelUnload() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for k, running := range c.totals.running {
		if k.upstream == e.up.ID && k.model == last.Model {
			n += running
		}
	}
	return n
}
