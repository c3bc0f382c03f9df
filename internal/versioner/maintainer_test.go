package versioner

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

var errOutage = errors.New("outage")

// fakeLog keeps the tables of services.
type fakeLog struct {
	tables map[string]Table
	end    sequencer.Position
	err    error
}

func newLog() *fakeLog {
	return &fakeLog{tables: make(map[string]Table), end: sequencer.Position{Era: sequencer.FirstEra}}
}

func (l *fakeLog) store() Store {
	return Store{
		Load: func(context.Context) (map[string]Table, []error, sequencer.Position, error) {
			return maps.Clone(l.tables), nil, l.end, l.err
		},
		Save: func(_ context.Context, tables map[string]Table, at sequencer.Position) (sequencer.Position, error) {
			switch {
			case l.err != nil:
				return at, l.err
			case at != l.end:
				return at, ErrConflict
			}
			maps.Copy(l.tables, tables)
			l.end.Offset++
			return l.end, nil
		},
	}
}

// instance is a maintainer and what it finds.
type instance struct {
	*Maintainer
	isHolder, isFirst, allFollow bool
	services                     map[string]Service
}

func newInstance(l *fakeLog, isFirst bool) *instance {
	i := &instance{isHolder: true, isFirst: isFirst, allFollow: true, services: map[string]Service{"lm": {Replicas: replicas("", "v1", "", "v2", "", "v1")}}}
	i.Maintainer = &Maintainer{
		Store: l.store(), IsHolder: func() bool { return i.isHolder }, IsFirst: func() bool { return i.isFirst }, AllFollow: func() bool { return i.allFollow },
		Services: func() map[string]Service { return i.services }, StreamTime: time.Minute, OnChange: func() {}, Log: zap.NewNop(),
	}
	return i
}

// run maintains for a time.
func (i *instance) run(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(roundInterval) {
		_ = i.Maintain(t.Context(), time.Now()) // the log may be away
	}
}

// TestTableIsTrustedOnceNoStreamIsWithoutARecord guards against a stream that goes on at the default version
// although it began before instances followed one.
func TestTableIsTrustedOnceNoStreamIsWithoutARecord(t *testing.T) {
	for _, tt := range []struct {
		name                         string
		isFirst, isSingle, allFollow bool
		want                         time.Duration // 0 for never
	}{
		{"first holder", true, false, true, trustDelay},
		{"one version", false, true, true, trustDelay},
		{"unknown past", false, false, true, 100 * time.Second},
		{"earlier builds", true, true, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLog()
				i := newInstance(l, tt.isFirst)
				i.allFollow = tt.allFollow
				i.services["lm"] = Service{Replicas: i.services["lm"].Replicas, IsSingle: tt.isSingle}
				require.LessOrEqual(t, i.retention(), 100*time.Second)
				if tt.want == 0 {
					i.run(t, time.Hour)
					require.False(t, l.tables["lm"].IsTrusted)
					return
				}
				i.run(t, min(tt.want-time.Second, i.retention()-time.Second))
				require.False(t, l.tables["lm"].IsTrusted)
				i.run(t, tt.want)
				require.True(t, l.tables["lm"].IsTrusted)
			})
		})
	}
}

// TestFormerVersionStaysAsLongAsItsStreams guards against a stream that goes on at the new default version
// although it began at the former one.
func TestFormerVersionStaysAsLongAsItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		i := newInstance(l, true)
		i.run(t, 2*trustDelay)
		i.services["lm"] = Service{Replicas: replicas("", "v2")}
		i.run(t, i.retention()-time.Second)
		require.Equal(t, []string{"v2", "v1"}, l.tables["lm"].Versions[""])
		other := newInstance(l, false) // another holder cannot know how old the former version is
		other.services = i.services
		other.run(t, time.Second)
		require.Equal(t, []string{"v2", "v1"}, l.tables["lm"].Versions[""])
		other.run(t, i.retention())
		require.Equal(t, []string{"v2"}, l.tables["lm"].Versions[""])
		require.True(t, l.tables["lm"].IsTrusted)
	})
}

// TestRestoredLogIsNotTrusted guards against a stream whose record the log has lost.
func TestRestoredLogIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		i := newInstance(l, true)
		i.run(t, 2*trustDelay)
		require.True(t, l.tables["lm"].IsTrusted)
		l.end = sequencer.Position{Era: l.end.Era + 1, Offset: 1}
		i.RecordRestore()
		i.run(t, time.Second)
		require.False(t, l.tables["lm"].IsTrusted)
		require.Equal(t, l.end.Era, l.tables["lm"].Era)
		i.run(t, i.retention())
		require.True(t, l.tables["lm"].IsTrusted)
	})
}

// TestFormerHolderReplacesNoTable guards against an instance that still takes itself for the holder.
func TestFormerHolderReplacesNoTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		former, holder := newInstance(l, true), newInstance(l, false)
		former.run(t, trustDelay+time.Second)
		holder.services["lm"] = Service{Replicas: replicas("", "v2")}
		holder.run(t, time.Second)
		former.services["lm"] = Service{Replicas: replicas("", "v3")}
		require.ErrorIs(t, former.Maintain(t.Context(), time.Now()), ErrConflict)
		require.Equal(t, []string{"v2", "v1"}, l.tables["lm"].Versions[""])
		_, isKnown := former.Defaults()
		require.False(t, isKnown, "it reads the log again")
	})
}

