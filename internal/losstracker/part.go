package losstracker

import (
	"maps"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

const (
	// RelapseThreshold is the number of rounds of losses from which on a part counts as
	// deadly although a response to a request with it had begun before. Such a part may
	// be used together with a deadly one all the time.
	RelapseThreshold = 5
	// WideThreshold is the number of losses from which on a part that never began counts as
	// deadly, in however few rounds.
	WideThreshold = 5
	// maxLossesPerRound bounds the losses of a part that are kept of one round.
	maxLossesPerRound = WideThreshold
	// maxPartLosses bounds the losses that are kept of a part: those of all rounds that
	// matter.
	maxPartLosses = maxLossesPerRound * (RelapseThreshold + maxTrials)
	// deferral is how long a loss of the first round of a part is not told to others. A
	// crash breaks the requests with many parts, and most of them begin elsewhere by
	// then.
	deferral = 150 * time.Millisecond
	// maxTrials bounds the requests with a deadly part that crash upstreams when it is
	// tried whether it still is.
	maxTrials = 3
	// firstTrialDelay is the time from the latest loss of a deadly part to its first trial.
	// Each further one takes trialBackoff times as long.
	firstTrialDelay = 30 * time.Second
	trialBackoff    = 6
	// wideTrialDelay takes the place of firstTrialDelay if the upstreams may have crashed
	// together.
	wideTrialDelay = time.Second
	// maxAcquitted bounds the parts that are known not to be deadly.
	maxAcquitted = 16384
)

// numRepeats returns the number of losses at an incarnation that count.
func (r *request) numRepeats(i registrar.Incarnation) int {
	n := 0
	for _, l := range r.losses {
		if l.Incarnation == i && l.counts() {
			n++
		}
	}
	return n
}

// lastRound returns the greatest round of the losses that count.
func (r *request) lastRound() int {
	last := 0
	for _, l := range r.losses {
		if l.counts() {
			last = max(last, l.Round)
		}
	}
	return last
}

// numRounds returns the number of rounds with a loss that keep selects.
func (r *request) numRounds(keep func(*loss) bool) int {
	rounds := make(map[int]struct{}, len(r.losses))
	for _, l := range r.losses {
		if l.counts() && keep(l) {
			rounds[l.Round] = struct{}{}
		}
	}
	return len(rounds)
}

// suspicion is how far the losses of a part accuse it.
type suspicion struct {
	// isDeadly says that requests with the part are not sent, except for trials.
	isDeadly bool
	// isWide says that this is because of many upstreams in fewer than PoisonThreshold
	// rounds. They may have crashed together for another reason.
	isWide bool
	// excess is the number of rounds after those that made it deadly: trials that failed.
	excess int
}

// suspicion returns how far the losses accuse the part.
func (r *request) suspicion() suspicion {
	fresh, all := make(map[int]int), make(map[int]struct{}) // losses by round
	for _, l := range r.losses {
		if !l.counts() {
			continue
		}
		all[l.Round] = struct{}{}
		if !l.IsRelapse {
			fresh[l.Round]++
		}
	}
	s := suspicion{isDeadly: len(all) >= RelapseThreshold, excess: len(all) - RelapseThreshold}
	numLosses := 0
	for n, round := range slices.Sorted(maps.Keys(fresh)) {
		numLosses += fresh[round]
		if n+1 >= PoisonThreshold || numLosses >= WideThreshold {
			excess := len(fresh) - (n + 1)
			return suspicion{isDeadly: true, isWide: len(fresh) < PoisonThreshold, excess: max(excess, s.excess)}
		}
	}
	return s
}

// isTrialDue reports whether a request with the part may be sent to learn whether the part
// is still deadly. If numDeadly of the parts of that request are, it says less about each of
// them, and waits longer.
func (r *request) isTrialDue(numDeadly int, now time.Time) bool {
	s := r.suspicion()
	if s.excess >= maxTrials || r.numRunning > 0 {
		return false
	}
	delay := firstTrialDelay
	if s.isWide {
		delay = wideTrialDelay
	}
	for range max(s.excess, r.numTrials) {
		delay *= trialBackoff
	}
	latest := r.latestAt
	if r.triedAt.After(latest) {
		latest = r.triedAt
	}
	return now.Sub(latest) >= delay*time.Duration(numDeadly)
}

// isWorthTelling reports whether a refutation by an earlier response is sent to instances
// that still count the losses. A crash accuses many parts that hundreds of instances know to be sound; few are
// accused again.
func (r *request) isWorthTelling() bool {
	if !r.isPart {
		return true
	}
	for _, l := range r.losses {
		if l.Round > 1 {
			return true
		}
	}
	return len(r.losses) >= PoisonThreshold
}

// isFull reports whether no more losses are kept.
func (r *request) isFull() bool {
	if r.isPart {
		return len(r.losses) >= maxPartLosses
	}
	return len(r.losses) >= maxLosses
}

// isRoundFull reports whether a loss of a part adds nothing to those of its round.
func (r *request) isRoundFull(round int) bool {
	n := 0
	for _, l := range r.losses {
		if l.counts() && l.Round == round {
			n++
		}
	}
	return n >= maxLossesPerRound
}

func (t *Tracker) isAcquittedLocked(part uint64) bool { return t.acquitted.Contains(part) }

// acquitLocked records that a part does not crash upstreams.
func (t *Tracker) acquitLocked(part uint64, now time.Time) []event {
	t.acquitted.Add(part, struct{}{})
	delete(t.deferred, part)
	r, ok := t.requests.Peek(part)
	if !ok {
		return nil
	}
	events := t.refuteLocked(part, now)
	if r.removeUnexchanged(); len(r.losses) == 0 && r.savedLevel == harmless {
		t.requests.Remove(part)
	}
	return events
}

// Tick marks the losses whose deferral is over to be sent to others. It reports whether there are any.
func (t *Tracker) Tick(now time.Time) bool {
	t.mu.Lock()
	var events []event
	for part, until := range t.deferred {
		if now.Before(until) {
			continue
		}
		delete(t.deferred, part)
		r, ok := t.requests.Peek(part)
		if !ok {
			continue
		}
		counted, _ := r.numLosses()
		for _, l := range r.losses {
			if l.isDeferred {
				l.isDeferred = false
				events = append(events, t.tellLocked(r, l, Suspected, counted)...)
			}
		}
		t.updateSavingLocked(part, r)
	}
	t.mu.Unlock()
	t.notify(events)
	return len(events) > 0
}

// Finding says that a request is a poison request.
type Finding struct {
	// Fingerprint is that of the content, or of the part if IsPart is set.
	Fingerprint uint64
	IsPart      bool
	// Part is the index of the part.
	Part int
	// Counted and Confirmed are the numbers of losses, or of rounds of them for a part,
	// and of those with an upstream that has ended for sure.
	Counted, Confirmed int
	// IsCertain says that the confirmed ones suffice.
	IsCertain bool
	// UntilTrial is the time until a request with the content may be sent again as a trial, the
	// greatest duration if none is left. It is 0 for a part.
	UntilTrial time.Duration
}

// Find reports whether a request with a content and parts is a poison request, which must
// not be sent. An instance that mayTry sends one from time to time.
func (t *Tracker) Find(content uint64, parts []uint64, mayTry bool, now time.Time) (Finding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.findLocked(content, parts, mayTry, now)
}

func (t *Tracker) findLocked(content uint64, parts []uint64, mayTry bool, now time.Time) (Finding, bool) {
	if f, isRefused := t.findContentLocked(content, now); isRefused {
		return f, true
	}
	return t.findPartLocked(parts, mayTry, now)
}

func (t *Tracker) findContentLocked(content uint64, now time.Time) (Finding, bool) {
	r := t.requestLocked(content, now)
	if r == nil || !r.isPoison() {
		return Finding{}, false
	}
	f := newFinding(r, content)
	f.UntilTrial = max(0, r.untilTrial(now))
	return f, true
}

func (t *Tracker) findPartLocked(parts []uint64, mayTry bool, now time.Time) (Finding, bool) {
	var first Finding
	var found []*request
	for n, p := range parts {
		if r := t.requestLocked(p, now); r != nil && r.isPoison() {
			if found = append(found, r); len(found) == 1 {
				first = newFinding(r, p)
				first.IsPart, first.Part = true, n
			}
		}
	}
	for _, r := range found {
		if !mayTry || !r.isTrialDue(len(found), now) {
			return first, true
		}
	}
	return Finding{}, false
}

// recordTrialsLocked records that a request with the parts is sent, whatever comes of it.
func (t *Tracker) recordTrialsLocked(parts []uint64, now time.Time) {
	for _, p := range parts {
		if r := t.requestLocked(p, now); r != nil && r.isPoison() {
			r.numTrials++
			r.triedAt = now
		}
	}
}

func newFinding(r *request, fingerprint uint64) Finding {
	counted, confirmed := r.numLosses()
	return Finding{Fingerprint: fingerprint, Counted: counted, Confirmed: confirmed, IsCertain: confirmed >= PoisonThreshold}
}
