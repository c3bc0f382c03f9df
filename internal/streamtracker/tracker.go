package streamtracker

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// StreamMemory is how long a service counts as having a software version after the last
	// upstream with it has ended. No stream lasts longer.
	StreamMemory = 2 * time.Minute
	// maxOrigins bounds the streams of which an instance knows the version.
	maxOrigins = 1 << 16
	// receiptTime is how long after its end a stream may not have been received by its client: the
	// TCP user timeout of connections from clients.
	receiptTime = 4 * time.Second
)

// Origin is the software version at which a stream began.
type Origin struct {
	// Stream is the id of the request that brought the first event.
	Stream            string
	Service, Software string
	// Attempt is the number of the attempt that began the stream. If an attempt fails before
	// its first event, the next one may be at another version.
	Attempt int
	// IsBound says that this attempt brought the first event. No other record of the stream can
	// then hold.
	IsBound bool
	// IsUnproven says that Software is that of a registration, and that the process which sent the
	// first event is not known to be the registered one.
	IsUnproven bool
	// TTL is how long the stream may still be taken up.
	TTL time.Duration
}

// Tracker holds the origins that one instance knows. Its zero value is ready to use.
type Tracker struct {
	mu      sync.Mutex
	origins *simplelru.LRU[string, expiring] // by stream
}

type expiring struct {
	Origin
	until   time.Time
	endedAt time.Time // when it was forwarded to its end, zero before
}

// Record adds an origin, unless one that is bound or of a later attempt of the stream is known.
func (t *Tracker) Record(o Origin, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origins == nil {
		t.origins, _ = simplelru.NewLRU[string, expiring](maxOrigins, nil) // fails only for a size below one
	}
	if known, ok := t.origins.Peek(o.Stream); ok && now.Before(known.until) && known.supersedes(o) {
		return
	}
	t.origins.Add(o.Stream, expiring{Origin: o, until: now.Add(min(o.TTL, StreamMemory))})
}

// RecordEnd records that a stream was forwarded to its end. Its origin is kept, since the client may
// not have received all of it, but is not spread any more.
func (t *Tracker) RecordEnd(stream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origins == nil {
		return
	}
	if e, ok := t.origins.Peek(stream); ok {
		e.endedAt = time.Now()
		t.origins.Add(stream, e)
	}
}

// supersedes reports whether the origin holds although another record of the stream has come.
func (o Origin) supersedes(other Origin) bool {
	if o.IsBound != other.IsBound {
		return o.IsBound
	}
	if o.Attempt != other.Attempt {
		return o.Attempt > other.Attempt
	}
	return !o.IsUnproven && other.IsUnproven
}

// Find returns the origin of a stream.
func (t *Tracker) Find(stream string, now time.Time) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origins == nil {
		return Origin{}, false
	}
	e, ok := t.origins.Peek(stream)
	if !ok || !now.Before(e.until) {
		return Origin{}, false
	}
	e.TTL = e.until.Sub(now)
	return e.Origin, true
}

// OfService returns the origins of the streams of a service that have not ended here.
func (t *Tracker) OfService(service string, now time.Time) []Origin {
	return t.selectOrigins(func(e expiring) bool { return e.Service == service && e.endedAt.IsZero() }, now)
}

// Unreceived returns the origins of the streams whose clients may not have received all of them.
func (t *Tracker) Unreceived(now time.Time) []Origin {
	return t.selectOrigins(func(e expiring) bool { return e.endedAt.IsZero() || now.Sub(e.endedAt) < receiptTime }, now)
}

func (t *Tracker) selectOrigins(isSelected func(expiring) bool, now time.Time) []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origins == nil {
		return nil
	}
	var out []Origin
	for _, e := range t.origins.Values() {
		if now.Before(e.until) && isSelected(e) {
			e.TTL = e.until.Sub(now)
			out = append(out, e.Origin)
		}
	}
	return out
}

// Sweep drops the origins that have expired.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origins == nil {
		return
	}
	// The oldest records are not always those that expire first, so some stay longer.
	for {
		_, e, ok := t.origins.GetOldest()
		if !ok || now.Before(e.until) {
			return
		}
		t.origins.RemoveOldest()
	}
}
