package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// TestStreamsThatBrokeCountInPlans guards against plans that forget streams until their clients are back.
func TestStreamsThatBrokeCountInPlans(t *testing.T) {
	now, v1 := time.Now(), "v1"
	for _, isResumable := range []bool{true, false} {
		c, _ := newConductor(t, &engineStub{})
		svc := c.Config().Services["lm"]
		cfg := matcher.New(1, []matcher.Route{{IsStream: true, IsResumable: isResumable, Targets: []matcher.Target{{Service: "lm", Weight: 1}}}}, map[string]matcher.Service{"lm": svc}, matcher.Limits{})
		c.Config = func() *matcher.Config { return cfg }
		c.initLocked()
		for id, software := range map[string]string{"e1": "v1", "e2": "v2"} {
			c.engines[id] = &engine{up: &registrar.Upstream{ID: id, Service: "lm", Software: software}, isKnown: true, models: []registrar.Model{{Name: "m0"}}}
		}
		mayReturn := func(at time.Time) (n int) {
			for _, d := range c.fleetLocked(svc, at).Demands {
				if d.Software != nil && *d.Software == v1 && d.Model == "m0" {
					n += d.MayReturn
				}
			}
			return n
		}
		c.Report("i1", []Demand{{Service: "lm", Model: "m0", Arrived: 2, Running: map[string]int{"e1": 2}}}, now)
		running := mayReturn(now)
		c.Report("i1", nil, now)
		broken := mayReturn(now.Add(time.Second))
		if isResumable {
			require.Equal(t, []int{2, 2}, []int{running, broken})
		} else {
			require.Zero(t, running+broken, "no stream may resume")
		}
	}
}
