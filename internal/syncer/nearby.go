package syncer

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/follower"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// readerWait is how long the reader waits for records.
	readerWait = 300 * time.Millisecond
	// defaultReaderTimeout is how much longer than readerWait the call may take. It is
	// short so that a reader that does not respond delays new records only briefly.
	defaultReaderTimeout = 250 * time.Millisecond
	// readerRetryDelay is how long the log is read directly after the reader has
	// failed.
	readerRetryDelay = 2 * time.Second
	// secondReaderRetryDelay is the same for the second reader. It is shorter because the
	// second one reads through the first until it finds that this one has failed.
	secondReaderRetryDelay = 500 * time.Millisecond
	// maxReaders is the number of members of a data centre that read the log directly while
	// the first ones cannot be used.
	maxReaders = 2
)

// NearbyReader returns a function that reads a topic through a reader of this data centre: the
// first of its members by name, or the second while the first has lost the log. Each call to the
// log has a cost, while traffic within a data centre is free. If the reader last read the log
// longer ago than maxAge, its response is not used. After a call that failed the log is read
// directly: the reader may be busy with sending a large record to all others.
func (c *Client) NearbyReader(topic string, maxAge time.Duration) func(ctx context.Context, from sequencer.Position) (follower.Batch, bool) {
	var failedAt time.Time                 // of a call
	oldUntil := make(map[string]time.Time) // by instance
	return func(ctx context.Context, from sequencer.Position) (follower.Batch, bool) {
		if time.Since(failedAt) < readerRetryDelay {
			return follower.Batch{}, false
		}
		retryDelay := readerRetryDelay
		for _, m := range readersOf(c.Members(), c.Self.GetDataCentre()) {
			if m.GetInstance() == c.Self.GetInstance() || ctx.Err() != nil {
				break
			}
			if !time.Now().Before(oldUntil[m.GetInstance()]) {
				b, err := c.readThrough(ctx, m, topic, from, maxAge)
				switch {
				case err == nil:
					return b, true
				case !errors.Is(err, errOldRecords):
					failedAt = time.Now()
					return follower.Batch{}, false
				}
				oldUntil[m.GetInstance()] = time.Now().Add(retryDelay)
			}
			retryDelay = secondReaderRetryDelay
		}
		return follower.Batch{}, false
	}
}

// errOldRecords means that a reader has not read the log lately.
var errOldRecords = errors.New("the records are too old")

// readThrough reads a topic through a member.
func (c *Client) readThrough(ctx context.Context, m *peerv1.Member, topic string, from sequencer.Position, maxAge time.Duration) (follower.Batch, error) {
	cctx, cancel := context.WithTimeout(ctx, readerWait+cmp.Or(c.readerTimeout, defaultReaderTimeout))
	defer cancel()
	r, err := peerv1.NewFleetQueriesProtobufClient("http://"+m.GetPeerAddress(), c.HTTP).Records(cctx, &peerv1.RecordsRequest{
		Topic: topic, From: from.Offset, Era: from.Era, WaitMs: uint32(readerWait.Milliseconds()),
	})
	b := decodeBatch(r)
	if err == nil && (from.IsAfter(b.Next) || b.Age > maxAge) {
		err = errOldRecords
	}
	if err != nil && ctx.Err() == nil {
		c.Log.Info("reader not used", zap.String("topic", topic), zap.String("reader", m.GetInstance()), zap.Int64("from", from.Offset),
			zap.Int64("era", from.Era), zap.Int64("next", b.Next.Offset), zap.Int64("next-era", b.Next.Era), zap.Duration("age", b.Age), logger.Error(err))
	}
	return b, err
}

// readersOf returns the members that read the log for a data centre, the first one to be used
// first.
func readersOf(members []*peerv1.Member, dataCentre string) []*peerv1.Member {
	var local []*peerv1.Member
	for _, m := range members {
		if m.GetDataCentre() == dataCentre && !m.GetIsStopping() {
			local = append(local, m)
		}
	}
	slices.SortFunc(local, func(a, b *peerv1.Member) int { return strings.Compare(a.GetInstance(), b.GetInstance()) })
	return local[:min(len(local), maxReaders)]
}

func decodeBatch(r *peerv1.RecordsResponse) follower.Batch {
	out := follower.Batch{
		Records: make([]follower.Record, 0, len(r.GetRecords())), IsComplete: r.GetIsComplete(),
		Next: sequencer.Position{Era: r.GetEra(), Offset: r.GetNextOffset()}, Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
	}
	for _, x := range r.GetRecords() {
		record := follower.Record{Key: x.GetKey(), Offset: x.GetOffset()}
		if len(x.GetValue()) > 0 {
			record.Value = x.GetValue()
		}
		out.Records = append(out.Records, record)
	}
	if r != nil && r.KnownAgeMs != nil {
		out.IsCurrent, out.KnownAge = true, time.Duration(r.GetKnownAgeMs())*time.Millisecond
	}
	return out
}
