package verifier

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

func newVerifier(startOf func(context.Context, *registrar.Upstream) (int64, error)) (*Verifier, *registrar.Upstream) {
	u := &registrar.Upstream{ID: "e1", Service: "lm", Address: "192.0.2.1:1", StartedAtMs: 1, Slots: 8}
	table := &registrar.Table{}
	table.ApplyRegistrations(map[string]*registrar.Upstream{"e1": u}, time.Now())
	return &Verifier{Upstreams: table, StartOf: startOf, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry())}, u
}

// TestConnectionIsProvenByALaterState guards against streams whose software version is taken from the
// registration of another process.
func TestConnectionIsProvenByALaterState(t *testing.T) {
	for name, tt := range map[string]struct {
		started          int64
		err              error
		isProven, isGone bool
	}{
		"the registered process": {started: 1, isProven: true},
		"the next process":       {started: 2, isGone: true},
		"no start time":          {},
		"no response":            {err: errors.New("refused")},
	} {
		t.Run(name, func(t *testing.T) {
			v, u := newVerifier(func(context.Context, *registrar.Upstream) (int64, error) { return tt.started, tt.err })
			openedAt := time.Now()
			require.False(t, v.IsProven(u, openedAt))
			require.Equal(t, tt.isProven, v.Verify(t.Context(), u, openedAt))
			require.Equal(t, tt.isProven, v.IsProven(u, openedAt))
			require.Equal(t, tt.isGone, v.Upstreams.Snapshot().ByID["e1"] == nil)
			require.False(t, v.IsProven(u, time.Now().Add(time.Second)), "a connection that is opened later")
		})
	}
}

// TestStateOfBeforeProvesNoNewConnection guards against a state that was requested before a connection
// was opened, and counts as proof for it.
func TestStateOfBeforeProvesNoNewConnection(t *testing.T) {
	release, isRequested := make(chan struct{}), make(chan struct{}, 2)
	var numRequests atomic.Int64
	v, u := newVerifier(func(context.Context, *registrar.Upstream) (int64, error) {
		n := numRequests.Add(1)
		isRequested <- struct{}{}
		<-release
		return n, nil // the process restarts after the first request
	})
	var wg sync.WaitGroup
	early := time.Now()
	wg.Go(func() { v.Verify(t.Context(), u, early) })
	<-isRequested
	openedAt := time.Now()
	wg.Go(func() { require.False(t, v.Verify(t.Context(), u, openedAt)) })
	close(release)
	wg.Wait()
	require.EqualValues(t, 2, numRequests.Load())
}

// TestConnectionsShareOneRequest guards against a request for the state of an upstream for each of
// many streams that begin there at once.
func TestConnectionsShareOneRequest(t *testing.T) {
	release := make(chan struct{})
	var numRequests atomic.Int64
	v, u := newVerifier(func(context.Context, *registrar.Upstream) (int64, error) {
		numRequests.Add(1)
		<-release
		return 1, nil
	})
	openedAt := time.Now()
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() { require.True(t, v.Verify(t.Context(), u, openedAt)) })
	}
	close(release)
	wg.Wait()
	require.EqualValues(t, 1, numRequests.Load())
}

// TestNobodyIsAskedForAProcessThatWasReplaced guards against requests that cannot prove anything, since
// the upstream is registered with its next process.
func TestNobodyIsAskedForAProcessThatWasReplaced(t *testing.T) {
	numRequests := 0
	v, u := newVerifier(func(context.Context, *registrar.Upstream) (int64, error) { numRequests++; return 2, nil })
	openedAt := time.Now()
	v.Upstreams.RecordAlive(u.Incarnation(), openedAt)
	v.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"e1": {ID: "e1", Service: "lm", StartedAtMs: 2}}, openedAt)
	require.True(t, v.Verify(t.Context(), u, openedAt), "known before")
	require.False(t, v.Verify(t.Context(), u, openedAt.Add(time.Millisecond)))
	require.Zero(t, numRequests)
}

