package conductor

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
)

// skippedLogInterval is the least time between two lines for the same load that plans skip.
const skippedLogInterval = 500 * time.Millisecond

// logSkippedLocked logs the loads that requests for the rest of streams wait for and that a plan
// does not begin.
func (c *Conductor) logSkippedLocked(service string, skipped []arranger.Skipped, now time.Time) {
	maps.DeleteFunc(c.skippedAt, func(_ boundKey, at time.Time) bool { return now.Sub(at) >= skippedLogInterval })
	for _, s := range skipped {
		k := boundKey{key{service, s.Model, ""}, s.Software}
		if _, ok := c.skippedAt[k]; ok {
			continue
		}
		if c.skippedAt == nil {
			c.skippedAt = make(map[boundKey]time.Time)
		}
		c.skippedAt[k] = now
		c.Log.Info("load for streams not begun", zap.String("model", s.Model), zap.String("software", s.Software), zap.Int("bound-waiting", s.Waiting), zap.Strings("why", s.Obstacles()))
	}
}
