package stopper

import "time"

const (
	// acceptTime is how long a stopping instance accepts new requests, at most 1/acceptShare of
	// the grace period. Callers keep using a cached address for some time after the directory has
	// dropped it.
	acceptTime  = 2500 * time.Millisecond
	acceptShare = 3
	// answerMargin is how long before the end of the grace period what still runs is answered,
	// at most 1/answerShare of it: upstreams may still be at work in its last sixth.
	answerMargin = 700 * time.Millisecond
	answerShare  = 7
	// closeMargin is the same for closing connections. The rest is for what the process has
	// to do then.
	closeMargin = 300 * time.Millisecond
	closeShare  = 10
	// exitMargin is the same for all that the process does then.
	exitMargin = 100 * time.Millisecond
	exitShare  = 30
	// minAnswerTime is the time for the answers if the signal was handled late.
	minAnswerTime = 200 * time.Millisecond
)

// Schedule holds the moments of a stop.
type Schedule struct {
	// Signaled is the earliest time at which the signal may have been sent.
	Signaled time.Time
	// Refuse, Answer and Close are described in the documentation of the package.
	Refuse, Answer, Close, Exit time.Time
}

// Plan returns the schedule of a stop whose signal is handled now and may have been sent some time
// before.
func Plan(now time.Time, late, grace time.Duration) Schedule {
	s := Schedule{Signaled: now.Add(-max(0, late))}
	end := s.Signaled.Add(grace)
	s.Refuse = s.Signaled.Add(min(acceptTime, grace/acceptShare))
	s.Answer = end.Add(-min(answerMargin, grace/answerShare))
	s.Close = end.Add(-min(closeMargin, grace/closeShare))
	s.Exit = end.Add(-min(exitMargin, grace/exitShare))
	if earliest := now.Add(min(minAnswerTime, grace/answerShare)); s.Close.Before(earliest) {
		s.Exit = s.Exit.Add(earliest.Sub(s.Close)) // all that is left is late by as much
		s.Close = earliest
	}
	return s
}

// Fit says whether a request can end before a stop answers it.
type Fit struct {
	Fits bool
	// Expected is the expected duration, and IsMeasured says that it does not come from the
	// deadline alone.
	Expected   time.Duration
	IsMeasured bool
	// Left is the time until the stop answers what runs.
	Left time.Duration
}

// Fit reports whether a request that is sent now can end in time. takes is its expected
// duration, 0 if that is not known.
func (s Schedule) Fit(takes time.Duration, now, deadline time.Time) Fit {
	f := Fit{Expected: deadline.Sub(now), Left: s.Answer.Sub(now)}
	if takes > 0 && takes < f.Expected {
		f.Expected, f.IsMeasured = takes, true
	}
	f.Fits = f.Expected <= f.Left
	return f
}