// TestVerifyEndsWithItsContext guards against a client that waits for an upstream which does not respond.
func TestVerifyEndsWithItsContext(t *testing.T) {
	v, u := newVerifier(func(ctx context.Context, _ *registrar.Upstream) (int64, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, v.Verify(ctx, u, time.Now()))
}

// TestUpstreamThatHasEndedIsProvenByTheRegistrations guards against streams that are refused because
// their upstream has ended, and against proof without a response while another process may respond.
func TestUpstreamThatHasEndedIsProvenByTheRegistrations(t *testing.T) {
	for name, tt := range map[string]struct {
		started     int64
		err         error
		isWatched   bool // the registrations were read all along
		isRestarted bool
		isProven    bool
	}{
		"it does not respond":                       {err: errors.New("refused"), isWatched: true, isProven: true},
		"registrations were missed":                 {err: errors.New("refused")},
		"the next process does not respond":         {err: errors.New("refused"), isWatched: true, isRestarted: true},
		"the next process responds":                 {started: 2, isWatched: true},
		"a process responds without its start time": {isWatched: true},
	} {
		t.Run(name, func(t *testing.T) {
			v, u := newVerifier(func(context.Context, *registrar.Upstream) (int64, error) { return tt.started, tt.err })
			openedAt := time.Now()
			require.False(t, v.Verify(t.Context(), u, openedAt), "nothing is known yet")
			v.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"e1": nil}, openedAt)
			if tt.isRestarted {
				v.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"e1": {ID: "e1", Service: "lm", StartedAtMs: 2}}, openedAt)
			}
			for d := time.Duration(0); tt.isWatched && d <= registrar.MaxRegistrationDelay; d += 100 * time.Millisecond {
				v.Upstreams.RecordWatch(openedAt.Add(d), openedAt.Add(d))
			}
			require.Equal(t, tt.isProven, v.Verify(t.Context(), u, openedAt))
			require.False(t, v.IsProven(u, openedAt), "it was not seen to live")
		})
	}
}

// TestStateThatComesLateIsProof guards against upstreams that state their start time after a second, for
// which no wait would ever be long enough, and against another request for the same state.
func TestStateThatComesLateIsProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		numRequests := 0
		v, u := newVerifier(func(ctx context.Context, _ *registrar.Upstream) (int64, error) {
			numRequests++
			select {
			case <-time.After(time.Second):
				return 1, nil
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		})
		openedAt := time.Now()
		verify := func(timeout time.Duration) bool {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return v.Verify(ctx, u, openedAt)
		}
		require.False(t, verify(300*time.Millisecond))
		require.False(t, verify(300*time.Millisecond))
		require.True(t, verify(time.Second))
		require.Equal(t, time.Second, time.Since(openedAt))
		require.True(t, verify(0))
		require.Equal(t, 1, numRequests)
	})
}

// TestNobodyWaitsWhereNoStateCanCome guards against clients that wait for the state of an upstream which
// refuses connections, or which is silent and is proven by the registrations.
func TestNobodyWaitsWhereNoStateCanCome(t *testing.T) {
	for name, tt := range map[string]struct {
		isSilent, isWatched bool
		wait                time.Duration
		isProven            bool
	}{
		"refused":             {},
		"refused, but known":  {isWatched: true, isProven: true},
		"silent, but known":   {isSilent: true, isWatched: true, wait: silenceTimeout, isProven: true},
		"silent, not watched": {isSilent: true, wait: requestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v, u := newVerifier(func(ctx context.Context, _ *registrar.Upstream) (int64, error) {
					if tt.isSilent {
						<-ctx.Done()
					}
					return 0, errors.New("no state")
				})
				openedAt := time.Now()
				for d := time.Duration(0); tt.isWatched && d <= registrar.MaxRegistrationDelay; d += 100 * time.Millisecond {
					v.Upstreams.RecordWatch(openedAt.Add(d), openedAt.Add(d))
				}
				require.Equal(t, tt.isProven, v.Verify(t.Context(), u, openedAt))
				require.Equal(t, tt.wait, time.Since(openedAt))
				time.Sleep(requestTimeout) // until the request has ended
			})
		})
	}
}
