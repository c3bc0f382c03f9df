package follower

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

// fakeLog is a keyed topic in memory.
type fakeLog struct {
	records []Record // by offset
	first   int64    // first offset that can still be read
	err     error    // returned by all calls
	// numUnlisted is the number of the last records that a listing misses although
	// its end is after them.
	numUnlisted int
	era         int64
}

// restore drops the last n records and starts a new era.
func (l *fakeLog) restore(n int) {
	l.records = l.records[:len(l.records)-n]
	l.era++
}

func (l *fakeLog) add(key, value string) {
	r := Record{Key: key, Offset: int64(len(l.records))}
	if value != "" {
		r.Value = []byte(value)
	}
	l.records = append(l.records, r)
}

func (l *fakeLog) end() sequencer.Position {
	return sequencer.Position{Era: l.era, Offset: int64(len(l.records))}
}

func (l *fakeLog) topic() Topic {
	return Topic{
		Newest: func(context.Context, string) (Page, error) {
			newest := make(map[string]Record)
			for _, r := range l.records[:len(l.records)-l.numUnlisted] {
				newest[r.Key] = r
			}
			var out []Record
			for _, r := range newest {
				if r.Value != nil {
					out = append(out, r)
				}
			}
			return Page{Records: out, End: l.end()}, l.err
		},
		Read: func(_ context.Context, from sequencer.Position, _ time.Duration) (Batch, error) {
			switch {
			case l.err != nil:
				return Batch{}, l.err
			case from.Era != l.era:
				return Batch{}, RestoredError{l.era}
			case from.Offset < l.first:
				return Batch{}, TruncatedError{FirstOffset: l.first}
			}
			return Batch{Records: l.records[from.Offset:], Next: l.end()}, nil
		},
	}
}

// delivered holds the arguments that a follower has passed to its callbacks.
type delivered struct {
	values      map[string]string
	numComplete int
	lost        []bool
}

func follow(l *fakeLog) (*Follower, *delivered) {
	d := &delivered{values: make(map[string]string)}
	return &Follower{
		Name: "test", Topic: l.topic(), Log: zap.NewNop(), OnPlatformLost: func(isLost bool) { d.lost = append(d.lost, isLost) },
		OnRecords: func(records []Record, isComplete bool) {
			if isComplete {
				d.numComplete++
				clear(d.values)
			}
			for _, r := range records {
				if r.Value == nil {
					delete(d.values, r.Key)
				} else {
					d.values[r.Key] = string(r.Value)
				}
			}
		},
	}, d
}

func step(t *testing.T, f *Follower) {
	t.Helper()
	_, err := f.step(t.Context())
	require.NoError(t, err)
}

// A read after an interruption may return several records of a key. Only the newest
// is passed on.
func TestOnlyNewestRecordOfKeyIsDelivered(t *testing.T) {
	l := &fakeLog{}
	l.add("config", "v1")
	f, _ := follow(l)
	var got [][]Record
	f.OnRecords = func(r []Record, _ bool) { got = append(got, r) }
	step(t, f)
	l.add("config", "v2")
	l.add("config", "v3")
	l.add("config", "v4")
	step(t, f)
	require.Len(t, got, 2)
	require.Equal(t, []Record{{Key: "config", Value: []byte("v4"), Offset: 3}}, got[1])
}

func TestRecordsMissingFromListingAreRead(t *testing.T) {
	l := &fakeLog{}
	l.add("config", "v1")
	l.add("config", "v2")
	l.numUnlisted = 1
	f, d := follow(l)
	step(t, f)
	require.Equal(t, "v1", d.values["config"])
	step(t, f)
	require.Equal(t, "v2", d.values["config"], "the record between the listing and its stated end")
}

