package streamtracker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

func versions(covered time.Duration, list ...string) Versions {
	v := Versions{Ages: make(map[string]time.Duration), Covered: covered}
	for _, x := range list {
		v.Ages[x] = 0
	}
	return v
}

func answer(v Versions, origins ...Origin) Answer {
	a := Answer{Versions: v}
	if len(origins) > 0 {
		a.Origin, a.IsKnown = origins[0], true
	}
	return a
}

func TestResolve(t *testing.T) {
	origin := func(software string, attempt int) Origin {
		return Origin{Stream: "r", Service: service, Software: software, Attempt: attempt, TTL: time.Minute}
	}
	bound := func(software string, attempt int) Origin {
		o := origin(software, attempt)
		o.IsBound = true
		return o
	}
	unproven := bound("v1", 1)
	unproven.IsUnproven = true
	outage := errors.New("the platform is away")
	all := versions(StreamMemory, "v1")
	for name, tt := range map[string]struct {
		own      []Origin
		current  []string
		answers  []Answer
		numAsked int
		isOld    bool // the registrations
		readErr  error
		read     []string // versions that a read of the registrations shows
		saved    Versions
		loadErr  error
		archived []Origin
		// archiveErr is the result of a load of the archive.
		archiveErr error
		want       string // empty for a refusal
	}{
		"own record":                       {own: []Origin{origin("v2", 1)}, current: []string{"v1", "v2"}, want: "v2"},
		"latest own record":                {own: []Origin{origin("v1", 2), origin("v2", 1)}, current: []string{"v1", "v2"}, want: "v1"},
		"a home knows":                     {answers: []Answer{answer(all), answer(all, origin("v2", 1))}, numAsked: 3, current: []string{"v1", "v2"}, want: "v2"},
		"homes differ":                     {answers: []Answer{answer(all, origin("v2", 1)), answer(all, origin("v1", 2))}, numAsked: 3, current: []string{"v1", "v2"}, want: "v1"},
		"of another service":               {own: []Origin{{Stream: "r", Service: "other", Software: "v2", TTL: time.Minute}}, current: []string{"v1"}, saved: all, want: "v1"},
		"unknown, two versions":            {current: []string{"v1", "v2"}, saved: all},
		"unknown, another saw a second":    {current: []string{"v1"}, answers: []Answer{answer(versions(time.Second, "v2"))}, numAsked: 1, saved: all},
		"unknown, a second is saved":       {current: []string{"v1"}, saved: versions(StreamMemory, "v1", "v2")},
		"unknown, one is saved":            {current: []string{"v1"}, saved: all, want: "v1"},
		"unknown, covered by another":      {current: []string{"v1"}, answers: []Answer{answer(all)}, numAsked: 1, loadErr: outage, want: "v1"},
		"unknown, nobody covers":           {current: []string{"v1"}, answers: []Answer{answer(versions(time.Second, "v1"))}, numAsked: 1, loadErr: outage},
		"unknown, cut off":                 {current: []string{"v1"}, saved: all, isOld: true, readErr: outage},
		"unknown, cut off with a minority": {current: []string{"v1"}, saved: all, isOld: true, readErr: outage, answers: []Answer{answer(all)}, numAsked: 3},
		"unknown, outage for all":          {current: []string{"v1"}, saved: all, isOld: true, readErr: outage, answers: []Answer{answer(all), answer(all)}, numAsked: 3, want: "v1"},
		"unknown, cut off just now":        {current: []string{"v1"}, saved: all, readErr: outage, numAsked: 2},
		"unknown, a second not read yet":   {current: []string{"v1"}, saved: all, read: []string{"v1", "v2"}, numAsked: 2},
		"unknown, the others have ended":   {current: []string{"v1"}, saved: all, read: []string{"v1"}, numAsked: 2, want: "v1"},
		"no version in sight":              {saved: versions(StreamMemory)},
		"homes differ, one is bound":       {answers: []Answer{answer(all, bound("v2", 1)), answer(all, origin("v1", 2))}, numAsked: 3, current: []string{"v1", "v2"}, want: "v2"},
		"unproven at a home, two versions": {current: []string{"v1", "v2"}, answers: []Answer{answer(all, unproven)}, numAsked: 1},
		"unproven at a home, one version":  {current: []string{"v1"}, saved: all, answers: []Answer{answer(all, unproven)}, numAsked: 1, want: "v1"},
		"unproven at a home, outage":       {current: []string{"v1"}, saved: all, isOld: true, readErr: outage, answers: []Answer{answer(all, unproven), answer(all)}, numAsked: 2},
		"unproven at one home of two":      {current: []string{"v1", "v2"}, answers: []Answer{answer(all, unproven), answer(all, bound("v1", 1))}, numAsked: 2, want: "v1"},
		"unproven here, outage":            {current: []string{"v1"}, saved: all, isOld: true, own: []Origin{unproven}, readErr: outage, answers: []Answer{answer(all)}, numAsked: 1},
		"unproven here, one version":       {current: []string{"v1"}, own: []Origin{unproven}, want: "v1"},
		"unproven here, archived":          {current: []string{"v1", "v2"}, own: []Origin{unproven}, archived: []Origin{bound("v1", 1)}, want: "v1"},
		"archived":                         {current: []string{"v1", "v2"}, archived: []Origin{bound("v2", 1)}, want: "v2"},
		"archived, versions not saved":     {current: []string{"v1"}, loadErr: outage, archived: []Origin{bound("v2", 1)}, want: "v2"},
		"another stream is archived":       {current: []string{"v1", "v2"}, archived: []Origin{{Stream: "s", Service: service, Software: "v1", TTL: time.Minute, IsBound: true}}},
		"archived, of another service":     {current: []string{"v1", "v2"}, archived: []Origin{{Stream: "r", Service: "other", Software: "v1", TTL: time.Minute, IsBound: true}}},
		"archive not loaded":               {current: []string{"v1", "v2"}, archiveErr: outage},
	} {
		t.Run(name, func(t *testing.T) {
			k := &Keeper{
				Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(),
				Ask:     func(context.Context, string, string) ([]Answer, int) { return tt.answers, tt.numAsked },
				Load:    func(context.Context, string) (Versions, error) { return tt.saved, tt.loadErr },
				IsFresh: func() bool { return !tt.isOld },
			}
			k.ReadCurrent = func(context.Context) error {
				if tt.read != nil {
					k.History.Observe(map[string][]string{service: tt.read}, true, time.Now())
				}
				return tt.readErr
			}
			k.LoadArchive = func(context.Context) error {
				for _, o := range tt.archived {
					k.Tracker.Record(o, time.Now())
				}
				return tt.archiveErr
			}
			k.History.Observe(map[string][]string{service: tt.current}, true, time.Now())
			for _, o := range tt.own {
				k.Tracker.Record(o, time.Now())
			}
			got, err := k.Resolve(t.Context(), "r", service, "")
			require.Equal(t, tt.want, got)
			if tt.want != "" {
				require.NoError(t, err)
				return
			}
			r := verdict.FromError(err)
			require.Equal(t, verdict.ReasonUnknownOrigin, r.Reason)
			require.Equal(t, verdict.NotRun, r.Ran)
		})
	}
}

