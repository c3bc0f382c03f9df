package checkpointer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Defaults of a Writer.
const (
	// DefaultEntryInterval is the number of log entries between checkpoints.
	DefaultEntryInterval = 10_000
	// DefaultMaxAge is the age of the newest checkpoint at which the next is due.
	DefaultMaxAge = 10 * time.Minute
	checkInterval = time.Second
	writeTimeout  = time.Minute
	retryDelay    = time.Second
)

// Status is the input of the decision whether a checkpoint is due.
type Status struct {
	// NextOffset is the first offset that the state does not include,
	// EarliestOffset the first that the log still has.
	NextOffset, EarliestOffset uint64
	// CheckpointOffset is the first offset that the newest checkpoint does not
	// include.
	CheckpointOffset uint64
	// Age is the time since the newest checkpoint was read.
	Age time.Duration
}

// IsDue reports whether a checkpoint is due: after entryInterval entries, after
// maxAge, or if the newest one lies in the older half of the log.
func (s Status) IsDue(entryInterval uint64, maxAge time.Duration) bool {
	if s.NextOffset == 0 {
		return false
	}
	middle := s.EarliestOffset + (s.NextOffset-min(s.NextOffset, s.EarliestOffset))/2
	return s.NextOffset-min(s.NextOffset, s.CheckpointOffset) >= entryInterval || s.Age >= maxAge || s.EarliestOffset > 0 && s.CheckpointOffset < middle
}

// Writer writes checkpoints. Keeper, Submit, IsChosen and EarliestOffset must be
// set.
type Writer struct {
	Keeper *keeper.Keeper
	// Submit writes one record and waits until it is read back.
	Submit func(ctx context.Context, rec *recordv1.Record) (applier.Event, error)
	// IsChosen reports whether this instance is the one that writes checkpoints.
	IsChosen func() bool
	// EarliestOffset returns the first offset that the log still has.
	EarliestOffset func() uint64
	// OnWrite, if set, is called after every checkpoint with its size and result.
	OnWrite func(bytes int, err error)
	// EntryInterval and MaxAge replace the defaults if they are not 0.
	EntryInterval uint64
	MaxAge        time.Duration

	mu           sync.Mutex
	newestOffset uint64        // first offset that the newest checkpoint does not include
	newestReadAt time.Time     // time of its reading, or the start of Run
	wake         chan struct{} // holds one token after a batch was read
}

// OnEvents records the checkpoints in the log. It looks at last chunks only: the
// last chunk of a checkpoint is written after all others were read back.
func (w *Writer) OnEvents(events []applier.Event) {
	defer w.triggerCheck()
	for _, e := range events {
		c := e.Record.GetCheckpointChunk()
		if c == nil || c.GetIndex()+1 != c.GetCount() {
			continue
		}
		w.mu.Lock()
		if c.GetNextOffset() >= w.newestOffset {
			w.newestOffset = c.GetNextOffset()
			w.newestReadAt = time.Now()
		}
		w.mu.Unlock()
	}
}

// triggerCheck makes Run check whether a checkpoint is due. The ticks alone are
// not enough: between two of them a burst of records may exceed the log's whole
// retention.
func (w *Writer) triggerCheck() {
	select {
	case w.wakeChan() <- struct{}{}:
	default:
	}
}

func (w *Writer) wakeChan() chan struct{} {
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
	return Status{NextOffset: w.Keeper.NextOffset(), EarliestOffset: w.EarliestOffset(), CheckpointOffset: w.newestOffset, Age: now.Sub(w.newestReadAt)}
}

// Run writes checkpoints when they are due, until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	w.mu.Lock()
	w.newestReadAt = time.Now()
	w.mu.Unlock()
	entryInterval, maxAge := w.EntryInterval, w.MaxAge
	if entryInterval == 0 {
		entryInterval = DefaultEntryInterval
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
		case <-w.wakeChan():
		}
		if !w.status(time.Now()).IsDue(entryInterval, maxAge) || !w.IsChosen() {
			continue
		}
		n, err := w.Write(ctx)
		if w.OnWrite != nil {
			w.OnWrite(n, err)
		}
		if err != nil {
			sleeper.Sleep(ctx, retryDelay)
		}
	}
}

// Write writes one checkpoint and returns its size in bytes.
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
	k.View(func(s *applier.State) {
		if s.IsHalted() {
			err = errors.New("the state is halted at unknown rules")
			return
		}
		next = s.NextOffset
		data, err = Encode(s)
	})
	return data, next, err
}
