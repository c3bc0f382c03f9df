package losstracker

import "time"

const (
	// maxContentTrials bounds the trials of a content, over all instances.
	maxContentTrials = 3
	// contentTrialDelay is the time from the latest loss of a content, or from when this instance
	// learned of it, to the first trial. Each further one takes contentTrialBackoff times as long
	// after the one before. Upstreams that crash are back after some seconds.
	contentTrialDelay   = 2 * time.Second
	contentTrialBackoff = 4
	// undecidedTrialDelay takes the place of contentTrialDelay while it is not known whether the upstreams
	// have ended. A trial would be sent to one that is still listed, and refused by the process at its
	// address.
	undecidedTrialDelay = 6 * time.Second
	// claimRetryDelay is the time after a claim that was not granted until the next one.
	claimRetryDelay = 2 * time.Second
)

// contentTrials is what an instance knows of the trials of a content.
type contentTrials struct {
	// count is the number of trials that all instances have claimed, as far as it is known here, and
	// latestAt is when the latest of them was.
	count    int
	latestAt time.Time
	// isClaimed says that this instance has claimed a trial that was not sent yet.
	isClaimed bool
	// owner is the trial that a request of this instance has now, nil if none.
	owner *Trial
	// failedAt is when a claim was not granted.
	failedAt time.Time
}

// Claim is the result of a claim of a trial.
type Claim struct {
	// Trials is the number of trials that all instances have claimed, and Age the time since the
	// latest of them.
	Trials    int
	Age       time.Duration
	IsGranted bool
}

// Trial lets one request with a refused content be sent.
type Trial struct {
	tracker *Tracker
	content uint64
	isSent  bool
}

// BeginTrial returns a trial if one of the content is due, no other request of this instance has
// it, and no part that is refused is in the request. If mustClaim is true, it has to be claimed
// with SetClaim before it takes effect. known is the number of trials so far. delay is added to the
// time until the trial.
func (t *Tracker) BeginTrial(content uint64, parts []uint64, mayTry bool, delay time.Duration, now time.Time) (trial *Trial, mustClaim bool, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requestLocked(content, now)
	if r == nil || r.isPart || !r.isPoison() || r.trials.owner != nil {
		return nil, false, 0
	}
	if _, isRefused := t.findPartLocked(parts, mayTry, now); isRefused {
		return nil, false, 0
	}
	if !r.trials.isClaimed && r.untilTrial(now) > -delay {
		return nil, false, 0
	}
	trial = &Trial{tracker: t, content: content}
	r.trials.owner = trial
	return trial, !r.trials.isClaimed, r.trials.count
}

// SetClaim records the result of a claim of the trial, and reports whether it takes effect.
func (tr *Trial) SetClaim(c Claim, now time.Time) bool {
	t := tr.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requestLocked(tr.content, now)
	if r == nil {
		return c.IsGranted
	}
	if c.Trials > r.trials.count {
		r.trials.count, r.trials.latestAt = c.Trials, now.Add(-c.Age)
	}
	if !c.IsGranted {
		r.trials.failedAt = now
	}
	r.trials.isClaimed = c.IsGranted
	return c.IsGranted
}

// End ends the trial when its request has ended. One that was not sent is left to another request.
func (tr *Trial) End() {
	if tr == nil {
		return
	}
	t := tr.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.requests.Peek(tr.content); ok && r.trials.owner == tr {
		r.trials.owner = nil
	}
}

// CanSend reports whether the trial has taken effect and was not sent yet.
func (tr *Trial) CanSend() bool {
	if tr == nil {
		return false
	}
	t := tr.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.requests.Peek(tr.content)
	return ok && r.trials.owner == tr && r.trials.isClaimed && !tr.isSent
}

// sendLocked uses the trial up. It reports whether it may be sent.
func (tr *Trial) sendLocked(r *request) bool {
	if tr == nil || r.trials.owner != tr || !r.trials.isClaimed || tr.isSent {
		return false
	}
	tr.isSent, r.trials.isClaimed = true, false
	return true
}

// takeBackLocked records that nothing of the trial was sent.
func (tr *Trial) takeBackLocked() {
	if r, ok := tr.tracker.requests.Peek(tr.content); ok && r.trials.owner == tr {
		tr.isSent, r.trials.isClaimed = false, true
	}
}

// isTriedLocked reports whether trials of a content have been claimed.
func (t *Tracker) isTriedLocked(content uint64) bool {
	if t.requests == nil {
		return false
	}
	r, ok := t.requests.Peek(content)
	return ok && r.trials.count > 0
}

// untilTrial returns the time until the next trial of a content is due, and the greatest duration if
// there is none.
func (r *request) untilTrial(now time.Time) time.Duration {
	const never = time.Duration(1<<63 - 1)
	if r.trials.count >= maxContentTrials {
		return never
	}
	latest, delay := r.trials.latestAt, contentTrialDelay
	for _, l := range r.losses {
		if !l.counts() {
			continue
		}
		if l.learnedAt.After(latest) {
			latest = l.learnedAt
		}
		if !l.IsConfirmed && r.trials.count == 0 {
			delay = undecidedTrialDelay
		}
	}
	for range r.trials.count {
		delay *= contentTrialBackoff
	}
	due := latest.Add(delay)
	if retry := r.trials.failedAt.Add(claimRetryDelay); !r.trials.failedAt.IsZero() && retry.After(due) {
		due = retry
	}
	return due.Sub(now)
}
