// Package service stands in for a plain service such as a booking system.
//
// It runs every call that it receives and counts the calls by key, so that a
// test can detect calls that ran more than once.
package service

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/oklog/ulid/v2"

	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
)

// Service is a plain service. Its zero value is ready to use.
type Service struct {
	Faults faulter.Faulter
	Slots  uint32

	once        sync.Once
	incarnation string

	mu         sync.Mutex
	callsByKey map[string]int
	calls      int
	running    uint32
	sequence   uint64
}

func (s *Service) init() {
	s.once.Do(func() {
		s.incarnation = ulid.Make().String()
		s.callsByKey = make(map[string]int)
	})
}

// CallsByKey returns the number of calls by key.
func (s *Service) CallsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.callsByKey))
	for k, n := range s.callsByKey {
		out[k] = n
	}
	return out
}

// Handler serves the service, and GET /ran for the number of calls by key.
func (s *Service) Handler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	mux.Handle(upstreamv1connect.NewServiceCommandsHandler(s, connect.WithCompressMinBytes(1024)))
	mux.Handle(upstreamv1connect.NewEngineQueriesHandler(s, connect.WithCompressMinBytes(1024)))
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.CallsByKey())
	})
	return s.Faults.Wrap(mux, func(path string) bool { return strings.HasSuffix(path, "/Call") })
}

// Call runs one call.
func (s *Service) Call(ctx context.Context, req *connect.Request[upstreamv1.CallRequest]) (*connect.Response[upstreamv1.CallResponse], error) {
	m := req.Msg
	s.mu.Lock()
	s.running++
	s.calls++
	if m.GetKey() != "" {
		s.callsByKey[m.GetKey()]++
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	f := s.Faults.Get()
	if f.TokenMs > 0 {
		select {
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		case <-time.After(time.Duration(f.TokenMs) * time.Millisecond):
		}
	}
	attempt := m.GetAttempt()
	if f.WrongAttemptIDs {
		attempt = "another"
	}
	return connect.NewResponse(&upstreamv1.CallResponse{
		Attempt: attempt, Body: []byte(m.GetMethod() + " done"), Incarnation: s.incarnation,
	}), nil
}

// Report returns the current state of the service.
func (s *Service) Report(context.Context, *connect.Request[upstreamv1.ReportRequest]) (*connect.Response[upstreamv1.ReportResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return connect.NewResponse(&upstreamv1.ReportResponse{
		Incarnation: s.incarnation, Sequence: s.sequence, Leaving: s.Faults.Get().Leaving,
		Running: min(s.running, s.Slots), Queued: s.running - min(s.running, s.Slots), Slots: s.Slots,
	}), nil
}
