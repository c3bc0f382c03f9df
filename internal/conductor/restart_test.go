package conductor

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// TestStateOfASuspectedUpstreamTellsWhetherItHasRestarted guards against an upstream that stays
// in use without the models that it has lost, and against one that lives and is taken out of
// use because its connections broke.
func TestStateOfASuspectedUpstreamTellsWhetherItHasRestarted(t *testing.T) {
	tests := map[string]struct {
		change func(s *engineStub)
		isGone bool
		orders int64
	}{
		"connections were reset":                   {func(*engineStub) {}, false, 5},
		"process has restarted":                    {func(s *engineStub) { s.orders, s.models = 0, nil }, true, 0},
		"restarted while it held nothing":          {func(s *engineStub) { s.orders = 0 }, true, 0},
		"a load has failed":                        {func(s *engineStub) { s.models = []string{"m0"} }, false, 5},
		"another holder sent an order":             {func(s *engineStub) { s.orders, s.models = 6, []string{"m0"} }, false, 6},
		"an order was counted that does not count": {func(s *engineStub) { s.orders = 4 }, false, 4},
		"another process, with all that was held":  {func(s *engineStub) { s.startedAtMs = 2 }, true, 0},
		"the same process, without orders":         {func(s *engineStub) { s.startedAtMs, s.orders, s.models = 1, 0, nil }, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &engineStub{orders: 5, models: []string{"m0", "m1"}}
			c, _ := newConductor(t, s)
			c.Wake()
			c.plan(t.Context(), time.Now())
			c.moves.Wait()
			i := registrar.Incarnation{ID: "e1", StartedAtMs: 1}
			tt.change(s)
			c.Suspect(i, time.Now().Add(time.Second))
			c.plan(t.Context(), time.Now())
			c.moves.Wait()
			require.Equal(t, tt.isGone, c.Upstreams.Snapshot().ByID["e1"] == nil)
			if !tt.isGone {
				require.Equal(t, tt.orders, c.engines["e1"].numOrders)
			}
		})
	}
}

// TestSuspicionsOfOneBreakCauseOneStateRequest guards against a state request for each instance
// whose connections to an upstream were reset together.
func TestSuspicionsOfOneBreakCauseOneStateRequest(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, _ := newConductor(t, s)
	c.Wake()
	c.plan(t.Context(), time.Now())
	c.moves.Wait()
	requests, state := 0, c.Remote.State
	c.Remote.State = func(ctx context.Context, u *registrar.Upstream) (State, error) {
		requests++
		return state(ctx, u)
	}
	brokeAt := time.Now().Add(minSuspicionAge)
	for range 3 {
		c.Suspect(registrar.Incarnation{ID: "e1", StartedAtMs: 1}, brokeAt)
		c.plan(t.Context(), time.Now())
		c.moves.Wait()
	}
	require.Equal(t, 1, requests)
}

// TestSuspicionRightAfterAStateRequestIsNotLost guards against an upstream that stays in use after its
// restart because the only request that was turned away came right after its state was requested.
func TestSuspicionRightAfterAStateRequestIsNotLost(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, _ := newConductor(t, s)
	c.Wake()
	c.plan(t.Context(), time.Now())
	c.moves.Wait()
	requests, state := 0, c.Remote.State
	c.Remote.State = func(ctx context.Context, u *registrar.Upstream) (State, error) {
		requests++
		return state(ctx, u)
	}
	now := time.Now()
	c.Suspect(registrar.Incarnation{ID: "e1", StartedAtMs: 1}, now)
	c.plan(t.Context(), now)
	c.moves.Wait()
	require.Zero(t, requests)
	c.plan(t.Context(), now.Add(minSuspicionAge))
	c.moves.Wait()
	require.Equal(t, 1, requests)
}

// TestMoveAtARestartedUpstreamEnds guards against a move that repeats its order until the time
// is up, because the process that counted the orders before is gone.
func TestMoveAtARestartedUpstreamEnds(t *testing.T) {
	s := &engineStub{orders: 5, models: []string{"m0", "m1"}}
	c, run := newConductor(t, s)
	s.replyFault = func(int) (bool, bool, bool) {
		s.orders, s.models, s.replyFault = 0, nil, nil
		return false, false, false
	}
	run()
	c.reportWaiting("m2", 1)
	for snapshot := c.Upstreams.Snapshot(); snapshot.ByID["e1"] != nil; snapshot = c.Upstreams.Snapshot() {
		<-snapshot.Changed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	require.LessOrEqual(t, s.calls, conflictsPerStateRequest, "the state is requested with the last of these conflicts")
}

// TestNextProcessGetsNoFirstOrderOfTheLast guards against requests that run on a process by the
// registration of the last one, of another software version, since both had accepted no order.
func TestNextProcessGetsNoFirstOrderOfTheLast(t *testing.T) {
	s := &engineStub{models: []string{"m0", "m1"}}
	c, _ := newConductor(t, s)
	c.Wake()
	c.plan(t.Context(), time.Now())
	c.moves.Wait()
	s.models = nil
	c.engines["e1"].stateAt = time.Now().Add(-maxStateAge)
	c.reportWaiting("m2", 1)
	c.plan(t.Context(), time.Now())
	c.moves.Wait()
	require.Empty(t, s.received)
	require.Empty(t, c.Upstreams.Snapshot().ByID)
}