// TestFollowerStopsAfterAWhile guards against an instance that is cut off and follows a table that has
// changed long ago.
func TestFollowerStopsAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.tables["lm"] = NewTable(replicas("", "v1", "m", "v2"), sequencer.FirstEra)
		f := &Follower{Load: l.store().Snapshot}
		_, state := f.Find(t.Context(), "lm", "m")
		require.Equal(t, Unknown, state, "the holder does not know this instance")
		f.RecordContact(time.Now())
		requireFound := func(service string, state State, version string) {
			got, gotState := f.Find(t.Context(), service, "m")
			require.Equal(t, state, gotState)
			require.Equal(t, version, got)
		}
		requireFound("lm", Known, "v2")
		l.err = errOutage
		requireFound("other", Absent, "")
		time.Sleep(absenceAge)
		requireFound("other", Unknown, "")
		time.Sleep(maxAge - 2*absenceAge)
		requireFound("lm", Known, "v2")
		f.Confirm(time.Now())
		f.RecordContact(time.Now())
		time.Sleep(maxAge - time.Nanosecond)
		requireFound("lm", Known, "v2")
		time.Sleep(time.Nanosecond)
		requireFound("lm", Unknown, "")
		f.RecordContact(time.Now())
		f.Update(map[string]Defaults{"lm": {map[string]string{"": "v3"}, 3}}, time.Now())
		requireFound("lm", Known, "v3")
		f.Update(map[string]Defaults{"lm": {map[string]string{"": "v1"}, 4}}, time.Now().Add(-time.Second))
		requireFound("lm", Known, "v3")
		time.Sleep(time.Second)
		f.Update(map[string]Defaults{"lm": {map[string]string{"": "v2"}, 2}}, time.Now())
		requireFound("lm", Known, "v3")
	})
}

// TestFormerVersionIsDroppedOnceAllInstancesHaveSettled guards against streams from an outage that nobody knows
// for minutes after a release, and against a stream that goes on at the new version because an instance still had
// its origin.
func TestFormerVersionIsDroppedOnceAllInstancesHaveSettled(t *testing.T) {
	for _, tt := range []struct {
		name      string
		isFirst   bool
		allFollow bool
		// reports are made after the release, by incarnation: how far behind the revision they are.
		reports map[string]int64
		want    []string
	}{
		{"all settled", true, true, map[string]int64{"a": 0, "b": 0}, []string{"v2"}},
		{"one has not settled", true, true, map[string]int64{"a": 0, "b": 1}, []string{"v2", "v1"}},
		{"one has ended", true, true, map[string]int64{"a": 0}, []string{"v2", "v1"}},
		{"nobody has reported", true, true, nil, []string{"v2", "v1"}},
		{"not the first holder", false, true, map[string]int64{"a": 0, "b": 0}, []string{"v2", "v1"}},
		{"earlier builds", true, false, map[string]int64{"a": 0, "b": 0}, []string{"v2", "v1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLog()
				i := newInstance(l, tt.isFirst)
				i.allFollow = tt.allFollow
				for _, name := range []string{"a", "b"} {
					i.RecordReport(name, nil, time.Now())
				}
				i.run(t, 2*trustDelay)
				i.services["lm"] = Service{Replicas: replicas("", "v2")}
				i.run(t, time.Second)
				require.Equal(t, []string{"v2", "v1"}, l.tables["lm"].Versions[""])
				for name, behind := range tt.reports {
					i.RecordReport(name, map[string]int64{"lm": l.tables["lm"].Revision - behind}, time.Now())
				}
				i.run(t, time.Second)
				require.Equal(t, tt.want, l.tables["lm"].Versions[""])
			})
		})
	}
}

// TestInstanceThatHasEndedCountsAsLongAsItsStreams guards against a former version that stays for ever, and
// against one that is dropped while a stream of an instance that has ended may be taken up.
func TestInstanceThatHasEndedCountsAsLongAsItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		i := newInstance(l, false)
		i.run(t, i.retention()+time.Second)
		i.RecordReport("ended", nil, time.Now())
		i.services["lm"] = Service{Replicas: replicas("", "v2")}
		i.run(t, time.Second)
		settle := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				i.RecordReport("a", map[string]int64{"lm": l.tables["lm"].Revision}, time.Now())
				i.run(t, roundInterval)
			}
		}
		settle(50 * time.Second)
		i.services["lm"] = Service{Replicas: replicas("", "v3")}
		settle(i.retention() - 52*time.Second)
		require.Equal(t, []string{"v3", "v2", "v1"}, l.tables["lm"].Versions[""])
		settle(2 * time.Second)
		require.Equal(t, []string{"v3"}, l.tables["lm"].Versions[""])
	})
}
