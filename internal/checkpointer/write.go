package checkpointer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Defaults of a Writer.
const (
	DefaultEvery  = 10_000
	DefaultMaxAge = 10 * time.Minute
	checkInterval = time.Second
	writeTimeout  = time.Minute
	pauseOnError  = time.Second
)

// Status is what decides whether a checkpoint is due.
type Status struct {
	// Next is the first offset that the state does not include, Earliest the
	// first that the log still has.
	Next, Earliest uint64
	// Newest is the first offset that the newest checkpoint does not include.
	Newest uint64
	// Age is the time since the newest checkpoint was read.
	Age time.Duration
}

// IsDue reports whether a checkpoint is due.
func (s Status) IsDue(every uint64, maxAge time.Duration) bool {
	if s.Next == 0 {
		return false
	}
	middle := s.Earliest + (s.Next-min(s.Next, s.Earliest))/2
	return s.Next-min(s.Next, s.Newest) >= every || s.Age >= maxAge || s.Earliest > 0 && s.Newest < middle
}

// Writer writes checkpoints. Keeper, Submit, IsChosen and Earliest must be set.
type Writer struct {
	Keeper *keeper.Keeper
	// Submit writes one record and waits until it is read back.
	Submit func(ctx context.Context, rec *recordv1.Record) (folder.Event, error)
	// IsChosen reports whether this instance is the one to write.
	IsChosen func() bool
	// Earliest returns the first offset that the log still has.
	Earliest func() uint64
	// OnWrite, if set, hears the size and the result of every checkpoint.
	OnWrite func(bytes int, err error)
	Every   uint64
	MaxAge  time.Duration

	mu     sync.Mutex
	newest uint64
	readAt time.Time
	wake   chan struct{} // holds one token after a batch was read
}

// OnEvents notes the checkpoints in the log. The last chunk is written after
// all others were read back.
func (w *Writer) OnEvents(events []folder.Event) {
	defer w.look()
	for _, e := range events {
		c := e.Record.GetCheckpointChunk()
		if c == nil || c.GetIndex()+1 != c.GetCount() {
			continue
		}
		w.mu.Lock()
		if c.GetNextOffset() >= w.newest {
			w.newest = c.GetNextOffset()
			w.readAt = time.Now()
		}
		w.mu.Unlock()
	}
}

// look makes Run check whether a checkpoint is due. A burst of changes may pass
// the log's whole retention between two ticks.
func (w *Writer) look() {
	select {
	case w.woken() <- struct{}{}:
	default:
	}
}

func (w *Writer) woken() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

func (w *Writer) status(now time.Time) Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Status{Next: w.Keeper.Next(), Earliest: w.Earliest(), Newest: w.newest, Age: now.Sub(w.readAt)}
}

// Run writes checkpoints when they are due, until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.readAt = time.Now()
	w.mu.Unlock()
	every, maxAge := w.Every, w.MaxAge
	if every == 0 {
		every = DefaultEvery
	}
	if maxAge == 0 {
		maxAge = DefaultMaxAge
	}
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-w.woken():
		}
		if !w.status(time.Now()).IsDue(every, maxAge) || !w.IsChosen() {
			continue
		}
		n, err := w.Write(ctx)
		if w.OnWrite != nil {
			w.OnWrite(n, err)
		}
		if err != nil {
			sleeper.Sleep(ctx, pauseOnError)
		}
	}
}

// Write writes one checkpoint and returns its size.
func (w *Writer) Write(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	data, next, err := Snapshot(w.Keeper)
	if err != nil {
		return 0, err
	}
	for _, c := range Split(ulid.Make().String(), next, data) {
		if _, err := w.Submit(ctx, &recordv1.Record{Kind: &recordv1.Record_CheckpointChunk{CheckpointChunk: c}}); err != nil {
			return len(data), errors.Wrap(err, "write checkpoint")
		}
	}
	return len(data), nil
}

// Snapshot returns the keeper's state, encoded, and the first offset that it
// does not include.
func Snapshot(k *keeper.Keeper) (data []byte, next uint64, err error) {
	k.View(func(s *folder.State) {
		if s.IsHalted() {
			err = errors.New("the state is halted at unknown rules")
			return
		}
		next = s.Next
		data, err = Encode(s)
	})
	return data, next, err
}