func TestOriginsAreKeptAsLongAsTheStreamMayLast(t *testing.T) {
	var k Tracker
	now := time.Now()
	k.Record(Origin{Stream: "r", TTL: time.Second}, now)
	_, ok := k.Find("r", now.Add(999*time.Millisecond))
	require.True(t, ok)
	_, ok = k.Find("r", now.Add(time.Second))
	require.False(t, ok)
	k.Sweep(now.Add(time.Second))
	require.Zero(t, k.origins.Len())
}

// TestFirstEventWaitsForARecord guards against events that a client has before another
// instance knows the version that wrote them.
func TestFirstEventWaitsForARecord(t *testing.T) {
	first, all := make(chan struct{}), make(chan struct{})
	k := &Keeper{
		Tracker: &Tracker{}, History: &History{},
		Send: func([]Origin) Delivery { return Delivery{First: first, All: all} },
	}
	o := Origin{Stream: "r", Service: service, Software: "v1", TTL: time.Minute}
	k.History.Observe(map[string][]string{service: {"v1"}}, true, time.Now())
	require.Nil(t, k.Begin(o), "one version only")
	k.Await(t.Context(), nil, false)
	k.History.Observe(map[string][]string{service: {"v1", "v2"}}, true, time.Now())
	d := k.Begin(o)
	require.NotNil(t, d)
	waited := func(isCorrection bool) time.Duration {
		began := time.Now()
		k.Await(t.Context(), d, isCorrection)
		return time.Since(began)
	}
	require.GreaterOrEqual(t, waited(false), maxHold, "no home has it")
	close(first)
	require.GreaterOrEqual(t, waited(true), maxCorrectionHold, "one home may have only the earlier record")
	close(all)
	k.Await(t.Context(), d, true)
}

