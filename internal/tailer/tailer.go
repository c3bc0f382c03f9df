// Package tailer reads the platform's log into a keeper.
//
// It resumes at the offset of the keeper's state and never applies an entry twice.
// When there are no new entries, the log sends empty messages as keep-alives. A
// connection without messages is therefore treated as broken.
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
	// DefaultMaxSilence is the maximum time between two messages of a connection.
	DefaultMaxSilence = 3 * time.Second
	retryDelay        = 200 * time.Millisecond
)

// Tailer follows the log. Log and Keeper must be set.
type Tailer struct {
	Log    platformv1connect.LogQueriesClient
	Keeper *keeper.Keeper
	// MaxSilence is the maximum time between two messages of a connection before it is
	// closed and reopened, DefaultMaxSilence if zero.
	MaxSilence time.Duration
	// OnError, if set, is called with the error that ended a connection, and with
	// errors of FindState.
	OnError func(error)
	// FindState, if set, replaces the keeper's state by a newer one from which to
	// continue. It is called before each connection while the state is empty, and
	// when the log's retention has removed the next offset.
	FindState func(ctx context.Context) error

	hasCaughtUp    atomic.Bool
	earliestOffset atomic.Uint64
	lastMessageAt  atomic.Int64 // Unix nanoseconds
}

// HasCaughtUp reports whether the state has once included the end of the log, and
// the log's retention has not removed the state's next offset since then.
func (t *Tailer) HasCaughtUp() bool {
	return t.hasCaughtUp.Load()
}

// HasState reports whether there is a state to serve from: one that has caught up
// with the log, or one copied from a checkpoint or a peer. Operations that need
// agreement must wait for HasCaughtUp.
func (t *Tailer) HasState() bool {
	return t.hasCaughtUp.Load() || t.Keeper.NextOffset() > 0 && t.Keeper.IsReplaced()
}

// EarliestOffset returns the log's first offset as of the last message.
func (t *Tailer) EarliestOffset() uint64 {
	return t.earliestOffset.Load()
}

// LastMessageAt returns when the last message of the log arrived, or the zero time if
// none has.
func (t *Tailer) LastMessageAt() time.Time {
	n := t.lastMessageAt.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Run follows the log until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if t.Keeper.NextOffset() == 0 {
			t.find(ctx)
		}
		err := t.tail(ctx)
		if connect.CodeOf(err) == connect.CodeOutOfRange {
			t.hasCaughtUp.Store(false)
			t.find(ctx)
		}
		if err != nil && ctx.Err() == nil && t.OnError != nil {
			t.OnError(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

func (t *Tailer) find(ctx context.Context) {
	if t.FindState == nil {
		return
	}
	if err := t.FindState(ctx); err != nil && ctx.Err() == nil && t.OnError != nil {
		t.OnError(errors.Wrap(err, "find a state from which to continue"))
	}
}

// tail reads one connection until it ends, or until no message arrives for
// MaxSilence.
func (t *Tailer) tail(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	maxSilence := t.MaxSilence
	if maxSilence == 0 {
		maxSilence = DefaultMaxSilence
	}
	watchdog := time.AfterFunc(maxSilence, cancel)
	defer watchdog.Stop()

	stream, err := t.Log.Tail(ctx, connect.NewRequest(&platformv1.TailRequest{FromOffset: t.Keeper.NextOffset()}))
	if err != nil {
		return errors.Wrap(err, "tail log")
	}
	defer stream.Close()
	for stream.Receive() {
		watchdog.Reset(maxSilence)
		m := stream.Msg()
		for _, e := range m.GetEntries() {
			t.Keeper.Apply(e.GetOffset(), e.GetPayload())
		}
		t.earliestOffset.Store(m.GetEarliestOffset())
		t.lastMessageAt.Store(time.Now().UnixNano())
		if t.Keeper.NextOffset() >= m.GetNextOffset() {
			t.hasCaughtUp.Store(true)
		}
	}
	return errors.Wrap(stream.Err(), "tail log")
}
