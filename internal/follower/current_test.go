package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

// currentLog returns a follower of a log that several goroutines may read, and counts the reads.
func currentLog(pageSize int) (f *Follower, d *delivered, add func(key, value string), numReads func() int) {
	l := &fakeLog{}
	f, d = follow(l)
	var mu sync.Mutex
	n := 0
	read, newest := f.Topic.Read, f.Topic.Newest
	f.Topic.Newest = func(ctx context.Context, after string) (Page, error) {
		mu.Lock()
		defer mu.Unlock()
		return newest(ctx, after)
	}
	f.Topic.Read = func(ctx context.Context, from sequencer.Position, wait time.Duration) (Batch, error) {
		mu.Lock()
		defer mu.Unlock()
		n++
		b, err := read(ctx, from, wait)
		if len(b.Records) > pageSize {
			b.Records = b.Records[:pageSize]
			b.Next.Offset = from.Offset + int64(pageSize)
		}
		b.IsCurrent = b.Next == l.end()
		return b, err
	}
	add = func(key, value string) {
		mu.Lock()
		defer mu.Unlock()
		l.add(key, value)
	}
	return f, d, add, func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// TestReadCurrentReturnsWhatWasAppendedBefore guards against a decision by records that were read
// before the newest of them was appended.
func TestReadCurrentReturnsWhatWasAppendedBefore(t *testing.T) {
	f, d, add, numReads := currentLog(2)
	require.ErrorIs(t, f.ReadCurrent(t.Context()), errNeverRead)
	step(t, f)
	for n := range 5 {
		add(fmt.Sprint("k", n), "1")
	}
	require.NoError(t, f.ReadCurrent(t.Context()))
	require.Len(t, d.values, 5)
	require.Equal(t, 3, numReads())
	failed := errors.New("no response")
	f.Topic.Read = func(context.Context, sequencer.Position, time.Duration) (Batch, error) { return Batch{}, failed }
	require.ErrorIs(t, f.ReadCurrent(t.Context()), failed, "the knowledge is as new as it was, but older than the call")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.currentRead <- struct{}{}
	require.ErrorIs(t, f.ReadCurrent(ctx), context.Canceled)
}

// TestReadsAtTheSameTimeDeliverInOrder guards against an older record of a key that replaces a newer
// one, because another read has delivered the newer one first.
func TestReadsAtTheSameTimeDeliverInOrder(t *testing.T) {
	f, d, add, _ := currentLog(1)
	step(t, f)
	add("k", "old")
	deliver, second := f.OnRecords, make(chan error, 1)
	isFirst, isOvertaken := true, make(chan struct{})
	f.OnRecords = func(records []Record, isComplete bool) {
		if !isFirst {
			deliver(records, isComplete)
			close(isOvertaken)
			return
		}
		isFirst = false
		add("k", "new")
		go func() { second <- f.ReadCurrent(t.Context()) }()
		select {
		case <-isOvertaken:
		case <-time.After(100 * time.Millisecond):
		}
		deliver(records, isComplete)
	}
	step(t, f)
	require.NoError(t, <-second)
	require.Equal(t, "new", d.values["k"])
}