// TestHolderThatStartsKeepsTheVersionsOfBefore guards against a holder of the lease that saves
// only the versions that it sees itself.
func TestHolderThatStartsKeepsTheVersionsOfBefore(t *testing.T) {
	store := map[string][]string{service: {"v1"}}
	h := &History{}
	s := NewSaver(h, Store{
		Load: func(context.Context) (map[string][]string, []error, sequencer.Position, error) {
			return store, nil, sequencer.Position{}, nil
		},
		Save: func(_ context.Context, all map[string][]string, end sequencer.Position) (sequencer.Position, error) {
			store = all
			return end, nil
		},
	}, func() bool { return true }, zap.NewNop())
	h.Observe(map[string][]string{service: {"v2"}}, true, time.Now())
	require.NoError(t, s.round(t.Context()))
	require.Equal(t, map[string][]string{service: {"v1", "v2"}}, store)
	require.True(t, h.Versions(service, time.Now()).IsComplete())
	store = map[string][]string{} // the log came back from an older copy
	s.RecordRestore()
	require.NoError(t, s.round(t.Context()))
	require.Equal(t, map[string][]string{service: {"v1", "v2"}}, store)
}

// TestBoundOriginHolds guards against a record of an attempt that brought no event and that replaces
// the one of the attempt that did.
func TestBoundOriginHolds(t *testing.T) {
	var k Tracker
	now := time.Now()
	k.Record(Origin{Stream: "r", Software: "v2", Attempt: 1, TTL: time.Minute, IsBound: true}, now)
	k.Record(Origin{Stream: "r", Software: "v1", Attempt: 3, TTL: time.Minute}, now)
	o, ok := k.Find("r", now)
	require.True(t, ok)
	require.Equal(t, "v2", o.Software)
}

// TestStreamsThatRunAreArchivedWhenASecondVersionAppears guards against streams that began while
// there was one version and are lost with all instances after there are two.
func TestStreamsThatRunAreArchivedWhenASecondVersionAppears(t *testing.T) {
	var archived []string
	k := &Keeper{
		Tracker: &Tracker{}, History: &History{},
		Send: func([]Origin) Delivery { return Delivery{} },
		Archive: func(list ...Origin) {
			for _, o := range list {
				archived = append(archived, o.Stream)
			}
		},
	}
	k.History.OnChange = func(service string, versions []string) {
		if len(versions) > 1 {
			k.Spread(service)
		}
	}
	origin := func(stream string) Origin {
		return Origin{Stream: stream, Service: service, Software: "v1", Attempt: 1, TTL: time.Minute}
	}
	k.History.Observe(map[string][]string{service: {"v1"}}, true, time.Now())
	k.Begin(origin("not-bound"))
	for _, stream := range []string{"runs", "has-ended"} {
		k.Begin(origin(stream))
		k.Bind(origin(stream), false, nil)
	}
	k.Tracker.RecordEnd("has-ended")
	require.Empty(t, archived, "one version only")
	k.History.Observe(map[string][]string{service: {"v1", "v2"}}, true, time.Now())
	require.Equal(t, []string{"runs"}, archived)
	k.Bind(origin("not-bound"), false, nil)
	require.Equal(t, []string{"runs", "not-bound"}, archived)
}

// TestMissingRecordOfVersionsIsNoProof guards against a stream that goes on at another version because
// the record of its service's versions is not in the log: it was never saved, or the log came back
// from a copy without it.
func TestMissingRecordOfVersionsIsNoProof(t *testing.T) {
	store := Store{Load: func(context.Context) (map[string][]string, []error, sequencer.Position, error) {
		return map[string][]string{"other": {"v1"}}, nil, sequencer.Position{}, nil
	}}
	k := &Keeper{
		Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(), Load: store.LoadService,
		Ask:     func(context.Context, string, string) ([]Answer, int) { return nil, 0 },
		IsFresh: func() bool { return true }, ReadCurrent: func(context.Context) error { return nil },
	}
	k.History.Observe(map[string][]string{service: {"v2"}}, true, time.Now()) // v1 has left, which nobody saw
	_, err := k.Resolve(t.Context(), "began-at-v1", service, "")
	require.Equal(t, verdict.ReasonUnknownOrigin, verdict.FromError(err).Reason)
}

