package queuer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// paused returns an upstream that accepts nothing for a time after start.
func paused(u *registrar.Upstream, d time.Duration) *registrar.Upstream {
	u.PausedUntil = start.Add(d)
	return u
}

// The load: a replica refuses a request, with a retry delay that is longer than some
// clients wait. Requests that can start after the pause wait for it, the others are
// refused at once, and another replica gets the requests if there is one.
func TestRequestsWaitForPausedUpstreamOrAreRefused(t *testing.T) {
	cfg := config()
	model := registrar.Model{Name: "m1"}
	for name, tt := range map[string]struct {
		upstreams []*registrar.Upstream
		request   Request
		delay     time.Duration
	}{
		"model":          {[]*registrar.Upstream{paused(engine("e1", model), time.Second)}, newRequest(1, 0), time.Second},
		"second replica": {[]*registrar.Upstream{paused(engine("e1", model), time.Second), engine("e2", model)}, newRequest(1, 0), 0},
		"plain service": {
			[]*registrar.Upstream{paused(&registrar.Upstream{ID: "p1", Service: "plain", Slots: 1, StartedAtMs: 1}, 3*time.Second), paused(&registrar.Upstream{ID: "p2", Service: "plain", Slots: 1, StartedAtMs: 1}, 4*time.Second)},
			Request{Service: "plain", StartBy: start.Add(2 * time.Second)},
			3 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, s := newTable(), snapshot(tt.upstreams...)
			e := table.Estimate(tt.request, s, cfg, start)
			require.Equal(t, StartEstimate{Delay: tt.delay}, e)
			granted := table.Grant(tt.request, s, cfg, start)
			require.Equal(t, tt.delay == 0, granted != nil)
			w := table.Wait(tt.request, start)
			table.Expire(s, cfg, start)
			isTooLate := start.Add(tt.delay).After(tt.request.StartBy)
			require.Equal(t, isTooLate, table.Waiting() == 0)
			if !isTooLate {
				table.GrantWaiting(s, cfg, start.Add(tt.delay))
				require.NotNil(t, w.Granted())
			}
		})
	}
}

// A request that arrives during a pause that is too long for it is refused at once,
// with the end of the pause as its retry delay.
func TestAcquireRefusesDuringLongPause(t *testing.T) {
	q := newQueue(engine("e1", registrar.Model{Name: "m1"}))
	q.Upstreams.ApplyNotice("e1", 1, registrar.Notice{RetryAfter: time.Minute}, time.Now())
	_, err := q.Acquire(t.Context(), Request{Service: "lm", Model: "m1", StartBy: time.Now().Add(2 * time.Second)})
	r := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, r.Ran)
	require.InDelta(t, time.Minute.Seconds(), r.RetryAfter.Seconds(), 5)
}
