package follower

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

const (
	// callMargin is how much longer than the wait that it requests a call may take.
	// The platform responds within milliseconds, and within a few hundred when slow.
	callMargin = 700 * time.Millisecond
	// retryDelay is the delay after a failed call. It doubles up to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
	// minUnanswered is the duration from which on a failed call counts as one without a
	// response. It is retried after retryDelay: it did not add to the platform's load.
	minUnanswered = 200 * time.Millisecond
	// hedgeInterval is the time after which an unanswered first listing is requested
	// again beside the earlier calls. The platform may have become reachable in between,
	// and an instance that has just started serves nothing until it is answered.
	hedgeInterval = 200 * time.Millisecond
	// maxDropped is the number of dropped keys above which the oldest are removed.
	maxDropped = 1024
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

	last []byte // value before the key was dropped
}

// Page is a page of the newest records of a topic's keys.
type Page struct {
	Records []Record
	HasMore bool
	End     sequencer.Position // of the topic
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	Next    sequencer.Position // next position to read
	// IsComplete reports whether the records are those of all keys of the topic.
	IsComplete bool
	// Age is the time since the log was read.
	Age time.Duration
	// IsCurrent reports whether the records reach to the end of the log, as it was
	// KnownAge before the batch was requested.
	IsCurrent bool
	// NumMalformed is the number of records that were passed over, since their keys cannot be read.
	NumMalformed int
	// KnownAge includes time for which the reader's machine was suspended.
	KnownAge time.Duration
}

// Topic reads one topic.
type Topic struct {
	// Newest returns a page of the newest records of the keys after the given key.
	Newest func(ctx context.Context, after string) (Page, error)
	// Read returns the records from a position on. It returns as soon as there is a
	// record, or after the wait. It returns a TruncatedError if the log has dropped
	// the records, and a RestoredError if the log is in a later era.
	Read func(ctx context.Context, from sequencer.Position, wait time.Duration) (Batch, error)
}

// Follower follows a topic. Its exported fields must be set before Run.
type Follower struct {
	Name  string
	Topic Topic
	// MaxWait is how long a read waits for a record. MinInterval is the least time
	// between the starts of two reads.
	MaxWait, MinInterval time.Duration
	// OnRecords is called with new records, one for each key. If isComplete is set,
	// they are the records of all keys of the topic. It must not read the topic.
	OnRecords func(records []Record, isComplete bool)
	// OnPlatformLost is called with true when the platform is lost, and with false
	// when it is regained.
	OnPlatformLost func(isLost bool)
	// OnEra, if set, is called with the log's era after the first read, and with
	// isRestored set when the era has changed since. It is called before the records
	// of that era are passed to OnRecords.
	OnEra func(era int64, isRestored bool)
	// IsOlder, if set, reports whether the value a of a key is of an older state than
	// the value b. It is used after a restore of the log.
	IsOlder func(a, b []byte) bool
	// ReadNearby, if set, reads from a position on through a peer of the same data
	// centre, like Topic.Read. It reports false if there is no such peer or if the
	// peer's records are too old.
	ReadNearby func(ctx context.Context, from sequencer.Position) (Batch, bool)
	// HedgesListing says that the first listing is requested again while it is not
	// answered. It is for a topic whose listing is small.
	HedgesListing bool
	// After, if set, is closed when the first listing may be requested.
	After <-chan struct{}
	// ReadPeers, if set, requests records from a position on from peers. It is used
	// while the platform is lost.
	ReadPeers func(ctx context.Context, from sequencer.Position) (Batch, error)
	Log       *zap.Logger

	mu     sync.Mutex
	newest map[string]Record  // by key
	next   sequencer.Position // next position to read
	// historyStart is the first offset of the present era from which on all drops are
	// known. A listing does not contain the keys that were dropped before it.
	historyStart int64
	nextDelivery int64     // first offset that was not passed to OnRecords
	readAt       time.Time // when the log was last read, here or by the peer
	hasRead      bool      // whether the topic was listed, or read through a peer
	isRestored   bool      // whether the log was restored since the first read
	// knownAt is when the newest request was sent whose response showed the end of the log,
	// by clocker.SinceStart, and isKnown whether there was one.
	knownAt        time.Duration
	isKnown        bool
	isPlatformLost bool
	numFailures    int           // consecutive failed calls
	advanced       chan struct{} // closed when next increases
	firstRead      chan struct{} // closed after the first read
	currentRead    chan struct{} // holds an element while ReadCurrent reads

	// delivery is locked before mu, and held while OnRecords is called: records of two reads
	// would otherwise be delivered in another order than that of the log.
	delivery sync.Mutex
}