// TestOriginIsProvenOnceItMatters guards against streams that are refused although the process that
// began them is known by now, and against proof that is asked for while there is one version.
func TestOriginIsProvenOnceItMatters(t *testing.T) {
	for name, isProven := range map[string]bool{"the registered process": true, "another process": false} {
		t.Run(name, func(t *testing.T) {
			var sent []Origin
			done := make(chan struct{})
			close(done)
			k := &Keeper{
				Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(), IsFresh: func() bool { return true },
				ReadCurrent: func(context.Context) error { return nil },
				Send:        func(list []Origin) Delivery { sent = append(sent, list...); return Delivery{First: done, All: done} },
				Ask:         func(context.Context, string, string) ([]Answer, int) { return nil, 0 },
				LoadArchive: func(context.Context) error { return nil },
			}
			numCalls := 0
			verify := func(context.Context) bool { numCalls++; return isProven }
			k.History.Observe(map[string][]string{service: {"v1"}}, true, time.Now())
			k.Bind(Origin{Stream: "r", Service: service, Software: "v1", Attempt: 1, TTL: time.Minute, IsUnproven: true}, false, verify)
			_, err := k.Resolve(t.Context(), "r", service, "")
			require.NoError(t, err)
			require.Zero(t, numCalls, "one version")
			require.Empty(t, sent)
			k.History.Observe(map[string][]string{service: {"v1", "v2"}}, true, time.Now())
			software, err := k.Resolve(t.Context(), "r", service, "")
			require.Equal(t, 1, numCalls)
			if !isProven {
				require.Equal(t, verdict.ReasonUnknownOrigin, verdict.FromError(err).Reason)
				require.Empty(t, sent)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "v1", software)
			require.Len(t, sent, 1)
			require.False(t, sent[0].IsUnproven)
			_, err = k.Resolve(t.Context(), "r", service, "")
			require.NoError(t, err)
			require.Equal(t, 1, numCalls, "known by now")
		})
	}
}

// TestProofsAreTriedAgain guards against origins that are proven nowhere when their instance ends, since
// their upstreams did not respond for a moment, and against requests without end to an upstream that
// never does.
func TestProofsAreTriedAgain(t *testing.T) {
	proofs := make(chan bool)
	sent, archived := make(chan Origin, 9), make(chan Origin, 9)
	done := make(chan struct{})
	close(done)
	k := &Keeper{
		Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(), IsFresh: func() bool { return true },
		Send: func(list []Origin) Delivery {
			for _, o := range list {
				sent <- o
			}
			return Delivery{First: done, All: done}
		},
		Archive: func(list ...Origin) {
			for _, o := range list {
				archived <- o
			}
		},
	}
	k.History.OnChange = func(service string, versions []string) {
		if len(versions) > 1 {
			k.Spread(service)
		}
	}
	now := time.Now()
	k.History.Observe(map[string][]string{service: {"v1"}}, true, now)
	bind := func(stream string) {
		k.Bind(Origin{Stream: stream, Service: service, Software: "v1", Attempt: 1, TTL: time.Minute, IsUnproven: true}, false, func(context.Context) bool { return <-proofs })
	}
	bind("r")
	for range 3 {
		now = now.Add(proofRetryDelay)
		k.RetryProofs(now) // asks for no proof: the service has had one version
	}
	k.History.Observe(map[string][]string{service: {"v1", "v2"}}, true, time.Now())
	proofs <- false
	require.True(t, (<-sent).IsUnproven)
	k.RetryProofs(now)
	k.RetryProofs(now.Add(proofRetryDelay - 1))
	k.RetryProofs(now.Add(proofRetryDelay))
	proofs <- true
	require.False(t, (<-sent).IsUnproven)
	require.Equal(t, "r", (<-archived).Stream)

	bind("never")
	proofs <- false
	require.True(t, (<-sent).IsUnproven)
	numTries := 0
	for ; now.Before(time.Now().Add(50 * time.Second)); now = now.Add(proofRetryDelay) {
		before := k.unproven.list.Values()[0].numRetries
		k.RetryProofs(now)
		if k.unproven.list.Values()[0].numRetries > before {
			proofs <- false
			numTries++
		}
	}
	require.Equal(t, maxProofRetries, numTries)
	k.RetryProofs(now.Add(time.Minute))
	require.Zero(t, k.unproven.list.Len(), "nobody takes the stream up any more")
	require.Empty(t, sent)
}