func TestFollowerListsAgainAfterDroppedRecords(t *testing.T) {
	l := &fakeLog{}
	l.add("a", "1")
	l.add("b", "1")
	f, d := follow(l)
	step(t, f)
	l.add("a", "2")
	l.add("b", "")
	l.add("c", "1")
	l.first = 5
	step(t, f) // the read returns a TruncatedError, and the follower lists again
	require.Equal(t, map[string]string{"a": "2", "c": "1"}, d.values)
	step(t, f)
	l.add("c", "2")
	step(t, f)
	require.Equal(t, "2", d.values["c"])
	require.Equal(t, 2, d.numComplete)
}

// Records from peers are applied by offset, also before the first listing.
func TestRecordsFromPeersDuringPlatformOutage(t *testing.T) {
	l := &fakeLog{err: errors.New("refused")}
	f, d := follow(l)
	responses := []Batch{
		{}, // the peer has no records either
		{Records: []Record{{Key: "config", Value: []byte("v3"), Offset: 2}}, Next: sequencer.Position{Offset: 3}},
	}
	f.ReadPeers = func(context.Context, sequencer.Position) (Batch, error) {
		r := responses[0]
		responses = responses[1:]
		return r, nil
	}
	_, err := f.step(t.Context())
	f.handleFailure(t.Context(), err)
	require.False(t, f.hasRead, "an empty response does not count as a read")
	_, err = f.step(t.Context())
	f.handleFailure(t.Context(), err)
	require.Equal(t, "v3", d.values["config"])
	l.err = nil
	l.add("config", "v1")
	l.add("config", "v2")
	l.add("config", "v3")
	l.add("config", "v4")
	step(t, f)
	f.handleSuccess()
	require.Equal(t, "v4", d.values["config"])
	require.Equal(t, []bool{true, false}, d.lost)
}

// While a peer of the same data centre responds, the log is not read. Keys that the
// peer found dropped in a listing are dropped here as well.
func TestReadsThroughPeerReplaceReadsOfLog(t *testing.T) {
	l := &fakeLog{}
	l.add("a", "1")
	l.add("b", "1")
	peer, _ := follow(l)
	step(t, peer)
	remote, d := follow(l)
	step(t, remote)
	numReads := 0
	read := remote.Topic.Read
	remote.Topic.Read = func(ctx context.Context, from sequencer.Position, wait time.Duration) (Batch, error) {
		numReads++
		return read(ctx, from, wait)
	}
	isFresh := true
	remote.ReadNearby = func(_ context.Context, from sequencer.Position) (Batch, bool) {
		b, _ := peer.Since(from)
		b.Age = time.Hour
		return b, isFresh
	}
	l.add("a", "2")
	step(t, peer)
	step(t, remote)
	require.Equal(t, "2", d.values["a"])

	l.add("b", "")
	l.add("c", "1")
	l.first = int64(len(l.records))
	step(t, peer)
	step(t, remote)
	require.Equal(t, "1", d.values["c"])
	require.NotContains(t, d.values, "b")
	require.Zero(t, numReads)
	b, _ := remote.Since(sequencer.Position{})
	require.GreaterOrEqual(t, b.Age, time.Hour, "the age includes the age at the peer")

	isFresh = false
	l.add("a", "3")
	step(t, remote)
	require.Equal(t, "3", d.values["a"])
	require.Equal(t, 1, numReads)
}

// Await returns when there are new records, or after its wait.
func TestAwait(t *testing.T) {
	l := &fakeLog{}
	l.add("a", "1")
	f, _ := follow(l)
	f.Await(t.Context(), sequencer.Position{}, time.Hour) // returns at once, since nothing was read yet
	step(t, f)
	f.Await(t.Context(), sequencer.Position{}, time.Hour) // returns at once, since there are records already
	f.Await(t.Context(), sequencer.Position{Offset: 1}, time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Await(t.Context(), sequencer.Position{Offset: 1}, time.Hour)
	}()
	l.add("a", "2")
	step(t, f)
	<-done
}