// Age returns the time since the log was last read, here or by a peer. It reports false if
// it never was.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.readAt), f.hasRead
}

// KnownAge returns how old this instance's knowledge of the topic is: nothing that was
// appended longer ago is missing. It includes time for which the machine was suspended. It
// reports false if the end of the log was never seen.
func (f *Follower) KnownAge() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clocker.SinceStart() - f.knownAt, f.isKnown
}

// Merge applies a batch that was requested from a peer at sentAt, by clocker.SinceStart.
func (f *Follower) Merge(b Batch, sentAt time.Duration) { f.apply(b, sentAt) }

// Next returns the next position to read.
func (f *Follower) Next() sequencer.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if f.After != nil {
		select {
		case <-f.After:
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		startedAt := time.Now()
		fromPeer, err := f.step(ctx)
		pause := f.MinInterval - time.Since(startedAt)
		if fromPeer {
			pause = minPeerReadInterval
		}
		if err != nil {
			pause = f.retryPause(time.Since(startedAt))
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

// FirstRead returns a channel that is closed after the first read of the topic, from the
// log or through a peer.
func (f *Follower) FirstRead() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstReadLocked()
}

func (f *Follower) firstReadLocked() chan struct{} {
	if f.firstRead == nil {
		f.firstRead = make(chan struct{})
	}
	return f.firstRead
}

// retryPause returns the pause after a failed call that took some time.
func (f *Follower) retryPause(took time.Duration) time.Duration {
	if took >= minUnanswered {
		return retryDelay
	}
	return min(retryDelay<<min(f.numFailures, 4), maxRetryDelay)
}

// step reads once, through a peer or from the log. fromPeer reports whether a peer
// has responded.
func (f *Follower) step(ctx context.Context) (fromPeer bool, err error) {
	f.mu.Lock()
	hasRead, from := f.hasRead, f.next
	f.mu.Unlock()
	sentAt := clocker.SinceStart()
	if !hasRead {
		return false, f.list(ctx, -1)
	}
	if f.ReadNearby != nil {
		if b, ok := f.ReadNearby(ctx, from); ok {
			f.apply(b, sentAt)
			return true, nil
		}
	}
	return false, f.read(ctx, from, f.MaxWait)
}

// read reads the log from a position on.
func (f *Follower) read(ctx context.Context, from sequencer.Position, wait time.Duration) error {
	cctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	sentAt := clocker.SinceStart()
	b, err := f.Topic.Read(cctx, from, wait)
	var dropped TruncatedError
	var restored RestoredError
	switch {
	case errors.As(err, &restored):
		f.Log.Warn("log was restored from an older copy", zap.String("topic", f.Name), zap.Int64("era", restored.Era), zap.Int64("before", from.Era), zap.Int64("from", from.Offset))
		return f.list(ctx, -1)
	case errors.As(err, &dropped):
		f.Log.Info("log dropped records before they were read", zap.String("topic", f.Name), zap.Int64("from", from.Offset), zap.Int64("first", dropped.FirstOffset))
		return f.list(ctx, dropped.FirstOffset)
	case err != nil:
		return err
	}
	if b.NumMalformed > 0 {
		f.Log.Warn("records without a readable key passed over", zap.String("topic", f.Name), zap.Int64("from", from.Offset), zap.Int("records", b.NumMalformed))
	}
	f.apply(b, sentAt)
	return nil
}

// apply keeps the records that are newer than the known records of their keys, and
// passes them to OnRecords. The batch was requested at sentAt.
func (f *Follower) apply(b Batch, sentAt time.Duration) {
	f.delivery.Lock()
	defer f.delivery.Unlock()
	f.mu.Lock()
	isNewEra := b.Next.Era != f.next.Era
	if f.hasRead && isNewEra && (b.Next.Era < f.next.Era || !b.IsComplete) {
		f.mu.Unlock()
		return // a late response of an earlier era, or a part of a later one
	}
	isRestored := f.hasRead && isNewEra
	isFirst := !f.hasRead
	f.isRestored = f.isRestored || isRestored
	if f.newest == nil {
		f.newest = make(map[string]Record)
	}
	var passed []Record
	if isRestored {
		f.restoreLocked(b)
	} else {
		passed = f.mergeLocked(b)
	}
	if b.IsComplete || isNewEra {
		f.historyStart = b.Next.Offset
	}
	if b.Next.IsAfter(f.next) || isFirst {
		f.next = b.Next
		if f.advanced != nil {
			close(f.advanced)
			f.advanced = nil
		}
	}
	f.hasRead = true
	if isFirst {
		close(f.firstReadLocked())
	}
	f.readAt = time.Now().Add(-b.Age)
	if b.IsComplete {
		passed = passed[:0:0]
		for _, r := range f.newest {
			if r.Value != nil {
				passed = append(passed, r)
			}
		}
	}
	f.mu.Unlock()
	if f.OnEra != nil && (isFirst || isRestored) {
		f.OnEra(b.Next.Era, isRestored)
	}
	if len(passed) > 0 || b.IsComplete {
		f.OnRecords(passed, b.IsComplete)
	}
	if b.IsCurrent {
		f.mu.Lock() // only now, since the records are in force
		if at := sentAt - b.KnownAge; !f.isKnown || at > f.knownAt {
			f.knownAt, f.isKnown = at, true
		}
		f.mu.Unlock()
	}
}

// mergeLocked merges records of the present era and returns those that are to be
// passed on: only the newest of each key.
func (f *Follower) mergeLocked(b Batch) []Record {
	for _, r := range b.Records {
		old, ok := f.newest[r.Key]
		if ok && old.Offset >= r.Offset {
			continue
		}
		if r.Value == nil {
			r.last = old.value()
		}
		if f.isRestored && f.IsOlder != nil && r.Value != nil && old.value() != nil && f.IsOlder(r.Value, old.value()) {
			f.Log.Info("record of an older state skipped", zap.String("topic", f.Name), zap.String("key", r.Key), zap.Int64("offset", r.Offset))
			r.Value, r.last = old.Value, old.last
		}
		f.newest[r.Key] = r
	}
	var fresh []Record
	for _, r := range b.Records {
		if n := f.newest[r.Key]; n.Offset == r.Offset && r.Offset >= f.nextDelivery {
			fresh = append(fresh, n)
		}
	}
	for _, r := range fresh {
		f.nextDelivery = max(f.nextDelivery, r.Offset+1)
	}
	if b.IsComplete {
		f.dropMissingLocked(b.Records, b.Next.Offset)
	}
	f.removeDroppedLocked()
	return fresh
}

// value returns the last known value of the key, also if the key was dropped.
func (r Record) value() []byte {
	if r.Value != nil {
		return r.Value
	}
	return r.last
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
	sentAt := clocker.SinceStart()
	b, err := f.ReadPeers(ctx, from)
	if err != nil {
		f.Log.Debug("failed to request records from peers", zap.String("topic", f.Name), logger.Error(err))
		return
	}
	if !b.Next.IsAfter(from) {
		return // the peer has no newer records
	}
	if len(b.Records) > 0 {
		f.Log.Info("received records from a peer", zap.String("topic", f.Name), zap.Int("records", len(b.Records)),
			zap.Int64("era", b.Next.Era), zap.Int64("next", b.Next.Offset))
	}
	f.apply(b, sentAt)
}

func (f *Follower) handleSuccess() {
	f.numFailures = 0
	if f.isPlatformLost {
		f.isPlatformLost = false
		f.Log.Info("platform regained", zap.String("topic", f.Name))
		f.OnPlatformLost(false)
	}
}
