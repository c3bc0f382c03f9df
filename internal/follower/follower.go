// Package follower reads a keyed topic of the platform's log and keeps the
// newest record of each key.
//
// Reads are paced, since the calls of all instances together are limited and some
// topics get a record every few milliseconds. The rules:
//
//   - A follower starts by listing the newest record of each key. The pages of the
//     listing are not a snapshot, and the end that they state may be later than the
//     records. So the follower reads on after the newest record of the first page.
//   - If the log has dropped the next records, the follower lists again, and reads
//     on from the first offset that the log still had before the listing. A known
//     key that is missing from the listing has been dropped.
//   - Every call has a timeout. The platform counts as lost from the first failed
//     call until the next call that succeeds.
//   - A follower reads through a peer instead of the log while the records of the
//     peer are recent enough. While the platform is lost, a peer may have newer
//     records. Records from peers are applied by offset, like those from the log.
package follower

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
)

const (
	// callMargin is how much longer than the wait that it requests a call may take.
	// The platform responds within milliseconds, and within a few hundred when slow.
	callMargin = 700 * time.Millisecond
	// retryDelay is the delay after a failed call. It doubles up to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// minPeerReadInterval is the least time between two reads through a peer.
	minPeerReadInterval = 20 * time.Millisecond
)

// TruncatedError is returned by a read of records that the log has dropped.
type TruncatedError struct {
	FirstOffset int64 // the first offset that the log still has
}

func (e TruncatedError) Error() string {
	return fmt.Sprintf("the log has dropped the requested records; its first offset is %d", e.FirstOffset)
}

// Record is a record of a key. A nil Value means that the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Topic reads one topic.
type Topic struct {
	// Newest returns a page of the newest records of the keys after the given key,
	// whether there are more, and the end offset of the topic.
	Newest func(ctx context.Context, after string) (records []Record, more bool, end int64, err error)
	// Read returns the records from an offset on, and the next offset. It returns
	// as soon as there is a record, or after the wait. It returns a TruncatedError
	// if the log has dropped the records.
	Read func(ctx context.Context, from int64, wait time.Duration) (records []Record, next int64, err error)
}

