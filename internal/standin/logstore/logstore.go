// Package logstore stands in for the platform's log service.
//
// It keeps a limited number of entries in memory, and limits the rate of appends
// as the real service does.
package logstore

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
)

// Defaults of a Store.
const (
	DefaultAppendsPerSecond = 500
	heartbeatInterval       = 500 * time.Millisecond
	maxTailEntries          = 256
)

// Store is a log. Its zero value is an empty log without limits.
type Store struct {
	Faults faulter.Faulter
	// Limiter bounds the rate of appends, nil for no limit.
	Limiter *rate.Limiter
	// MaxEntries is the maximum number of entries kept, 0 for all.
	MaxEntries int

	mu       sync.Mutex
	entries  []*platformv1.Entry
	earliest uint64
	changed  chan struct{} // closed at the next append
}

// Handler serves the log.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewLogCommandsHandler(s))
	mux.Handle(platformv1connect.NewLogQueriesHandler(s))
	return s.Faults.Wrap(mux, func(path string) bool { return strings.HasSuffix(path, "/Append") })
}

// Append appends one entry.
func (s *Store) Append(ctx context.Context, req *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	if s.Limiter != nil {
		if err := s.Limiter.Wait(ctx); err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, errors.Wrap(err, "append rate"))
		}
	}
	return connect.NewResponse(&platformv1.AppendResponse{Offset: s.Add(req.Msg.GetPayload())}), nil
}

// Add appends a payload and returns its offset.
func (s *Store) Add(payload []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.earliest + uint64(len(s.entries))
	s.entries = append(s.entries, &platformv1.Entry{Offset: offset, Payload: payload})
	if s.MaxEntries > 0 && len(s.entries) > s.MaxEntries {
		drop := len(s.entries) - s.MaxEntries
		s.entries = append([]*platformv1.Entry(nil), s.entries[drop:]...)
		s.earliest += uint64(drop)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return offset
}

// Bounds returns the earliest and the next offset.
func (s *Store) Bounds(context.Context, *connect.Request[platformv1.BoundsRequest]) (*connect.Response[platformv1.BoundsResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&platformv1.BoundsResponse{
		EarliestOffset: s.earliest, NextOffset: s.earliest + uint64(len(s.entries)),
	}), nil
}

// read returns the entries from an offset on, and a channel that is closed at
// the next append.
func (s *Store) read(from uint64) (*platformv1.TailResponse, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.earliest + uint64(len(s.entries))
	if from < s.earliest {
		return nil, nil, connect.NewError(connect.CodeOutOfRange, errors.Newf("earliest offset is %d", s.earliest))
	}
	resp := &platformv1.TailResponse{NextOffset: next, EarliestOffset: s.earliest}
	if from < next {
		list := s.entries[from-s.earliest:]
		resp.Entries = list[:min(len(list), maxTailEntries)]
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return resp, s.changed, nil
}

// Tail streams entries from an offset on. It ends with an error during an
// outage.
func (s *Store) Tail(ctx context.Context, req *connect.Request[platformv1.TailRequest], stream *connect.ServerStream[platformv1.TailResponse]) error {
	from := req.Msg.GetFromOffset()
	for {
		if f := s.Faults.Get(); f.Outage || f.Hang {
			return connect.NewError(connect.CodeUnavailable, errors.New("outage"))
		}
		resp, changed, err := s.read(from)
		if err != nil {
			return err
		}
		if lag := s.Faults.Get().TailLagMs; lag > 0 && len(resp.GetEntries()) > 0 {
			sleeper.Sleep(ctx, time.Duration(lag)*time.Millisecond)
		}
		if err := stream.Send(resp); err != nil {
			return errors.Wrap(err, "send")
		}
		from += uint64(len(resp.GetEntries()))
		if from < resp.GetNextOffset() {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-time.After(heartbeatInterval):
		}
	}
}
