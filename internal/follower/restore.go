package follower

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

// maxPeerWait is how long an instance that starts with a restored log requests the
// records from peers before it uses those of the log.
const maxPeerWait = 1200 * time.Millisecond

// RestoredError is returned by a read from a position of an era before the log's
// present one.
type RestoredError struct {
	Era int64 // the present era
}

func (e RestoredError) Error() string {
	return fmt.Sprintf("the log was restored; its era is %d", e.Era)
}

// askPeers requests the records of all keys from a peer that reads the log in the
// given era. A peer that runs since before the restore has the records that the log
// has lost. It reports false if no peer responds.
func (f *Follower) askPeers(ctx context.Context, era int64) (Batch, bool) {
	if f.ReadPeers == nil {
		return Batch{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, maxPeerWait)
	defer cancel()
	for ctx.Err() == nil {
		b, err := f.ReadPeers(ctx, sequencer.Position{Era: era - 1})
		if err == nil && b.IsComplete && b.Next.Era == era {
			f.Log.Info("received records from a peer", zap.String("topic", f.Name), zap.Int("records", len(b.Records)),
				zap.Int64("era", b.Next.Era), zap.Int64("next", b.Next.Offset))
			return b, true
		}
		sleeper.Sleep(ctx, retryDelay)
	}
	return Batch{}, false
}

// restoreLocked replaces the records by those of a restored log, with the offsets of
// the new era. A known value is kept if that of the copy is older. A dropped key stays
// dropped if the copy's value is not newer than the one that was dropped.
func (f *Follower) restoreLocked(b Batch) {
	known := f.newest
	f.newest = make(map[string]Record, len(b.Records))
	f.nextDelivery = 0
	numKept := 0
	for _, r := range b.Records {
		old, ok := known[r.Key]
		switch {
		case !ok || f.IsOlder == nil:
		case old.Value != nil && f.IsOlder(r.Value, old.Value):
			r.Value = old.Value
			numKept++
		case old.Value == nil && old.last != nil && !f.IsOlder(old.last, r.Value):
			r.Value, r.last = nil, old.last
			numKept++
		}
		f.newest[r.Key] = r
		f.nextDelivery = max(f.nextDelivery, r.Offset+1)
	}
	for k, old := range known {
		if _, ok := f.newest[k]; !ok {
			f.newest[k] = Record{Key: k, Offset: b.Next.Offset - 1, last: old.value()}
		}
	}
	f.Log.Warn("records replaced by those of the restored log", zap.String("topic", f.Name), zap.Int64("era", b.Next.Era),
		zap.Int("records", len(b.Records)), zap.Int("kept", numKept), zap.Int("missing", len(f.newest)-len(b.Records)))
}
