package follower

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

// TestKnownAgeCountsFromTheRequest guards against knowledge that counts as newer than it is: a
// response may be delayed, and a peer's records are as old as its own read. A peer that does not
// state their age does not make the knowledge younger.
func TestKnownAgeCountsFromTheRequest(t *testing.T) {
	f := &Follower{Log: zap.NewNop(), OnRecords: func([]Record, bool) {}}
	_, ok := f.KnownAge()
	require.False(t, ok)
	now := clocker.SinceStart()
	// between checks an age, which has grown since now, against the clock before and after it was read.
	between := func(want time.Duration, read func() time.Duration) {
		before := clocker.SinceStart()
		age := read()
		require.GreaterOrEqual(t, age, want+before-now)
		require.LessOrEqual(t, age, want+clocker.SinceStart()-now)
	}
	is := func(want time.Duration) {
		between(want, func() time.Duration {
			age, ok := f.KnownAge()
			require.True(t, ok)
			return age
		})
	}
	batch := func(offset int64, isCurrent bool, known time.Duration) Batch {
		return Batch{Next: sequencer.Position{Offset: offset}, IsCurrent: isCurrent, KnownAge: known}
	}
	f.Merge(batch(3, true, 0), now-5*time.Second)
	is(5 * time.Second)
	f.Merge(batch(3, true, 2*time.Second), now-time.Second)
	is(3 * time.Second)
	f.Merge(batch(4, false, 0), now)
	is(3 * time.Second)
	f.Merge(batch(4, true, 4*time.Second), now)
	is(3 * time.Second)
	f.Merge(Batch{Next: sequencer.Position{Era: 1, Offset: 9}, IsCurrent: true}, now)
	is(3 * time.Second) // a part of a later era is not applied
	between(3*time.Second, func() time.Duration {
		b, _ := f.Since(sequencer.Position{})
		require.True(t, b.IsCurrent)
		return b.KnownAge
	})
}

// TestRecordsAreInForceBeforeTheyCountAsKnown guards against an instance that takes its
// knowledge for new while the records that make it new are not applied yet.
func TestRecordsAreInForceBeforeTheyCountAsKnown(t *testing.T) {
	f := &Follower{Log: zap.NewNop()}
	isChecked := false
	f.OnRecords = func([]Record, bool) {
		_, ok := f.KnownAge()
		require.False(t, ok)
		isChecked = true
	}
	f.Topic.Read = func(context.Context, sequencer.Position, time.Duration) (Batch, error) { return Batch{}, nil }
	f.Merge(Batch{Records: []Record{{Key: "a", Value: []byte("1")}}, Next: sequencer.Position{Offset: 1}, IsCurrent: true}, clocker.SinceStart())
	require.True(t, isChecked)
	_, ok := f.KnownAge()
	require.True(t, ok)
}