// Follower follows a topic. Its exported fields must be set before Run.
type Follower struct {
	Name  string
	Topic Topic
	// MaxWait is how long a read waits for a record. MinInterval is the least time
	// between the starts of two reads.
	MaxWait, MinInterval time.Duration
	// OnRecords is called with new records, one for each key. If isComplete is set,
	// they are the records of all keys of the topic.
	OnRecords func(records []Record, isComplete bool)
	// OnPlatformLost is called with true when the platform is lost, and with false
	// when it is regained.
	OnPlatformLost func(isLost bool)
	// ReadNearby, if set, reads from an offset on through a peer of the same data
	// centre, like Topic.Read, and returns the time since the peer read the log. It
	// reports false if there is no such peer or if the peer's records are too old.
	ReadNearby func(ctx context.Context, from int64) (records []Record, next int64, age time.Duration, ok bool)
	// ReadPeers, if set, requests records from an offset on from peers. It is used
	// while the platform is lost.
	ReadPeers func(ctx context.Context, from int64) ([]Record, int64, error)
	Log       *zap.Logger

	mu             sync.Mutex
	newest         map[string]Record // by key
	next           int64             // next offset to read
	nextDelivery   int64             // first offset that was not passed to OnRecords
	readAt         time.Time         // when the log was last read, here or by the peer
	hasRead        bool              // whether the topic was listed, or read through a peer
	isPlatformLost bool
	numFailures    int           // consecutive failed calls
	advanced       chan struct{} // closed when next increases
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		fromPeer, err := f.step(ctx)
		pause := f.MinInterval - time.Since(startedAt)
		if fromPeer {
			pause = minPeerReadInterval
		}
		if err != nil {
			pause = min(retryDelay<<min(f.numFailures, 4), maxRetryDelay)
			f.handleFailure(ctx, err)
		} else {
			f.handleSuccess()
		}
		if pause <= 0 {
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// step reads once, through a peer or from the log. fromPeer reports whether a peer
// has responded.
func (f *Follower) step(ctx context.Context) (fromPeer bool, err error) {
	f.mu.Lock()
	hasRead, from := f.hasRead, f.next
	f.mu.Unlock()
	if !hasRead {
		return false, f.list(ctx, -1)
	}
	if f.ReadNearby != nil {
		if records, next, age, ok := f.ReadNearby(ctx, from); ok {
			f.apply(records, next, age, false)
			return true, nil
		}
	}
	return false, f.read(ctx, from)
}

// read reads the log from an offset on.
func (f *Follower) read(ctx context.Context, from int64) error {
	cctx, cancel := context.WithTimeout(ctx, f.MaxWait+callMargin)
	defer cancel()
	records, next, err := f.Topic.Read(cctx, from, f.MaxWait)
	var dropped TruncatedError
	if errors.As(err, &dropped) {
		f.Log.Info("log dropped records before they were read", zap.String("topic", f.Name), zap.Int64("from", from), zap.Int64("first", dropped.FirstOffset))
		return f.list(ctx, dropped.FirstOffset)
	}
	if err != nil {
		return err
	}
	f.apply(records, next, 0, false)
	return nil
}

// list reads and applies the newest record of each key. first is the first offset
// that the log had before the listing, -1 if it is not known.
func (f *Follower) list(ctx context.Context, first int64) error {
	var all []Record
	after, next := "", first
	for {
		cctx, cancel := context.WithTimeout(ctx, callMargin)
		page, more, end, err := f.Topic.Newest(cctx, after)
		cancel()
		if err != nil {
			return err
		}
		if next < 0 {
			next = newestOffset(page, end) + 1
		}
		all = append(all, page...)
		if !more || len(page) == 0 {
			break
		}
		after = page[len(page)-1].Key
	}
	f.Log.Info("topic listed", zap.String("topic", f.Name), zap.Int("records", len(all)),
		zap.Int64("newest", newestOffset(all, next)), zap.Int64("next", next))
	f.apply(all, next, 0, true)
	return nil
}

// newestOffset returns the offset of the newest record, or the last offset before
// the end if there are no records.
func newestOffset(records []Record, end int64) int64 {
	if len(records) == 0 {
		return end - 1
	}
	newest := records[0].Offset
	for _, r := range records {
		newest = max(newest, r.Offset)
	}
	return newest
}

// apply keeps the records that are newer than the known records of their keys, and
// passes them to OnRecords. age is the time since the log was read. If isComplete is
// set, records holds all keys of the topic.
func (f *Follower) apply(records []Record, next int64, age time.Duration, isComplete bool) {
	f.mu.Lock()
	if f.newest == nil {
		f.newest = make(map[string]Record)
	}
	for _, r := range records {
		if old, ok := f.newest[r.Key]; !ok || old.Offset < r.Offset {
			f.newest[r.Key] = r
		}
	}
	var fresh []Record // only the newest for each key; replaced records are not passed on
	for _, r := range records {
		if f.newest[r.Key].Offset == r.Offset && r.Offset >= f.nextDelivery {
			fresh = append(fresh, r)
		}
	}
	for _, r := range fresh {
		f.nextDelivery = max(f.nextDelivery, r.Offset+1)
	}
	if isComplete {
		f.dropMissingLocked(records, next)
	}
	if next > f.next || !f.hasRead {
		f.next = next
		if f.advanced != nil {
			close(f.advanced)
			f.advanced = nil
		}
	}
	f.hasRead = true
	f.readAt = time.Now().Add(-age)
	passed := fresh
	if isComplete {
		passed = passed[:0:0]
		for _, r := range f.newest {
			if r.Value != nil {
				passed = append(passed, r)
			}
		}
	}
	f.mu.Unlock()
	if len(passed) > 0 || isComplete {
		f.OnRecords(passed, isComplete)
	}
}

// dropMissingLocked marks the keys that are missing from a listing as dropped,
// unless their record is newer than the listing.
func (f *Follower) dropMissingLocked(all []Record, listEnd int64) {
	isListed := make(map[string]bool, len(all))
	for _, r := range all {
		isListed[r.Key] = true
	}
	for k, r := range f.newest {
		if !isListed[k] && r.Offset < listEnd && r.Value != nil {
			// The offset of the drop is not known. The last offset before the end of
			// the listing is used, so that a peer that reads through this follower and
			// has all earlier records still receives the drop.
			f.newest[k] = Record{Key: k, Offset: max(r.Offset, listEnd-1)}
		}
	}
}

func (f *Follower) handleFailure(ctx context.Context, err error) {
	f.numFailures++
	if !f.isPlatformLost && ctx.Err() == nil {
		f.isPlatformLost = true
		f.Log.Warn("platform lost", zap.String("topic", f.Name), logger.Error(err))
		f.OnPlatformLost(true)
	}
	if f.ReadPeers == nil || ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	from := f.next
	f.mu.Unlock()
	records, next, err := f.ReadPeers(ctx, from)
	if err != nil {
		f.Log.Debug("failed to request records from peers", zap.String("topic", f.Name), logger.Error(err))
		return
	}
	if next <= from {
		return // the peer has no newer records
	}
	if len(records) > 0 {
		f.Log.Info("received records from a peer", zap.String("topic", f.Name), zap.Int("records", len(records)), zap.Int64("next", next))
	}
	f.apply(records, next, 0, false)
}

func (f *Follower) handleSuccess() {
	f.numFailures = 0
	if f.isPlatformLost {
		f.isPlatformLost = false
		f.Log.Info("platform regained", zap.String("topic", f.Name))
		f.OnPlatformLost(false)
	}
}

// Since returns the newest records of the keys that changed from an offset on, the
// next offset, and the time since the topic was read. It reports false if the topic
// was never read.
func (f *Follower) Since(from int64) (records []Record, next int64, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.newest {
		if r.Offset >= from {
			records = append(records, r)
		}
	}
	return records, f.next, time.Since(f.readAt), f.hasRead
}

// Await returns when there are records from an offset on, or after the wait. It
// returns at once if the topic was never read.
func (f *Follower) Await(ctx context.Context, from int64, wait time.Duration) {
	f.mu.Lock()
	if !f.hasRead || f.next > from || wait <= 0 {
		f.mu.Unlock()
		return
	}
	if f.advanced == nil {
		f.advanced = make(chan struct{})
	}
	advanced := f.advanced
	f.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-advanced:
	}
}
