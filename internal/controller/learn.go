package controller

import (
	"time"

	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// habit is what this holder has learned of a model. It is lost at a takeover,
// and the next holder learns anew.
type habit struct {
	forecaster.History
	lastUsed time.Time
}

// learn takes over a model's demand. A model that is first seen counts as just
// used, so that a new holder unloads nothing at once.
func (c *Controller) learn(name string, d tallier.Demand, now time.Time) *habit {
	h := c.habits[name]
	if h == nil {
		h = &habit{lastUsed: now}
		c.habits[name] = h
		return h
	}
	active := d.Waiting+d.Running > 0
	used := d.LastUsed
	if active {
		used = now
	}
	if d.Arrived > 0 || active {
		h.Observe(h.lastUsed, used)
	}
	if used.After(h.lastUsed) {
		h.lastUsed = used
	}
	return h
}

// forgetHabits drops the habits of models that are not in force any more.
func (c *Controller) forgetHabits(models map[string]*recordv1.Model) {
	for name := range c.habits {
		if models[name] == nil {
			delete(c.habits, name)
		}
	}
}
