package recorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Errors of Submit.
var (
	// ErrNotWritten means that the record is not in the log and never will be.
	ErrNotWritten = errors.New("record was not written")
	// ErrUnknown means that the record may be in the log.
	ErrUnknown = errors.New("record may have been written")
)

// Limits and delays of a Recorder.
const (
	DefaultMaxPending    = 8192
	DefaultAppendTimeout = 2 * time.Second
	// DefaultBackoff is the first delay before another append after a failed one.
	DefaultBackoff = 100 * time.Millisecond
	// MaxRecordBytes is the size of the largest record.
	MaxRecordBytes  = 1 << 20
	maxBatchRecords = 1024
	maxBatchBytes   = MaxRecordBytes
	maxBackoff      = 2 * time.Second
	// maxAbandoned limits the ids that are kept of records whose submitters
	// stopped waiting.
	maxAbandoned = 4096
	// unavailableAfter is how long all appends must fail before the log is
	// considered unavailable. A few lost replies are no outage.
	unavailableAfter = time.Second
)

// Recorder appends records to the log. Append and Incarnation must be set before Run.
type Recorder struct {
	// Append writes one batch to the log.
	Append func(ctx context.Context, payload []byte) error
	// Incarnation identifies the writer in every batch.
	Incarnation string
	// RulesVersion, if set, returns the active version of the rules of package applier.
	RulesVersion func() uint32
	// OnAbandonedRead, if set, is called for every record that is read back after its
	// submitter stopped waiting.
	OnAbandonedRead func(applier.Event)
	// OnAppend, if set, is called after every append with its records and its
	// result. A probe has no records.
	OnAppend func(records []*recordv1.Record, err error)
	// MaxPending limits the records that are queued or in flight.
	MaxPending    int
	AppendTimeout time.Duration
	// Jitter, if set, replaces the random jitter of a delay.
	Jitter func(time.Duration) time.Duration

	mu             sync.Mutex
	queue          []*pending
	byID           map[string]*pending
	abandoned      abandonedRecords
	numFailures    int       // consecutive failed appends
	firstFailureAt time.Time // of the consecutive failures
	isUnavailable  bool      // whether the log is considered unavailable
	wake           chan struct{}

	// assumeNotWritten makes Submit return ErrNotWritten for every record that
	// it stops waiting for. Tests use it to show that this would be wrong.
	assumeNotWritten bool
}

// result is the result of a record: its event once it is read back, or an error.
type result struct {
	event applier.Event
	err   error
}

type pending struct {
	rec          *recordv1.Record
	size         int
	done         chan result // nil for a posted record
	isQueued     bool
	wasAttempted bool // whether it was part of an append
	// isReadBack is true if the record was removed because it was read back,
	// not because its submitter stopped waiting.
	isReadBack bool
}

// NewID returns a new record id.
func NewID() string {
	return ulid.Make().String()
}

func (r *Recorder) wakeChanLocked() chan struct{} {
	if r.wake == nil {
		r.wake = make(chan struct{}, 1)
	}
	return r.wake
}

// IsLogUnavailable reports whether the log is considered unavailable. The recorder
// probes the log on its own, and Submit refuses at once until the log responds.
func (r *Recorder) IsLogUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isUnavailable
}

// NumPending returns the number of records that are not read back yet.
func (r *Recorder) NumPending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}

// Submit writes a record and returns its event once it is read back. It sets the
// record's id if that is empty. Its errors are ErrNotWritten and ErrUnknown.
func (r *Recorder) Submit(ctx context.Context, rec *recordv1.Record) (applier.Event, error) {
	p := &pending{rec: rec, done: make(chan result, 1)}
	if err := r.enqueue(p); err != nil {
		return applier.Event{}, err
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
	if !p.wasAttempted || r.assumeNotWritten {
		return applier.Event{}, errors.Wrapf(ErrNotWritten, "%v", ctx.Err())
	}
	r.abandoned.add(rec.GetId())
	return applier.Event{}, errors.Wrapf(ErrUnknown, "%v", ctx.Err())
}

// Post queues a record without waiting until it is written. While the log is
// unavailable the record stays queued. Post reports whether it was queued.
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
	case r.isUnavailable && p.done != nil:
		return errors.Wrap(ErrNotWritten, "the log does not answer")
	case r.byID[p.rec.GetId()] != nil:
		return errors.Wrap(ErrUnknown, "the record waits already")
	}
	if r.byID == nil {
		r.byID = make(map[string]*pending)
	}
	r.byID[p.rec.GetId()] = p
	p.isQueued = true
	r.queue = append(r.queue, p)
	r.signalLocked()
	return nil
}

func (r *Recorder) signalLocked() {
	select {
	case r.wakeChanLocked() <- struct{}{}:
	default:
	}
}

func (r *Recorder) removeLocked(p *pending) {
	delete(r.byID, p.rec.GetId())
	if p.isQueued {
		r.queue = slices.DeleteFunc(r.queue, func(q *pending) bool { return q == p })
		p.isQueued = false
	}
}

// OnEvents completes the pending records that were read back. The keeper calls it
// for every batch.
func (r *Recorder) OnEvents(events []applier.Event) {
	for _, e := range events {
		r.mu.Lock()
		p := r.byID[e.Record.GetId()]
		abandoned := r.abandoned.remove(e.Record.GetId())
		if p != nil {
			// A record that is read back was written, also if the append failed:
			// its reply may have been lost.
			r.numFailures, r.isUnavailable = 0, false
			p.isReadBack = true
			r.removeLocked(p)
			if p.done != nil {
				p.done <- result{event: e}
			}
		}
		r.mu.Unlock()
		if abandoned && r.OnAbandonedRead != nil {
			r.OnAbandonedRead(e)
		}
	}
}

// Reset removes the pending records that were part of an append. It is called
// after the state was replaced as a whole: the records may be in the part of the
// log that was not read record by record. Their submitters get ErrUnknown.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.byID {
		if !p.wasAttempted {
			continue
		}
		r.removeLocked(p)
		if p.done != nil {
			r.abandoned.add(p.rec.GetId())
			p.done <- result{err: errors.Wrap(ErrUnknown, "the log was not read record by record")}
		}
	}
}

// abandonedRecords holds the ids of the latest records whose submitters stopped
// waiting.
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

func (a *abandonedRecords) remove(id string) bool {
	_, ok := a.ids[id]
	delete(a.ids, id)
	return ok
}
