package losstracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	poison = uint64(7)
	delay  = 2 * time.Second
)

var start = time.Unix(1_000_000, 0)

func inc(n int) registrar.Incarnation {
	return registrar.Incarnation{ID: fmt.Sprint("u", n), StartedAtMs: int64(n)}
}

func newTracker() *Tracker { return &Tracker{RegistrationDelay: delay} }

// counts returns the number of losses that count, and of the confirmed ones.
func (t *Tracker) counts(f uint64, now time.Time) [2]int {
	counted, confirmed := t.Losses(f, now)
	return [2]int{counted, confirmed}
}

func TestBrokenAttemptCountsUntilItsUpstreamRegistersItself(t *testing.T) {
	tr := newTracker()
	tr.Begin(inc(1), poison).End(Broken, start)
	tr.Begin(inc(1), 8).End(Completed, start)
	require.Equal(t, [2]int{1, 0}, tr.counts(poison, start))
	require.Equal(t, [2]int{0, 0}, tr.counts(8, start))
	tr.RecordRegistration(inc(1), start.Add(delay))
	require.Equal(t, [2]int{1, 0}, tr.counts(poison, start.Add(delay)), "the registration may have been written before the attempt broke")
	tr.RecordRegistration(registrar.Incarnation{ID: "u1", StartedAtMs: 9}, start.Add(time.Minute))
	require.Equal(t, [2]int{1, 0}, tr.counts(poison, start.Add(time.Minute)), "another incarnation")
	tr.RecordRegistration(inc(1), start.Add(time.Minute))
	require.Equal(t, [2]int{0, 0}, tr.counts(poison, start.Add(time.Minute)))
	tr.RecordEnd(inc(1), start.Add(time.Minute))
	require.Equal(t, [2]int{0, 0}, tr.counts(poison, start.Add(time.Minute)), "it ended long after the attempt")
}

// TestLossIsCountedHoweverLateTheEndIsKnown guards against attempts that are dropped
// before the end of their upstream is known.
func TestLossIsCountedHoweverLateTheEndIsKnown(t *testing.T) {
	for _, e := range []Ending{Broken, Left} {
		tr := newTracker()
		tr.Begin(inc(1), poison).End(e, start)
		for n := range 100 {
			tr.Begin(inc(2), uint64(100+n)).End(Completed, start.Add(time.Duration(n)*time.Second))
		}
		tr.RecordEnd(inc(1), start.Add(10*time.Minute))
		require.Equal(t, [2]int{1, 1}, tr.counts(poison, start.Add(10*time.Minute)))
	}
}

func TestAttemptOfClientThatLeftCountsOnlyOnceItsUpstreamHasEnded(t *testing.T) {
	tr := newTracker()
	tr.Begin(inc(1), poison).End(Left, start)
	require.Equal(t, [2]int{0, 0}, tr.counts(poison, start))
	require.Empty(t, tr.Unreported("c", start))
	tr.RecordEnd(inc(1), start)
	require.Equal(t, [2]int{1, 1}, tr.counts(poison, start))
	require.Len(t, tr.Unreported("c", start), 1)
}

// TestRestartsThatAreNotRegisteredCount guards against upstreams of one id that crash
// again and again while the platform's log cannot be read.
func TestRestartsThatAreNotRegisteredCount(t *testing.T) {
	tr, peer := newTracker(), newTracker()
	first, second := tr.Begin(inc(1), poison), tr.Begin(inc(1), poison)
	first.End(Broken, start)
	second.End(Broken, start)
	require.Equal(t, [2]int{1, 0}, tr.counts(poison, start), "both ran when it ended")
	tr.Begin(inc(1), poison).End(Broken, start)
	require.Equal(t, [2]int{2, 0}, tr.counts(poison, start))
	peer.MergeReport(tr.Unreported("c", start), start)
	peer.Begin(inc(1), poison).End(Broken, start)
	require.Equal(t, [2]int{3, 0}, peer.counts(poison, start))
	tr.MergeReport(peer.Shared(start), start)
	require.Equal(t, [2]int{3, 0}, tr.counts(poison, start))
	tr.RecordEnd(inc(1), start)
	require.Equal(t, [2]int{3, 3}, tr.counts(poison, start))
	peer.RecordRegistration(inc(1), start.Add(delay+1))
	require.Equal(t, [2]int{0, 0}, peer.counts(poison, start))
	require.Empty(t, peer.undecided)
}