// TestReaderThatStartsPassesOnEarlierDrops guards against a reader that never knew a key,
// since it was dropped before its first listing.
func TestReaderThatStartsPassesOnEarlierDrops(t *testing.T) {
	l := &fakeLog{}
	l.add("a", "1")
	l.add("b", "1")
	f, d := follow(l)
	step(t, f)
	l.add("b", "")
	l.add("a", "2")
	reader, _ := follow(l)
	step(t, reader)
	f.ReadNearby = func(_ context.Context, from sequencer.Position) (Batch, bool) { return reader.Since(from) }
	step(t, f)
	require.Equal(t, map[string]string{"a": "2"}, d.values)
	l.add("c", "1")
	step(t, reader)
	numComplete := d.numComplete
	step(t, f)
	require.Equal(t, map[string]string{"a": "2", "c": "1"}, d.values)
	require.Equal(t, numComplete, d.numComplete, "later changes are passed on alone")
}

// TestReaderPassesOnDropsThatItHasForgotten guards against a reader that keeps the newest
// of very many drops only.
func TestReaderPassesOnDropsThatItHasForgotten(t *testing.T) {
	l := &fakeLog{}
	l.add("old", "1")
	l.add("kept", "1")
	f, d := follow(l)
	reader, _ := follow(l)
	step(t, f)
	step(t, reader)
	l.add("old", "")
	for n := range 2 * maxDropped {
		l.add(fmt.Sprint(n), "")
	}
	step(t, reader)
	f.ReadNearby = func(_ context.Context, from sequencer.Position) (Batch, bool) { return reader.Since(from) }
	step(t, f)
	require.Equal(t, map[string]string{"kept": "1"}, d.values)
}

// TestFirstListingDoesNotWaitForUnansweredCall guards against an instance that serves nothing
// for the timeout of a call that was sent before the platform became reachable.
func TestFirstListingDoesNotWaitForUnansweredCall(t *testing.T) {
	l := &fakeLog{}
	l.add("a", "1")
	f, d := follow(l)
	f.HedgesListing = true
	newest := f.Topic.Newest
	var numCalls atomic.Int32
	f.Topic.Newest = func(ctx context.Context, after string) (Page, error) {
		if numCalls.Add(1) == 1 {
			<-ctx.Done()
			return Page{}, ctx.Err()
		}
		return newest(ctx, after)
	}
	step(t, f)
	require.Equal(t, map[string]string{"a": "1"}, d.values)
	require.EqualValues(t, 2, numCalls.Load())
}

func TestUnansweredCallIsRetriedSoon(t *testing.T) {
	f := &Follower{numFailures: 9}
	require.Equal(t, maxRetryDelay, f.retryPause(time.Millisecond), "the platform refuses")
	require.Equal(t, retryDelay, f.retryPause(callMargin), "it does not respond")
}

// TestFollowerListsAfterAnother checks that a follower waits for the first read of another.
func TestFollowerListsAfterAnother(t *testing.T) {
	l := &fakeLog{}
	l.add("a", "1")
	first, _ := follow(l)
	second, d := follow(l)
	second.After = first.FirstRead()
	ctx, cancel := context.WithCancel(t.Context())
	second.Topic.Read = func(ctx context.Context, _ sequencer.Position, _ time.Duration) (Batch, error) {
		cancel()
		return Batch{}, ctx.Err()
	}
	listed := make(chan struct{})
	newest := second.Topic.Newest
	second.Topic.Newest = func(ctx context.Context, after string) (Page, error) {
		select {
		case <-first.FirstRead():
		default:
			t.Error("listed before the first read of the other")
		}
		close(listed)
		return newest(ctx, after)
	}
	done := make(chan struct{})
	go func() {
		second.Run(ctx)
		close(done)
	}()
	step(t, first)
	<-listed
	<-done
	require.Equal(t, map[string]string{"a": "1"}, d.values)

	ended, end := context.WithCancel(t.Context())
	end()
	other, _ := follow(l)
	waiting, _ := follow(l)
	waiting.After = other.FirstRead()
	waiting.Run(ended) // returns
}
