package follower

import (
	"context"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

// Since returns the newest records of the keys that changed from a position on. If the
// position is of an earlier era, or some drops after it are not known here, it returns
// the records of all keys. It reports false
// if the topic was never read, or only in an earlier era than the position's.
func (f *Follower) Since(from sequencer.Position) (b Batch, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b = Batch{Next: f.next, Age: time.Since(f.readAt), IsComplete: from.Era < f.next.Era || from.Offset < f.historyStart}
	b.IsCurrent, b.KnownAge = f.isKnown, clocker.SinceStart()-f.knownAt
	for _, r := range f.newest {
		if b.IsComplete && r.Value != nil || !b.IsComplete && r.Offset >= from.Offset {
			b.Records = append(b.Records, r)
		}
	}
	return b, f.hasRead && from.Era <= f.next.Era
}

// Await returns when there are records from a position on, or after the wait. It
// returns at once if the topic was never read.
func (f *Follower) Await(ctx context.Context, from sequencer.Position, wait time.Duration) {
	f.mu.Lock()
	if !f.hasRead || f.next.IsAfter(from) || wait <= 0 {
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
