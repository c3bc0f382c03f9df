package recorder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Run appends until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	r.mu.Lock()
	wake := r.wakeLocked()
	r.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		for r.step(ctx) {
		}
	}
}

// step writes one batch and reports whether there may be more to do. While the
// log is out it appends empty batches, with pauses that grow, until one succeeds.
func (r *Recorder) step(ctx context.Context) bool {
	batch := r.take()
	if len(batch) == 0 || r.append(ctx, batch) == nil {
		return len(batch) > 0 && ctx.Err() == nil
	}
	r.requeue(batch)
	backoff := DefaultBackoff
	for r.IsFailing() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(r.jitter(backoff)):
		}
		_ = r.append(ctx, nil)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err() == nil
}

// jitter spreads a pause over half to one and a half of its length, so that
// instances do not come back to the log at the same moment.
func (r *Recorder) jitter(d time.Duration) time.Duration {
	if r.Jitter != nil {
		return r.Jitter(d)
	}
	return d/2 + rand.N(d)
}

func (r *Recorder) take() []*pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, size := 0, 0
	for n < min(len(r.queue), maxBatch) {
		size += r.queue[n].size
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := r.queue[:n:n]
	r.queue = r.queue[n:]
	for _, p := range batch {
		p.tried = true
		p.queued = false
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
		if r.byID[p.rec.GetId()] == p {
			p.queued = true
			again = append(again, p)
		}
	}
	r.queue = append(again, r.queue...)
}

// append writes one batch. A batch without records only tries the log.
func (r *Recorder) append(ctx context.Context, batch []*pending) error {
	recs := make([]*recordv1.Record, len(batch))
	for i, p := range batch {
		recs[i] = p.rec
	}
	version := uint32(folder.Version)
	if r.Rules != nil {
		version = r.Rules()
	}
	payload, err := proto.Marshal(&recordv1.Batch{Version: version, Writer: r.Incarnation, Records: recs})
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
	r.noteResult(batch, err, actx.Err() != nil)
	if r.OnAppend != nil {
		r.OnAppend(recs, err)
	}
	return err
}

// isReadBackLocked reports whether the whole batch was read back.
func (r *Recorder) isReadBackLocked(batch []*pending) bool {
	for _, p := range batch {
		if r.byID[p.rec.GetId()] == p {
			return false
		}
	}
	return len(batch) > 0
}

// noteResult learns whether the log is out. Then records that were part of no
// append are refused at once.
func (r *Recorder) noteResult(batch []*pending, err error, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || r.isReadBackLocked(batch) {
		r.failures, r.failing = 0, false
		return
	}
	r.failures++
	r.failing = r.failing || timedOut || r.failures >= failuresToFail
	if !r.failing {
		return
	}
	var kept []*pending
	for _, p := range r.queue {
		if p.tried || p.done == nil {
			kept = append(kept, p)
			continue
		}
		delete(r.byID, p.rec.GetId())
		p.queued = false
		p.done <- fate{err: errors.Wrap(ErrNotWritten, "the log does not answer")}
	}
	r.queue = kept
}