func TestRunningAttemptIsLostWithItsUpstream(t *testing.T) {
	tr := newTracker()
	a := tr.Begin(inc(1), poison)
	tr.RecordEnd(inc(1), start)
	require.Equal(t, [2]int{1, 1}, tr.counts(poison, start))
	a.End(Broken, start)
	require.Equal(t, [2]int{1, 1}, tr.counts(poison, start))
}

func TestLossesExpireAfterTheLatest(t *testing.T) {
	tr := newTracker()
	for n := range 20 {
		now := start.Add(time.Duration(n) * LossTTL * 3 / 4)
		tr.Begin(inc(n), poison).End(Broken, now)
		tr.RecordEnd(inc(n), now)
		counted, _ := tr.Losses(poison, now.Add(LossTTL))
		require.Equal(t, min(n+1, maxLosses), counted, "each further loss renews the earlier ones")
	}
	require.Equal(t, [2]int{0, 0}, tr.counts(poison, start.Add(20*LossTTL)))
}

// TestPopularRequestIsNotRefusedAfterSimultaneousEnds guards against the refusal of a
// request that ran on all of several upstreams when these ended together.
func TestPopularRequestIsNotRefusedAfterSimultaneousEnds(t *testing.T) {
	tr := newTracker()
	inFlight := tr.Begin(inc(9), poison)
	for n := range PoisonThreshold {
		tr.Begin(inc(n), poison).End(Broken, start)
	}
	tr.RecordEnd(inc(0), start)
	require.Equal(t, [2]int{3, 1}, tr.counts(poison, start))
	version := tr.SharedVersion()
	inFlight.End(Succeeded, start)
	require.Equal(t, [2]int{0, 0}, tr.counts(poison, start))
	require.Greater(t, tr.SharedVersion(), version)
	require.Empty(t, tr.Shared(start))
	require.Empty(t, tr.Unreported("c", start))
	tr.MergeReport([]Loss{{Fingerprint: poison, Incarnation: inc(0), IsConfirmed: true}, {Fingerprint: poison, Incarnation: inc(1), IsConfirmed: true}, {Fingerprint: poison, Incarnation: inc(2)}}, start)
	require.Equal(t, [2]int{0, 0}, tr.counts(poison, start), "others do not bring them back")
	for n := range maxLosses {
		tr.Begin(inc(10+n), poison).End(Broken, start)
	}
	require.Equal(t, [2]int{maxLosses, 0}, tr.counts(poison, start), "later losses count")
	require.NotContains(t, tr.undecided, inc(1))
}

func TestUnregisteredIncarnationHasEnded(t *testing.T) {
	tr := newTracker()
	tr.MergeReport([]Loss{{Fingerprint: poison, Incarnation: inc(1)}, {Fingerprint: poison, Incarnation: inc(2)}}, start)
	isRegistered := func(i registrar.Incarnation) bool { return i == inc(1) }
	tr.Sweep(isRegistered, start.Add(delay))
	require.Equal(t, [2]int{2, 0}, tr.counts(poison, start), "its registration may not have been read yet")
	tr.Sweep(isRegistered, start.Add(delay+1))
	require.Equal(t, [2]int{2, 1}, tr.counts(poison, start))
}

// TestLossesAreReportedToEachConductor guards against losses that only a former conductor
// knows.
func TestLossesAreReportedToEachConductor(t *testing.T) {
	tr := newTracker()
	for n := range maxReported + 10 {
		tr.Begin(inc(1), uint64(n)).End(Broken, start)
	}
	first := tr.Unreported("c1", start)
	require.Len(t, first, maxReported)
	require.True(t, tr.RecordReported("c1", first))
	rest := tr.Unreported("c1", start)
	require.Len(t, rest, 10)
	tr.RecordEnd(inc(1), start)
	tr.RecordReported("c1", rest)
	require.NotEmpty(t, tr.Unreported("c1", start), "confirmed after the report was built")
	for len(tr.Unreported("c1", start)) > 0 {
		tr.RecordReported("c1", tr.Unreported("c1", start))
	}
	require.Len(t, tr.Unreported("c2", start), maxReported)
	require.False(t, tr.RecordReported("c1", first), "an earlier conductor's response")
	tr.MergeView("c2", []Loss{{Fingerprint: 3, Incarnation: inc(1), IsConfirmed: true}}, start)
	require.NotContains(t, tr.Unreported("c2", start), Loss{Fingerprint: 3, Incarnation: inc(1), IsConfirmed: true})
}

