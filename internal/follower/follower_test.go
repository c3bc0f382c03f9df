package follower

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// fakeLog is a keyed topic in memory.
type fakeLog struct {
	records []Record // by offset
	first   int64    // first offset that can still be read
	err     error    // returned by all calls
	// numUnlisted is the number of the last records that a listing misses although
	// its end is after them.
	numUnlisted int
}

func (l *fakeLog) add(key, value string) {
	r := Record{Key: key, Offset: int64(len(l.records))}
	if value != "" {
		r.Value = []byte(value)
	}
	l.records = append(l.records, r)
}

func (l *fakeLog) topic() Topic {
	return Topic{
		Newest: func(context.Context, string) ([]Record, bool, int64, error) {
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
			return out, false, int64(len(l.records)), l.err
		},
		Read: func(_ context.Context, from int64, _ time.Duration) ([]Record, int64, error) {
			if l.err != nil {
				return nil, 0, l.err
			}
			if from < l.first {
				return nil, 0, TruncatedError{FirstOffset: l.first}
			}
			return l.records[from:], int64(len(l.records)), nil
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
	responses := []struct {
		records []Record
		next    int64
	}{
		{nil, 0}, // the peer has no records either
		{[]Record{{Key: "config", Value: []byte("v3"), Offset: 2}}, 3},
	}
	f.ReadPeers = func(context.Context, int64) ([]Record, int64, error) {
		r := responses[0]
		responses = responses[1:]
		return r.records, r.next, nil
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
	remote.Topic.Read = func(ctx context.Context, from int64, wait time.Duration) ([]Record, int64, error) {
		numReads++
		return read(ctx, from, wait)
	}
	isFresh := true
	remote.ReadNearby = func(_ context.Context, from int64) ([]Record, int64, time.Duration, bool) {
		records, next, _, _ := peer.Since(from)
		return records, next, time.Hour, isFresh
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
	_, _, age, _ := remote.Since(0)
	require.GreaterOrEqual(t, age, time.Hour, "the age includes the age at the peer")

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
	f.Await(t.Context(), 0, time.Hour) // returns at once, since nothing was read yet
	step(t, f)
	f.Await(t.Context(), 0, time.Hour) // returns at once, since there are records already
	f.Await(t.Context(), 1, time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Await(t.Context(), 1, time.Hour)
	}()
	l.add("a", "2")
	step(t, f)
	<-done
}
