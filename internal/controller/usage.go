package controller

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// modelUsage holds the use statistics of a model. They are not replicated:
// after a takeover the next holder starts with none.
type modelUsage struct {
	forecaster.History
	lastUsed time.Time
}

// observeDemand updates the statistics with a model's demand. A model that is
// first seen counts as just used, so that a new holder does not unload it
// immediately.
func (c *Controller) observeDemand(name string, d tallier.Demand, now time.Time) *modelUsage {
	u := c.usage[name]
	if u == nil {
		u = &modelUsage{lastUsed: now}
		c.usage[name] = u
		return u
	}
	isActive := d.Waiting+d.Running > 0
	used := d.LastUsed
	if isActive {
		used = now
	}
	if d.Arrived > 0 || isActive {
		u.Observe(u.lastUsed, used)
	}
	if used.After(u.lastUsed) {
		u.lastUsed = used
	}
	return u
}

// forgetRemovedModels removes the statistics of models that are no longer in
// the configuration.
func (c *Controller) forgetRemovedModels(models map[string]*recordv1.Model) {
	for name := range c.usage {
		if models[name] == nil {
			delete(c.usage, name)
		}
	}
}
