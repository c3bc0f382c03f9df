package losstracker

import (
	"slices"
	"strconv"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// Loss states that an incarnation of an upstream ended while it ran a request, or before
// it had begun the response to a request with a part of a prompt.
type Loss struct {
	Fingerprint uint64 // of the content of the request, or of the part
	// Incarnation is the one that was known when the attempt began.
	Incarnation registrar.Incarnation
	// Repeat is the number of earlier losses of the request at this incarnation that
	// were known when the attempt began. Another incarnation of the upstream may have
	// run it, which had not been registered yet.
	Repeat int
	// IsConfirmed says that the incarnation is known to have ended.
	IsConfirmed bool
	// IsRefuted says that the request has run to its end since, or that a response to a
	// request with the part has begun and its upstream lived on.
	IsRefuted bool
	// Round is 0 for a content. For a part it is one more than the greatest round of the
	// losses that were known when the attempt began. Losses of one round may have one
	// cause: upstreams that crash together.
	Round int
	// IsRelapse says that the part had been refuted before at the instance that observed
	// the loss.
	IsRelapse bool
}

// FormatFingerprint returns the fingerprint of a content or of a part as it stands in logs.
func FormatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

// Change says what happened to a loss.
type Change string

// Changes of a loss.
const (
	Suspected Change = "suspected"
	Confirmed Change = "confirmed"
	Withdrawn Change = "withdrawn"
	Refuted   Change = "refuted"
	Learned   Change = "learned" // from another instance or from the log
)

// request holds the losses of a content or of a part.
type request struct {
	losses   []*loss
	isPart   bool
	latestAt time.Time
	// numRunning is the number of attempts with the part that have not survived yet.
	numRunning int
	// numTrials and triedAt are of the trials by this instance since it knows the part.
	numTrials int
	triedAt   time.Time
	// trials are those of a content.
	trials contentTrials
	// isOwn says that this instance observed one of them.
	isOwn bool
	// sharedAt is the Tracker.sharedVersion of the last change that others are told.
	sharedAt uint64
	// savedLevel is what the platform's log says of the request.
	savedLevel level
	// isSaveLost says that a restored log may have lost what it said.
	isSaveLost bool
}

type loss struct {
	Loss
	learnedAt time.Time
	isOwn     bool // observed by this instance
	// isExchanged says that another instance knows the loss.
	isExchanged bool
	isSent      bool      // returned by Tracker.New
	refutedAt   time.Time // when this instance learned that it is refuted
	// isDeferred says that others are told later, unless it is refuted by then.
	isDeferred bool
	// isUncounted says that the attempt was not seen to break, since its client left.
	isUncounted bool
}

// confirmed returns the loss as confirmed.
func (l *loss) confirmed() Loss {
	out := l.Loss
	out.IsConfirmed = true
	return out
}

func (l *loss) counts() bool { return !l.IsRefuted && (l.IsConfirmed || !l.isUncounted) }

// isPoison reports whether the request is a poison request, or the part is deadly.
func (r *request) isPoison() bool {
	if r.isPart {
		return r.suspicion().isDeadly
	}
	counted, _ := r.numLosses()
	return counted >= PoisonThreshold
}

// numLosses returns the number of losses that count, and of the confirmed ones; for a part
// the numbers of rounds with such losses.
func (r *request) numLosses() (counted, confirmed int) {
	if r.isPart {
		return r.numRounds(func(*loss) bool { return true }), r.numRounds(func(l *loss) bool { return l.IsConfirmed })
	}
	for _, l := range r.losses {
		if l.counts() {
			counted++
		}
		if l.IsConfirmed && !l.IsRefuted {
			confirmed++
		}
	}
	return counted, confirmed
}

// isShareable reports whether others are told of the loss: one that counts, or one that they
// may count although it is refuted.
func (l *loss) isShareable(now time.Time) bool {
	if l.isDeferred {
		return false
	}
	return l.counts() || l.IsRefuted && l.isExchanged && now.Sub(l.refutedAt) <= refutationTTL
}

func (r *request) find(k key) *loss {
	for _, l := range r.losses {
		if keyOf(l.Loss) == k {
			return l
		}
	}
	return nil
}

// undecided returns the losses at an incarnation that are neither confirmed nor refuted.
func (r *request) undecided(i registrar.Incarnation) []*loss {
	var out []*loss
	for _, l := range r.losses {
		if l.Incarnation == i && !l.IsConfirmed && !l.IsRefuted {
			out = append(out, l)
		}
	}
	return out
}

// removeRefuted removes the refuted losses, to make room for others.
func (r *request) removeRefuted() {
	r.losses = slices.DeleteFunc(r.losses, func(l *loss) bool { return l.IsRefuted })
}

// removeUnexchanged removes the refuted losses that no other instance knows.
func (r *request) removeUnexchanged() {
	r.losses = slices.DeleteFunc(r.losses, func(l *loss) bool { return l.IsRefuted && !l.isExchanged })
}
