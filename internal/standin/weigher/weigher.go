// Package weigher stands in for the weight store: a few loads at once run at
// full speed, more share it, and a rate bounds how often a load may begin.
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

// step is how often a fetch looks how many share the store.
const step = 10 * time.Millisecond

// Store serves checkpoints. Its zero value serves at once.
type Store struct {
	Faults faulter.Faulter
	Limit  *rate.Limiter
	// Concurrent is how many fetches run at full speed, 0 for any number.
	Concurrent int

	mu       sync.Mutex
	inFlight int
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewWeightStoreQueriesHandler(s))
	return s.Faults.Wrap(mux, nil)
}

func (s *Store) enter(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight += n
	return s.inFlight
}

// Fetch takes the load time of the faults, longer if too many share the store.
func (s *Store) Fetch(ctx context.Context, _ *connect.Request[platformv1.FetchRequest]) (*connect.Response[platformv1.FetchResponse], error) {
	if s.Limit != nil {
		if err := s.Limit.Wait(ctx); err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, errors.Wrap(err, "load rate"))
		}
	}
	s.enter(1)
	defer s.enter(-1)
	left := float64(time.Duration(s.Faults.Get().LoadMs) * time.Millisecond)
	for left > 0 {
		select {
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		case <-time.After(step):
		}
		share := 1.0
		if n := s.enter(0); s.Concurrent > 0 && n > s.Concurrent {
			share = float64(s.Concurrent) / float64(n)
		}
		left -= float64(step) * share
	}
	return connect.NewResponse(&platformv1.FetchResponse{}), nil
}
