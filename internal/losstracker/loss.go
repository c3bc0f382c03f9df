package losstracker

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// Loss states that an incarnation of an upstream ended while it ran a request.
type Loss struct {
	Fingerprint uint64 // of the request
	// Incarnation is the one that was known when the attempt began.
	Incarnation registrar.Incarnation
	// Repeat is the number of earlier losses of the request at this incarnation that
	// were known when the attempt began. Another incarnation of the upstream may have
	// run it, which had not been registered yet.
	Repeat int
	// IsConfirmed says that the incarnation is known to have ended.
	IsConfirmed bool
	// IsRefuted says that the request has run to its end since.
	IsRefuted bool
}

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

// request holds the losses of a request.
type request struct {
	losses   []*loss
	latestAt time.Time
	// isOwn says that this instance observed one of them.
	isOwn   bool
	isSaved bool // in the log
}

type loss struct {
	Loss
	learnedAt time.Time
	isOwn     bool // observed by this instance
	// isExchanged says that another instance knows the loss.
	isExchanged bool
	refutedAt   time.Time // when this instance learned that it is refuted
	// isUncounted says that the attempt was not seen to break, since its client left.
	isUncounted bool
}

func (l *loss) counts() bool { return !l.IsRefuted && (l.IsConfirmed || !l.isUncounted) }

// numLosses returns the number of losses that count, and of the confirmed ones.
func (r *request) numLosses() (counted, confirmed int) {
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

// isTold reports whether others are told of the loss: one that counts, or one that they
// may count although it is refuted.
func (l *loss) isTold(now time.Time) bool {
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
