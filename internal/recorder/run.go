package recorder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Run appends queued records until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	r.mu.Lock()
	wake := r.wakeChanLocked()
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

// step appends one batch and reports whether more records may be queued. While
// the log is unavailable it appends empty batches, with increasing delays, until
// one succeeds.
func (r *Recorder) step(ctx context.Context) bool {
	batch := r.takeBatch()
	if len(batch) == 0 || r.append(ctx, batch) == nil {
		return len(batch) > 0 && ctx.Err() == nil
	}
	r.requeue(batch)
	r.pause(ctx, DefaultBackoff)
	backoff := DefaultBackoff
	for r.IsLogUnavailable() && ctx.Err() == nil {
		if r.append(ctx, nil) == nil {
			break
		}
		backoff = min(2*backoff, maxBackoff)
		r.pause(ctx, backoff)
	}
	return ctx.Err() == nil
}

func (r *Recorder) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(r.jitter(d)):
	}
}

// jitter returns a random delay between 0.5*d and 1.5*d, so that the instances do
// not all retry at the same time.
func (r *Recorder) jitter(d time.Duration) time.Duration {
	if r.Jitter != nil {
		return r.Jitter(d)
	}
	return d/2 + rand.N(d)
}

func (r *Recorder) takeBatch() []*pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, size := 0, 0
	for n < min(len(r.queue), maxBatchRecords) {
		size += r.queue[n].size
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := r.queue[:n:n]
	r.queue = r.queue[n:]
	for _, p := range batch {
		p.wasAttempted = true
		p.isQueued = false
	}
	return batch
}

// requeue puts the records of a failed batch that are not read back yet at the
// head of the queue. Abandoned records are left out: their submitters have given
// up, so a later write would only have a late effect.
func (r *Recorder) requeue(batch []*pending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unfinished []*pending
	for _, p := range batch {
		if r.byID[p.rec.GetId()] == p {
			p.isQueued = true
			unfinished = append(unfinished, p)
		}
	}
	r.queue = append(unfinished, r.queue...)
}

// append writes one batch. A batch without records is a probe of the log.
func (r *Recorder) append(ctx context.Context, batch []*pending) error {
	recs := make([]*recordv1.Record, len(batch))
	for i, p := range batch {
		recs[i] = p.rec
	}
	version := uint32(applier.Version)
	if r.RulesVersion != nil {
		version = r.RulesVersion()
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
	r.recordResult(batch, err, actx.Err() != nil)
	if r.OnAppend != nil {
		r.OnAppend(recs, err)
	}
	return err
}

// isReadBackLocked reports whether the whole batch was read back.
func (r *Recorder) isReadBackLocked(batch []*pending) bool {
	for _, p := range batch {
		if !p.isReadBack {
			return false
		}
	}
	return len(batch) > 0
}

// recordResult updates whether the log is considered unavailable. If it is, the
// submitted records that were never part of an append are refused.
func (r *Recorder) recordResult(batch []*pending, err error, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || r.isReadBackLocked(batch) {
		r.numFailures, r.isUnavailable = 0, false
		return
	}
	if r.numFailures++; r.numFailures == 1 {
		r.firstFailureAt = time.Now()
	}
	r.isUnavailable = r.isUnavailable || timedOut || time.Since(r.firstFailureAt) >= unavailableAfter
	if !r.isUnavailable {
		return
	}
	var kept []*pending
	for _, p := range r.queue {
		if p.wasAttempted || p.done == nil {
			kept = append(kept, p)
			continue
		}
		delete(r.byID, p.rec.GetId())
		p.isQueued = false
		p.done <- result{err: errors.Wrap(ErrNotWritten, "the log does not answer")}
	}
	r.queue = kept
}
