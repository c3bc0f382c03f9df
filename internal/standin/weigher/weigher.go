// Package weigher stands in for the weight store. A limited number of concurrent
// loads run at full speed; more than that share the bandwidth. A rate limit
// bounds how often a load may start.
package weigher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
)

// pollInterval is the interval at which a fetch checks how many loads share the store.
const pollInterval = 10 * time.Millisecond

// Store serves checkpoints. Its zero value serves them without delay.
type Store struct {
	Faults faulter.Faulter
	// Limiter bounds the rate at which fetches start, nil for no limit.
	Limiter *rate.Limiter
	// FullSpeedLoads is the maximum number of concurrent fetches that run at
	// full speed, 0 for no limit.
	FullSpeedLoads int

	mu       sync.Mutex
	inFlight int
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewWeightStoreQueriesHandler(s))
	return s.Faults.Wrap(mux, nil)
}

// addInFlight adds n to the number of fetches in flight and returns the sum.
func (s *Store) addInFlight(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
	return s.inFlight
}

// Fetch simulates the fetch of a checkpoint. It takes Faults.LoadMs at full speed,
// and longer in proportion if more fetches than FullSpeedLoads are in flight.
func (s *Store) Fetch(ctx context.Context, _ *connect.Request[platformv1.FetchRequest]) (*connect.Response[platformv1.FetchResponse], error) {
	if s.Limiter != nil {
		if err := s.Limiter.Wait(ctx); err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, errors.Wrap(err, "load rate"))
		}
	}
	s.addInFlight(1)
	defer s.addInFlight(-1)
	remaining := float64(time.Duration(s.Faults.Get().LoadMs) * time.Millisecond)
	for remaining > 0 {
		select {
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		case <-time.After(pollInterval):
		}
		share := 1.0
		if n := s.addInFlight(0); s.FullSpeedLoads > 0 && n > s.FullSpeedLoads {
			share = float64(s.FullSpeedLoads) / float64(n)
		}
		remaining -= float64(pollInterval) * share
	}
	return connect.NewResponse(&platformv1.FetchResponse{}), nil
}
