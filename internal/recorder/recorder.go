package recorder

import (
	"context"
	"slices"
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

// Bounds of a Recorder.
const (
	DefaultMaxPending    = 8192
	DefaultAppendTimeout = 2 * time.Second
	DefaultBackoff       = 100 * time.Millisecond
	// MaxRecordBytes is the largest record.
	MaxRecordBytes = 1 << 20
	maxBatch       = 1024
	maxBatchBytes  = MaxRecordBytes
	maxBackoff     = 2 * time.Second
	// maxAbandoned bounds the records that are remembered after their
	// submitters stopped waiting.
	maxAbandoned = 4096
	// failuresToFail is how many appends in a row fail before the log is
	// taken as out. One lost reply alone is no outage.
	failuresToFail = 2
)

// Recorder appends records. Append and Incarnation must be set before Run.
type Recorder struct {
	// Append writes one batch to the log.
	Append func(ctx context.Context, payload []byte) error
	// Incarnation names the writer in every batch.
	Incarnation string
	// Rules, if set, returns the active version of the fold's rules.
	Rules func() uint32
	// Abandoned, if set, hears of records that are read back after their
	// submitter stopped waiting.
	Abandoned func(folder.Event)
	// OnAppend, if set, hears the result of every append and the records
	// written. A probe has no records.
	OnAppend func(records []*recordv1.Record, err error)
	// MaxPending bounds the records that are queued or under way.
	MaxPending    int
	AppendTimeout time.Duration
	// Jitter, if set, replaces the random spread of a pause.
	Jitter func(time.Duration) time.Duration

	mu        sync.Mutex
	queue     []*pending
	byID      map[string]*pending
	abandoned abandonedRecords
	failures  int // appends in a row that failed
	failing   bool
	wake      chan struct{}

	// forgetful makes Submit take every record that it stops waiting for as
	// not written. Tests show with it that the answer would be false.
	forgetful bool
}

// fate is what became of a record.
type fate struct {
	event folder.Event
	err   error
}

type pending struct {
	rec    *recordv1.Record
	size   int
	done   chan fate // nil if nobody waits
	queued bool
	tried  bool
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

// IsFailing reports whether the log is out. The recorder tries it again by
// itself, and Submit refuses at once until it answers.
func (r *Recorder) IsFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing
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
	p := &pending{rec: rec, done: make(chan fate, 1)}
	if err := r.enqueue(p); err != nil {
		return folder.Event{}, err
	}
	select {
	case f := <-p.done:
		return f.event, f.err
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case f := <-p.done:
		return f.event, f.err
	default:
	}
	r.removeLocked(p)
	if !p.tried || r.forgetful {
		return folder.Event{}, errors.Wrapf(ErrNotWritten, "%v", ctx.Err())
	}
	r.abandoned.add(rec.GetId())
	return folder.Event{}, errors.Wrapf(ErrUnknown, "%v", ctx.Err())
}

// Post writes a record without waiting for it, after an outage if there is
// one. It reports whether the record was queued.
func (r *Recorder) Post(rec *recordv1.Record) bool {
	return r.enqueue(&pending{rec: rec}) == nil
}

func (r *Recorder) enqueue(p *pending) error {
	if p.rec.GetId() == "" {
		p.rec.Id = NewID()
	}
	data, err := proto.Marshal(p.rec)
	if err != nil {
		return errors.Wrapf(ErrNotWritten, "%v", err)
	}
	if p.size = len(data); p.size > MaxRecordBytes {
		return errors.Wrapf(ErrNotWritten, "a record of %d bytes is too large", p.size)
	}
	limit := r.MaxPending
	if limit == 0 {
		limit = DefaultMaxPending
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(r.byID) >= limit:
		return errors.Wrap(ErrNotWritten, "too many records are waiting for the log")
	case r.failing && p.done != nil:
		return errors.Wrap(ErrNotWritten, "the log does not answer")
	case r.byID[p.rec.GetId()] != nil:
		return errors.Wrap(ErrUnknown, "the record waits already")
	}
	if r.byID == nil {
		r.byID = make(map[string]*pending)
	}
	r.byID[p.rec.GetId()] = p
	p.queued = true
	r.queue = append(r.queue, p)
	r.signalLocked()
	return nil
}

func (r *Recorder) signalLocked() {
	select {
	case r.wakeLocked() <- struct{}{}:
	default:
	}
}

func (r *Recorder) removeLocked(p *pending) {
	delete(r.byID, p.rec.GetId())
	if p.queued {
		r.queue = slices.DeleteFunc(r.queue, func(q *pending) bool { return q == p })
		p.queued = false
	}
}

// OnEvents learns the fate of records. The keeper calls it for every batch.
func (r *Recorder) OnEvents(events []folder.Event) {
	for _, e := range events {
		r.mu.Lock()
		p := r.byID[e.Record.GetId()]
		abandoned := r.abandoned.take(e.Record.GetId())
		if p != nil {
			// What is read back was written: only its reply may have been lost.
			r.failures, r.failing = 0, false
			r.removeLocked(p)
			if p.done != nil {
				p.done <- fate{event: e}
			}
		}
		r.mu.Unlock()
		if abandoned && r.Abandoned != nil {
			r.Abandoned(e)
		}
	}
}

// Reset forgets the records that may be in a part of the log that is not read
// record by record, since the state was taken over as a whole.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.byID {
		if !p.tried {
			continue
		}
		r.removeLocked(p)
		if p.done != nil {
			r.abandoned.add(p.rec.GetId())
			p.done <- fate{err: errors.Wrap(ErrUnknown, "the log was not read record by record")}
		}
	}
}

// abandonedRecords remembers the newest records that nobody waits for any more.
type abandonedRecords struct {
	ids   map[string]struct{}
	order []string
}

func (a *abandonedRecords) add(id string) {
	if a.ids == nil {
		a.ids = make(map[string]struct{})
	}
	a.ids[id] = struct{}{}
	a.order = append(a.order, id)
	if len(a.order) > maxAbandoned {
		delete(a.ids, a.order[0])
		a.order = slices.Delete(a.order, 0, 1)
	}
}

func (a *abandonedRecords) take(id string) bool {
	_, ok := a.ids[id]
	delete(a.ids, id)
	return ok
}
