package streamtracker

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

// versionLog is a log of software versions. Calls with isLate get no response and are carried out by carryOut if
// the log still ends where they say.
type versionLog struct {
	saved  map[string][]string
	end    int64
	isLate bool
	late   []func()
}

func (l *versionLog) store() Store {
	return Store{
		Load: func(context.Context) (map[string][]string, []error, sequencer.Position, error) {
			return maps.Clone(l.saved), nil, sequencer.Position{Offset: l.end}, nil
		},
		Save: func(_ context.Context, all map[string][]string, end sequencer.Position) (sequencer.Position, error) {
			save := func() error {
				if end.Offset != l.end {
					return ErrConflict
				}
				if l.saved == nil {
					l.saved = make(map[string][]string)
				}
				maps.Copy(l.saved, all)
				l.end += int64(len(all))
				return nil
			}
			if l.isLate {
				l.late = append(l.late, func() { _ = save() })
				return end, errors.New("no response")
			}
			err := save()
			return sequencer.Position{Offset: l.end}, err
		},
	}
}

func (l *versionLog) carryOut() {
	for _, f := range l.late {
		f()
	}
	l.late = nil
}

// TestLateSaveReplacesNoVersions guards against a stream that goes on at another version because the record of its
// service's versions was replaced by one of a former holder of the lease that was carried out late.
func TestLateSaveReplacesNoVersions(t *testing.T) {
	for name, isBeforeFirstSave := range map[string]bool{"before the next holder's first save": true, "after it": false} {
		t.Run(name, func(t *testing.T) {
			l := &versionLog{}
			start := func(versions ...string) *Saver {
				h := &History{}
				h.Observe(map[string][]string{service: versions}, true, time.Now())
				return NewSaver(h, l.store(), func() bool { return true }, zap.NewNop())
			}
			former, next := start("v1"), start("v1", "v2")
			l.isLate = true
			require.Error(t, former.round(t.Context()))
			l.isLate = false
			if isBeforeFirstSave {
				save := next.Store.Save
				next.Store.Save = func(ctx context.Context, all map[string][]string, end sequencer.Position) (sequencer.Position, error) {
					l.carryOut()
					return save(ctx, all, end)
				}
				require.ErrorIs(t, next.round(t.Context()), ErrConflict)
				require.Len(t, next.wake, 1, "it is saved again at once")
			}
			require.NoError(t, next.round(t.Context()))
			l.carryOut()
			require.Equal(t, map[string][]string{service: {"v1", "v2"}}, l.saved)
		})
	}
}
