package losstracker

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestLateSaveReplacesNoLosses guards against losses that are forgotten, when all instances end, because an earlier
// call of an instance is carried out after another one has saved more.
func TestLateSaveReplacesNoLosses(t *testing.T) {
	f := newFleet(3)
	f.start(t, 1, start)
	f.start(t, 2, start)
	save := f.savers[1].Store.Save
	var late []Poison
	f.savers[1].Store.Save = func(_ context.Context, list []Poison) error {
		late = list
		return errors.New("no response")
	}
	for n := range SharedThreshold {
		f.trackers[1].Begin(inc(n), poison).End(Broken, start)
	}
	f.savers[1].save(t.Context())
	require.Len(t, late, 1)
	for n := range PoisonThreshold {
		f.trackers[2].Begin(inc(n), poison).End(Broken, start)
	}
	f.savers[2].save(t.Context())
	_ = save(t.Context(), late) // is carried out now
	require.Len(t, f.saved[poison].Losses, PoisonThreshold)
}