func TestOnlyRequestsWithSeveralLossesAreShared(t *testing.T) {
	tr := newTracker()
	before := tr.SharedVersion()
	tr.MergeReport([]Loss{{Fingerprint: 1, Incarnation: inc(1), IsConfirmed: true}, {Fingerprint: 2, Incarnation: inc(1), IsConfirmed: true}}, start)
	require.Empty(t, tr.Shared(start))
	require.Equal(t, before, tr.SharedVersion())
	require.Len(t, tr.Recent(start), 2, "peers without a conductor are told new ones, too")
	tr.MergeReport([]Loss{{Fingerprint: 2, Incarnation: inc(2)}}, start)
	require.ElementsMatch(t, []Loss{{Fingerprint: 2, Incarnation: inc(1), IsConfirmed: true}, {Fingerprint: 2, Incarnation: inc(2)}}, tr.Shared(start))
	version := tr.SharedVersion()
	require.Greater(t, version, before)
	require.Len(t, tr.Recent(start.Add(recentAge+1)), 2)
	tr.RecordRegistration(inc(2), start.Add(delay+1))
	require.Empty(t, tr.Shared(start))
	require.Greater(t, tr.SharedVersion(), version)
}

func TestKeptRequestsAreBounded(t *testing.T) {
	tr := newTracker()
	for n := range 2 * maxRequests {
		tr.MergeReport([]Loss{{Fingerprint: uint64(n), Incarnation: inc(1), IsConfirmed: true}, {Fingerprint: uint64(n), Incarnation: inc(2)}, {Fingerprint: uint64(n), Incarnation: inc(3), IsConfirmed: true}, {Fingerprint: uint64(n), Incarnation: inc(4), IsConfirmed: true}}, start)
	}
	require.Equal(t, maxRequests, tr.requests.Len())
	require.Len(t, tr.shared, maxRequests)
	require.Len(t, tr.undecided[inc(2)], maxRequests)
	require.Len(t, tr.saving.requests, maxRequests)
}

// TestExpiredLossesAreNotReported guards against losses that a new conductor learns after
// they have expired, and that count for another hour.
func TestExpiredLossesAreNotReported(t *testing.T) {
	tr := newTracker()
	tr.Begin(inc(1), poison).End(Broken, start)
	require.Len(t, tr.Unreported("c1", start), 1)
	require.Empty(t, tr.Unreported("c1", start.Add(LossTTL+1)))
	require.Empty(t, tr.Unreported("c2", start.Add(LossTTL+1)))
}

// TestStreamThatMakesProgressIsNoPoison guards against a stream that is refused after three
// upstreams have crashed beneath it, each after it had sent some of the stream.
func TestStreamThatMakesProgressIsNoPoison(t *testing.T) {
	const content = 7
	for name, tt := range map[string]struct {
		makesProgress, isContinuation bool
		want                          int // losses that count
	}{
		"progress":              {true, true, 1},
		"no progress":           {false, true, 4},
		"always from the start": {true, false, 4},
	} {
		t.Run(name, func(t *testing.T) {
			var k Tracker
			now := time.Unix(1000, 0)
			for n := range int64(4) {
				i := registrar.Incarnation{ID: "u", StartedAtMs: n}
				a := k.Begin(i, content)
				if n > 0 && tt.isContinuation {
					a.MarkContinuation()
				}
				if n == 0 || tt.makesProgress {
					a.RecordSurvival(now)
				}
				a.End(Broken, now)
				k.RecordEnd(i, now)
			}
			counted, _ := k.Losses(content, now)
			require.Equal(t, tt.want, counted)
		})
	}
}

// TestRequestThatDidNotRunIsNotLostWithItsUpstream guards against an attempt that counts as
// lost because its upstream's end became known before its response, which says that it did not
// run.
func TestRequestThatDidNotRunIsNotLostWithItsUpstream(t *testing.T) {
	var k Tracker
	now := time.Unix(1000, 0)
	i := registrar.Incarnation{ID: "u", StartedAtMs: 1}
	notRun, ran := k.Begin(i, 7), k.Begin(i, 8)
	k.RecordEnd(i, now)
	notRun.End(Completed, now)
	ran.End(Broken, now)
	for content, want := range map[uint64]int{7: 0, 8: 1} {
		counted, confirmed := k.Losses(content, now)
		require.Equal(t, want, counted)
		require.Equal(t, want, confirmed)
	}
}
