package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Errors of Submit.
var (
	// ErrNotWritten means that the record is not in the log and never will be.
	ErrNotWritten = errors.New("record was not written")
	// ErrUnknown means that the record may be in the log.
	ErrUnknown = errors.New("record may have been written")
)

// Defaults of a Recorder's bounds.
const (
	DefaultMaxPending    = 8192
	DefaultAppendTimeout = 2 * time.Second
	DefaultBackoff       = 100 * time.Millisecond
	maxBatch             = 1024
	maxBackoff           = 2 * time.Second
	failureMemory        = time.Second
)

// Recorder appends records. Append and Incarnation must be set before Run.
type Recorder struct {
	// Append writes one batch to the log.
	Append func(ctx context.Context, payload []byte) error
	// Incarnation names the writer in every batch.
	Incarnation string
	// Abandoned, if set, hears of records that are read back after their
	// submitter stopped waiting.
	Abandoned func(folder.Event)
	// OnAppend, if set, hears the result of every append and the kinds written.
	OnAppend func(records []*recordv1.Record, err error)
	// MaxPending bounds the records that are queued or under way.
	MaxPending    int
	AppendTimeout time.Duration

	mu       sync.Mutex
	queue    []*pending
	byID     map[string]*pending
	failedAt time.Time // zero if the last append succeeded
	wake     chan struct{}
}

type pending struct {
	rec       *recordv1.Record
	done      chan folder.Event // nil if nobody waits
	tried     bool
	abandoned bool
}

// NewID returns a new record id.
func NewID() string {
	return ulid.Make().String()
}

func (r *Recorder) wakeLocked() chan struct{} {
	if r.wake == nil {
		r.wake = make(chan struct{}, 1)
	}
	return r.wake
}

// IsFailing reports whether the last append failed a short while ago. After
// that while the next record tries the log again.
func (r *Recorder) IsFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failedAt.IsZero() && time.Since(r.failedAt) < failureMemory
}

// Pending returns the number of records that were not read back yet.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}

// Submit writes a record and returns its fate once it has been read back.
// It sets the record's id if that is empty.
func (r *Recorder) Submit(ctx context.Context, rec *recordv1.Record) (folder.Event, error) {
	p := &pending{rec: rec, done: make(chan folder.Event, 1)}
	if err := r.enqueue(p); err != nil {
		return folder.Event{}, err
	}
	select {
	case e := <-p.done:
		return e, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case e := <-p.done:
		return e, nil
	default:
	}
	if !p.tried {
		r.removeLocked(p)
		return folder.Event{}, errors.Wrapf(ErrNotWritten, "%v", ctx.Err())
	}
	p.abandoned = true
	return folder.Event{}, errors.Wrapf(ErrUnknown, "%v", ctx.Err())
}

// Post writes a record without waiting for it. It reports whether the record
// was queued.
func (r *Recorder) Post(rec *recordv1.Record) bool {
	return r.enqueue(&pending{rec: rec}) == nil
}

func (r *Recorder) enqueue(p *pending) error {
	if p.rec.GetId() == "" {
		p.rec.Id = NewID()
	}
	limit := r.MaxPending
	if limit == 0 {
		limit = DefaultMaxPending
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) >= limit {
		return errors.Wrap(ErrNotWritten, "too many records are waiting for the log")
	}
	if r.byID == nil {
		r.byID = make(map[string]*pending)
	}
	r.byID[p.rec.GetId()] = p
	r.queue = append(r.queue, p)
	select {
	case r.wakeLocked() <- struct{}{}:
	default:
	}
	return nil
}

func (r *Recorder) removeLocked(p *pending) {
	delete(r.byID, p.rec.GetId())
	for i, q := range r.queue {
		if q == p {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			return
		}
	}
}

// OnEvents learns the fate of records. The keeper calls it for every batch.
func (r *Recorder) OnEvents(events []folder.Event) {
	for _, e := range events {
		r.mu.Lock()
		p := r.byID[e.Record.GetId()]
		if p != nil {
			r.removeLocked(p)
			if p.done != nil {
				p.done <- e
			}
		}
		abandoned := p != nil && p.abandoned
		r.mu.Unlock()
		if abandoned && r.Abandoned != nil {
			r.Abandoned(e)
		}
	}
}

// Run appends until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	r.mu.Lock()
	wake := r.wakeLocked()
	r.mu.Unlock()
	backoff := DefaultBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for {
			batch := r.take()
			if len(batch) == 0 {
				break
			}
			if err := r.append(ctx, batch); err == nil {
				backoff = DefaultBackoff
				continue
			}
			r.requeue(batch)
			select {
			case <-ctx.Done():
				return
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (r *Recorder) take() []*pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.queue), maxBatch)
	batch := r.queue[:n:n]
	r.queue = r.queue[n:]
	for _, p := range batch {
		p.tried = true
	}
	return batch
}

// requeue puts back what was not read back, but for records that nobody waits
// for any more: writing those again could only do late what was given up.
func (r *Recorder) requeue(batch []*pending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var again []*pending
	for _, p := range batch {
		if r.byID[p.rec.GetId()] == p && !p.abandoned {
			again = append(again, p)
		}
	}
	r.queue = append(again, r.queue...)
}

func (r *Recorder) append(ctx context.Context, batch []*pending) error {
	recs := make([]*recordv1.Record, len(batch))
	for i, p := range batch {
		recs[i] = p.rec
	}
	payload, err := proto.Marshal(&recordv1.Batch{Version: folder.Version, Writer: r.Incarnation, Records: recs})
	if err != nil {
		return errors.Wrap(err, "marshal batch")
	}
	timeout := r.AppendTimeout
	if timeout == 0 {
		timeout = DefaultAppendTimeout
	}
	actx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = r.Append(actx, payload)
	r.mu.Lock()
	r.failedAt = time.Time{}
	if err != nil {
		r.failedAt = time.Now()
	}
	r.mu.Unlock()
	if r.OnAppend != nil {
		r.OnAppend(recs, err)
	}
	return err
}