// TestStreamThatOutlivesAllInstancesGoesOn guards against streams that are refused although an upstream
// has said that it runs them, and against what upstreams say where it is no proof.
func TestStreamThatOutlivesAllInstancesGoesOn(t *testing.T) {
	now := time.Now()
	for name, tt := range map[string]struct {
		record func(k *Keeper)
		answer *Origin // of a home
		want   string  // version, empty if refused
	}{
		"an upstream runs it": {func(k *Keeper) { k.RecordRuns(service, "v2", []string{"other", "r"}, now) }, nil, "v2"},
		"upstreams of one version run it": {func(k *Keeper) {
			k.RecordRuns(service, "v2", []string{"r"}, now)
			k.RecordRuns(service, "v2", []string{"r"}, now)
		}, nil, "v2"},
		"upstreams of two versions run it": {func(k *Keeper) {
			k.RecordRuns(service, "v2", []string{"r"}, now)
			k.RecordRuns(service, "v1", []string{"r"}, now)
		}, nil, ""},
		"and one of them still does": {func(k *Keeper) {
			k.RecordRuns(service, "v2", []string{"r"}, now)
			k.RecordRuns(service, "v1", []string{"r"}, now)
			k.RecordRuns(service, "v1", []string{"r"}, now)
		}, nil, ""},
		"an upstream of another service does": {func(k *Keeper) { k.RecordRuns("other", "v2", []string{"r"}, now) }, nil, ""},
		"it did long ago":                     {func(k *Keeper) { k.RecordRuns(service, "v2", []string{"r"}, now.Add(-StreamMemory)) }, nil, ""},
		"a home knows the attempt":            {func(k *Keeper) { k.RecordRuns(service, "v2", []string{"r"}, now) }, &Origin{Stream: "r", Service: service, Software: "v1", Attempt: 1, TTL: time.Minute}, "v1"},
		"a home knows of an unproven attempt": {func(k *Keeper) { k.RecordRuns(service, "v2", []string{"r"}, now) }, &Origin{Stream: "r", Service: service, Software: "v1", Attempt: 1, TTL: time.Minute, IsUnproven: true}, ""},
		"nobody has said so":                  {func(*Keeper) {}, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			k := &Keeper{
				Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(), IsFresh: func() bool { return true },
				Ask: func(context.Context, string, string) ([]Answer, int) {
					if tt.answer == nil {
						return []Answer{{IsFresh: true}}, 1
					}
					return []Answer{{Origin: *tt.answer, IsKnown: true}}, 1
				},
			}
			k.History.Observe(map[string][]string{service: {"v1", "v2"}}, true, now)
			tt.record(k)
			software, err := k.Resolve(t.Context(), "r", service, "")
			if tt.want == "" {
				require.Equal(t, verdict.ReasonUnknownOrigin, verdict.FromError(err).Reason)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, software)
		})
	}
}

// TestClientWaitsForALateProof guards against a stream that is refused before its client has to be
// answered, although the proof of its origin is on its way, and against a wait where there can be none.
func TestClientWaitsForALateProof(t *testing.T) {
	const limit = 3 * time.Second
	for name, tt := range map[string]struct {
		after    time.Duration // until the proof, or until it is known that there is none
		isProven bool
		want     time.Duration
	}{
		"proof":                  {after: time.Second, isProven: true, want: time.Second},
		"none, known at once":    {},
		"none, known late":       {after: time.Second, want: time.Second},
		"longer than the client": {after: 5 * time.Second, isProven: true, want: limit},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				done := make(chan struct{})
				close(done)
				k := &Keeper{
					Tracker: &Tracker{}, History: &History{}, Log: zap.NewNop(), IsFresh: func() bool { return true },
					ReadCurrent: func(context.Context) error { return nil },
					Send:        func([]Origin) Delivery { return Delivery{First: done, All: done} },
					Ask:         func(context.Context, string, string) ([]Answer, int) { return nil, 0 },
				}
				began := time.Now()
				verify := func(ctx context.Context) bool {
					select {
					case <-time.After(time.Until(began.Add(tt.after))):
						return tt.isProven
					case <-ctx.Done():
						return false
					}
				}
				k.History.Observe(map[string][]string{service: {"v1", "v2"}}, true, time.Now())
				k.Bind(Origin{Stream: "r", Service: service, Software: "v1", Attempt: 1, TTL: time.Minute, IsUnproven: true}, false, verify)
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				software, err := k.Resolve(ctx, "r", service, "")
				require.Equal(t, tt.want, time.Since(began))
				if tt.isProven && tt.after < limit {
					require.NoError(t, err)
					require.Equal(t, "v1", software)
				} else {
					require.Equal(t, verdict.ReasonUnknownOrigin, verdict.FromError(err).Reason)
				}
			})
		})
	}
}
