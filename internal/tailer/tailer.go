// Package tailer reads the platform's log into a keeper.
//
// It resumes at the offset that the keeper's state names and never applies an
// entry twice. The log sends an empty message when it has nothing to say, so
// silence means that the connection is of no use any more.
package tailer

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/keeper"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
)

// Defaults of a Tailer.
const (
	// DefaultSilence is the longest silence of a live connection.
	DefaultSilence = 3 * time.Second
	retryPause     = 200 * time.Millisecond
)

// Tailer tails the log. Log and Keeper must be set.
type Tailer struct {
	Log    platformv1connect.LogQueriesClient
	Keeper *keeper.Keeper
	// Silence is how long the log may say nothing.
	Silence time.Duration
	// OnError, if set, hears why a connection ended.
	OnError func(error)
	// Find, if set, looks for a newer state to read on from. It is called at the
	// start and if retention has passed the offset.
	Find func(ctx context.Context) error

	caughtUp  atomic.Bool
	earliest  atomic.Uint64
	lastHeard atomic.Int64 // unix nanoseconds
}

// HasCaughtUp reports whether the state has included the end of the log, and
// retention has not passed it since.
func (t *Tailer) HasCaughtUp() bool {
	return t.caughtUp.Load()
}

// HasState reports whether there is a state to serve from: the log's, or one
// that was taken over. What needs agreement has to wait for HasCaughtUp.
func (t *Tailer) HasState() bool {
	return t.caughtUp.Load() || t.Keeper.Next() > 0 && t.Keeper.IsReplaced()
}

// Earliest returns the first offset that the log had when it was last heard.
func (t *Tailer) Earliest() uint64 {
	return t.earliest.Load()
}

// Heard returns when the log was last heard.
func (t *Tailer) Heard() time.Time {
	n := t.lastHeard.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Run tails until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if t.Keeper.Next() == 0 {
			t.find(ctx)
		}
		err := t.tail(ctx)
		if connect.CodeOf(err) == connect.CodeOutOfRange {
			t.caughtUp.Store(false)
			t.find(ctx)
		}
		if err != nil && ctx.Err() == nil && t.OnError != nil {
			t.OnError(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

func (t *Tailer) find(ctx context.Context) {
	if t.Find == nil {
		return
	}
	if err := t.Find(ctx); err != nil && ctx.Err() == nil && t.OnError != nil {
		t.OnError(errors.Wrap(err, "find a state to start from"))
	}
}

func (t *Tailer) tail(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := t.Silence
	if silence == 0 {
		silence = DefaultSilence
	}
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()

	stream, err := t.Log.Tail(ctx, connect.NewRequest(&platformv1.TailRequest{FromOffset: t.Keeper.Next()}))
	if err != nil {
		return errors.Wrap(err, "tail log")
	}
	defer stream.Close()
	for stream.Receive() {
		watchdog.Reset(silence)
		m := stream.Msg()
		for _, e := range m.GetEntries() {
			t.Keeper.Apply(e.GetOffset(), e.GetPayload())
		}
		t.earliest.Store(m.GetEarliestOffset())
		t.lastHeard.Store(time.Now().UnixNano())
		if t.Keeper.Next() >= m.GetNextOffset() {
			t.caughtUp.Store(true)
		}
	}
	return errors.Wrap(stream.Err(), "tail log")
}
