package streamtracker

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxUnproven bounds the streams whose origins can still be proven.
	maxUnproven = 1 << 14
	// proofTimeout bounds the time that a client waits until the origin of its stream is proven.
	proofTimeout = 400 * time.Millisecond
)

// unproven holds what proves the origins of streams that began here. Its zero value is ready to use.
type unproven struct {
	mu   sync.Mutex
	list *simplelru.LRU[string, unprovenOrigin] // by stream
}

type unprovenOrigin struct {
	Origin
	until  time.Time
	verify func(context.Context) bool
}

func (u *unproven) add(o Origin, verify func(context.Context) bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.list == nil {
		u.list, _ = simplelru.NewLRU[string, unprovenOrigin](maxUnproven, nil) // fails only for a size below one
	}
	u.list.Add(o.Stream, unprovenOrigin{o, now.Add(o.TTL), verify})
}

func (u *unproven) find(stream string) (unprovenOrigin, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.list == nil {
		return unprovenOrigin{}, false
	}
	return u.list.Peek(stream)
}

func (u *unproven) all() []unprovenOrigin {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.list == nil {
		return nil
	}
	return u.list.Values()
}

func (u *unproven) remove(stream string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.list.Remove(stream)
}

// Prove reports whether the software version that began a stream is known for sure. It waits for
// the proof for a bounded time.
func (k *Keeper) Prove(ctx context.Context, stream string) bool {
	o, isKnown := k.Tracker.Find(stream, time.Now())
	if isKnown && !o.IsUnproven {
		return true
	}
	u, ok := k.unproven.find(stream)
	if !isKnown || !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	if !u.verify(ctx) {
		return false
	}
	if k.unproven.remove(stream) { // the first caller records it
		proven := u.Origin
		proven.IsUnproven, proven.TTL = false, time.Until(u.until)
		k.Tracker.Record(proven, time.Now())
		if k.History.HasSeveral(proven.Service) {
			k.archive(proven)
		}
		if k.IsAtRisk(proven.Service) {
			k.Send([]Origin{proven})
		}
	}
	return true
}

// ProveAll proves the origins of the streams that run here. It is called when the registrations
// cannot be read any more.
func (k *Keeper) ProveAll() {
	now := time.Now()
	for _, u := range k.unproven.all() {
		if now.Before(u.until) {
			go k.Prove(context.Background(), u.Stream)
		}
	}
}
