package streamtracker

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxUnproven bounds the streams whose origins can still be proven.
	maxUnproven = 1 << 14
	// proofTimeout is how long a client waits for the proof of its stream's origin before other
	// instances are asked.
	proofTimeout = 400 * time.Millisecond
	// unawaitedProofTimeout bounds a proof that no client waits for. It is longer than a request to an
	// upstream that does not respond, since that shows something as well.
	unawaitedProofTimeout = 2500 * time.Millisecond
	// proofRetryDelay is the delay until a proof that could not be had is tried again. It doubles
	// with each of maxProofRetries.
	proofRetryDelay = 500 * time.Millisecond
	maxProofRetries = 6
)

// errUnproven says that it is not known which process began a stream.
var errUnproven = errors.New("the processes that began some streams are not known")

// unproven holds what proves the origins of streams that began here. Its zero value is ready to use.
type unproven struct {
	mu   sync.Mutex
	list *simplelru.LRU[string, *unprovenOrigin] // by stream
}

type unprovenOrigin struct {
	Origin
	until  time.Time
	verify func(context.Context) bool

	retryAt    time.Time // zero before the first retry is planned
	numRetries int
}

func (u *unproven) add(o Origin, verify func(context.Context) bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.list == nil {
		u.list, _ = simplelru.NewLRU[string, *unprovenOrigin](maxUnproven, nil) // fails only for a size below one
	}
	u.list.Add(o.Stream, &unprovenOrigin{Origin: o, until: now.Add(o.TTL), verify: verify})
}

func (u *unproven) find(stream string) (*unprovenOrigin, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.list == nil {
		return nil, false
	}
	return u.list.Peek(stream)
}

// streams returns the streams that may still be taken up, and drops the others.
func (u *unproven) streams(now time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.selectLocked(now, func(*unprovenOrigin) bool { return true })
}

// streamsOf returns those of a service.
func (u *unproven) streamsOf(service string, now time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.selectLocked(now, func(o *unprovenOrigin) bool { return o.Service == service })
}

// due returns the streams of services at risk whose proof is to be tried again, and plans the next
// retries. The first try was made when the stream began or its service came to be at risk.
func (u *unproven) due(isAtRisk func(service string) bool, now time.Time) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.selectLocked(now, func(o *unprovenOrigin) bool {
		if o.numRetries == maxProofRetries || !isAtRisk(o.Service) || now.Before(o.retryAt) {
			return false
		}
		isFirst := o.retryAt.IsZero()
		o.retryAt = now.Add(proofRetryDelay << o.numRetries)
		if !isFirst {
			o.numRetries++
		}
		return !isFirst
	})
}

func (u *unproven) selectLocked(now time.Time, isSelected func(*unprovenOrigin) bool) (out []string) {
	if u.list == nil {
		return nil
	}
	for _, o := range u.list.Values() {
		if !now.Before(o.until) {
			u.list.Remove(o.Stream)
		} else if isSelected(o) {
			out = append(out, o.Stream)
		}
	}
	return out
}

func (u *unproven) remove(stream string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.list.Remove(stream)
}

// proofState says what is known of the origin of a stream.
type proofState int

const (
	proofFailed proofState = iota
	proofPending
	proofFound
)

// Prove reports whether the software version that began a stream is known for sure. It waits for
// the proof until ctx ends, or until there can be none.
func (k *Keeper) Prove(ctx context.Context, stream string) bool {
	return k.prove(ctx, stream, k.sendOne) == proofFound
}

// proveUnawaited is Prove if no client waits for it.
func (k *Keeper) proveUnawaited(stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), unawaitedProofTimeout)
	defer cancel()
	k.prove(ctx, stream, k.sendSoon)
}

// proveWithin is prove with a timeout.
func (k *Keeper) proveWithin(ctx context.Context, stream string, timeout time.Duration) proofState {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return k.prove(ctx, stream, k.sendOne)
}

func (k *Keeper) sendOne(o Origin) { k.Send([]Origin{o}) }

// prove returns proofPending if ctx has ended before anything was shown. An origin that others have to
// know is passed to send.
func (k *Keeper) prove(ctx context.Context, stream string, send func(Origin)) proofState {
	o, isKnown := k.Tracker.Find(stream, time.Now())
	if isKnown && !o.IsUnproven {
		return proofFound
	}
	u, ok := k.unproven.find(stream)
	if !isKnown || !ok {
		return proofFailed
	}
	if !u.verify(ctx) {
		if ctx.Err() != nil {
			return proofPending
		}
		return proofFailed
	}
	proven := u.Origin
	proven.IsUnproven, proven.TTL = false, time.Until(u.until)
	k.Tracker.Record(proven, time.Now()) // before the removal: a Settler looks at one after the other
	if k.unproven.remove(stream) {       // the first caller sends it
		if k.History.HasSeveral(proven.Service) {
			k.archive(proven)
		}
		if k.IsAtRisk(proven.Service) || k.isStopping.Load() {
			send(proven)
		}
	}
	return proofFound
}

// ProveAll proves the origins of the streams that run here. It is called when the registrations
// cannot be read any more.
func (k *Keeper) ProveAll() {
	for _, stream := range k.unproven.streams(time.Now()) {
		k.startProof(stream)
	}
}

// RetryProofs tries again to prove origins of services at risk, or all during a stop, so that the
// homes of the streams and the platform's log have them proven before this instance ends. It is called
// periodically.
func (k *Keeper) RetryProofs(now time.Time) {
	known := make(map[string]bool)
	isAtRisk := func(service string) bool {
		if k.isStopping.Load() {
			return true
		}
		r, ok := known[service]
		if !ok {
			r = k.IsAtRisk(service)
			known[service] = r
		}
		return r
	}
	for _, stream := range k.unproven.due(isAtRisk, now) {
		k.startProof(stream)
	}
}
