package losstracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loseTogether ends three upstreams, from a number on, that all run the content.
func (t *Tracker) loseTogether(content uint64, first int, now time.Time) {
	var running []*Attempt
	for n := range PoisonThreshold {
		running = append(running, t.Begin(inc(first+n), content))
	}
	for n, a := range running {
		a.End(Broken, now)
		t.RecordEnd(inc(first+n), now)
	}
}

// claimAt claims a trial at a time, if one is due.
func (t *Tracker) claimAt(content uint64, now time.Time) *Trial {
	trial, mustClaim, known := t.BeginTrial(content, nil, true, 0, now)
	if trial != nil && mustClaim {
		trial.SetClaim(Claim{Trials: known + 1, IsGranted: true}, now)
	}
	return trial
}

// TestContentThatWasLostWithAllUpstreamsIsServedAgain guards against a content that is refused until its
// losses expire, because upstreams that crashed together ran it.
func TestContentThatWasLostWithAllUpstreamsIsServedAgain(t *testing.T) {
	tr := newTracker()
	var over []uint64
	tr.OnTrialsOver = func(content uint64) { over = append(over, content) }
	tr.loseTogether(poison, 0, start)
	f, isPoison := tr.Find(poison, nil, true, start)
	require.True(t, isPoison)
	require.Equal(t, contentTrialDelay, f.UntilTrial)
	require.Nil(t, tr.claimAt(poison, start.Add(contentTrialDelay-1)))

	at := start.Add(contentTrialDelay)
	trial := tr.claimAt(poison, at)
	require.True(t, trial.CanSend())
	require.Nil(t, tr.claimAt(poison, at), "one request has the trial")
	_, f = tr.TryBegin(inc(9), poison, nil, true, at)
	require.Equal(t, PoisonThreshold, f.Counted, "another request is refused")
	a, _ := tr.TryBeginTrial(inc(9), poison, nil, true, trial, at)
	require.NotNil(t, a)
	require.False(t, trial.CanSend())
	a.End(Succeeded, at)
	trial.End()
	_, isPoison = tr.Find(poison, nil, true, at)
	require.False(t, isPoison)
	require.Equal(t, []uint64{poison}, over)

	tr.loseTogether(poison, 30, at)
	require.NotNil(t, tr.claimAt(poison, at.Add(contentTrialDelay)), "the count starts anew")
}

// TestTrialsOfAContentAreBounded guards against a poison request that crashes more upstreams the longer
// it is sent.
func TestTrialsOfAContentAreBounded(t *testing.T) {
	tr := newTracker()
	tr.loseTogether(poison, 0, start)
	var sent []time.Duration
	for after := time.Duration(0); after < LossTTL/2; after += time.Second {
		now := start.Add(after)
		trial := tr.claimAt(poison, now)
		if trial == nil {
			continue
		}
		sent = append(sent, after)
		a, _ := tr.TryBeginTrial(inc(10+len(sent)), poison, nil, true, trial, now)
		a.End(Broken, now)
		trial.End()
	}
	require.Equal(t, []time.Duration{2 * time.Second, 10 * time.Second, 42 * time.Second}, sent)
	f, isPoison := tr.Find(poison, nil, true, start.Add(LossTTL/2))
	require.True(t, isPoison)
	require.Greater(t, f.UntilTrial, LossTTL, "none is left")
}

// TestTrialThatWasNotSentIsLeftToAnotherRequest guards against trials that are used up by requests which
// reach no upstream.
func TestTrialThatWasNotSentIsLeftToAnotherRequest(t *testing.T) {
	for _, tt := range []struct {
		name    string
		attempt bool
		ending  Ending
		isLeft  bool
	}{
		{"refused in the queue", false, Completed, true},
		{"connection refused", true, Unsent, true},
		{"refused by its upstream", true, Completed, false},
		{"client left", true, Left, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tr := newTracker()
			tr.loseTogether(poison, 0, start)
			now := start.Add(contentTrialDelay)
			trial := tr.claimAt(poison, now)
			if tt.attempt {
				a, _ := tr.TryBeginTrial(inc(9), poison, nil, true, trial, now)
				a.End(tt.ending, now)
			}
			require.Equal(t, tt.isLeft, trial.CanSend())
			trial.End()
			next, mustClaim, _ := tr.BeginTrial(poison, nil, false, 0, now)
			require.Equal(t, tt.isLeft, next != nil)
			require.False(t, mustClaim)
		})
	}
}

// TestClaimOfAnotherInstanceDelaysTheNextTrial guards against trials of several instances in
// succession.
func TestClaimOfAnotherInstanceDelaysTheNextTrial(t *testing.T) {
	tr := newTracker()
	tr.loseTogether(poison, 0, start)
	now := start.Add(contentTrialDelay)
	trial, _, _ := tr.BeginTrial(poison, nil, true, 0, now)
	require.False(t, trial.SetClaim(Claim{Trials: 1, Age: time.Second}, now))
	require.False(t, trial.CanSend())
	trial.End()
	next := now.Add(-time.Second).Add(contentTrialDelay * contentTrialBackoff)
	require.Nil(t, tr.claimAt(poison, next.Add(-1)))
	require.NotNil(t, tr.claimAt(poison, next))
}

// TestOtherInstancesTryLater guards against a claim by each of hundreds of instances at the same time.
func TestOtherInstancesTryLater(t *testing.T) {
	tr := newTracker()
	tr.loseTogether(poison, 0, start)
	now := start.Add(contentTrialDelay)
	trial, _, _ := tr.BeginTrial(poison, nil, false, time.Second, now)
	require.Nil(t, trial)
	trial, mustClaim, _ := tr.BeginTrial(poison, nil, false, time.Second, now.Add(time.Second))
	require.NotNil(t, trial)
	require.True(t, mustClaim)
}

// TestFirstTrialWaitsUntilTheEndsAreKnown guards against a trial that is used up at an upstream which is listed
// although its process has ended.
func TestFirstTrialWaitsUntilTheEndsAreKnown(t *testing.T) {
	for _, isConfirmed := range []bool{false, true} {
		tr := newTracker()
		for n := range PoisonThreshold {
			tr.Begin(inc(n), poison).End(Broken, start)
		}
		require.Nil(t, tr.claimAt(poison, start.Add(undecidedTrialDelay-1)))
		due := start.Add(undecidedTrialDelay)
		if isConfirmed {
			due = start.Add(contentTrialDelay + time.Second)
			for n := range PoisonThreshold {
				tr.RecordEnd(inc(n), due)
			}
		}
		require.NotNil(t, tr.claimAt(poison, due))
	}
}

// TestNoTrialWithADeadlyPart guards against a trial that is claimed for a request which is refused
// because of a part of its prompt.
func TestNoTrialWithADeadlyPart(t *testing.T) {
	const part = uint64(77)
	tr := newTracker()
	tr.loseTogether(poison, 0, start)
	for n := range PoisonThreshold {
		now := start.Add(time.Duration(n) * time.Second)
		tr.Begin(inc(20+n), uint64(100+n), part).End(Broken, now)
		tr.Tick(now.Add(deferral))
	}
	now := start.Add(contentTrialDelay + time.Second)
	trial, _, _ := tr.BeginTrial(poison, []uint64{part}, true, 0, now)
	require.Nil(t, trial)
	require.NotNil(t, tr.claimAt(poison, now))
}
