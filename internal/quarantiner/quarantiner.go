// Package quarantiner finds the requests after which their upstream ends, and
// runs suspects apart from each other.
//
// A request is known by the fingerprint of its content. When an upstream ends,
// every request that ran there is a suspect. A suspect runs on an upstream
// where no other suspect runs, so that the next loss names one request only.
// A suspect that runs to its end is cleared; one that has lost two upstreams
// is condemned, and refused until the memory of it ends.
//
// The package holds what this instance saw itself. What all instances saw is
// in the folded state; both are joined by the upstream's incarnation, which is
// unique over all upstreams.
package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of the memory.
const (
	remembered = 4096
	// memory is how long a suspicion lasts.
	memory = time.Hour
	// afterglow is how long a broken attempt counts as having run at the end
	// of its upstream.
	afterglow = 5 * time.Second
)

// Fingerprint identifies the content of a request.
func Fingerprint(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Quarantiner keeps watch over the attempts of one instance. Its zero value is
// ready to use.
type Quarantiner struct {
	mu      sync.Mutex
	running map[place]map[*Attempt]struct{}
	lanes   map[string]uint64 // the suspect that runs on each upstream
	lost    *simplelru.LRU[uint64, loss]
}

// loss is what this instance saw of a suspect.
type loss struct {
	incarnations []string
	latest       time.Time
}

type place struct {
	upstream, incarnation string
}

// Attempt is one attempt on an upstream.
type Attempt struct {
	q           *Quarantiner
	at          place
	fingerprint uint64
	suspect     bool
	broken      time.Time // zero while it runs
}

// Begin notes an attempt. A suspect gets the upstream's lane; Begin returns
// nil if another suspect has it.
func (q *Quarantiner) Begin(upstream, incarnation string, fingerprint uint64, suspect bool) *Attempt {
	q.mu.Lock()
	defer q.mu.Unlock()
	if suspect {
		if _, taken := q.lanes[upstream]; taken {
			return nil
		}
		if q.lanes == nil {
			q.lanes = make(map[string]uint64)
		}
		q.lanes[upstream] = fingerprint
	}
	a := &Attempt{q: q, at: place{upstream, incarnation}, fingerprint: fingerprint, suspect: suspect}
	if q.running == nil {
		q.running = make(map[place]map[*Attempt]struct{})
	}
	if q.running[a.at] == nil {
		q.running[a.at] = make(map[*Attempt]struct{})
	}
	q.running[a.at][a] = struct{}{}
	return a
}

// IsLaneFree reports whether a suspect may run on the upstream.
func (q *Quarantiner) IsLaneFree(upstream string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, taken := q.lanes[upstream]
	return !taken
}

// End ends an attempt. A broken one stays on the list of its upstream for a
// while, since others may learn later that the upstream has ended.
func (a *Attempt) End(broken bool, now time.Time) {
	a.q.mu.Lock()
	defer a.q.mu.Unlock()
	if a.suspect {
		delete(a.q.lanes, a.at.upstream)
	}
	if broken {
		a.broken = now
	} else {
		delete(a.q.running[a.at], a)
	}
	a.q.sweepLocked(now)
}

func (q *Quarantiner) sweepLocked(now time.Time) {
	for at, list := range q.running {
		for a := range list {
			if !a.broken.IsZero() && now.Sub(a.broken) > afterglow {
				delete(list, a)
			}
		}
		if len(list) == 0 {
			delete(q.running, at)
		}
	}
}

// Lose notes that an incarnation of an upstream has ended, and returns the
// fingerprints of the requests that ran there and were not known to.
func (q *Quarantiner) Lose(upstream, incarnation string, now time.Time) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []uint64
	for a := range q.running[place{upstream, incarnation}] {
		if q.addLossLocked(a.fingerprint, incarnation, now) {
			out = append(out, a.fingerprint)
		}
	}
	slices.Sort(out)
	return out
}

func (q *Quarantiner) addLossLocked(f uint64, incarnation string, now time.Time) bool {
	if q.lost == nil {
		q.lost, _ = simplelru.NewLRU[uint64, loss](remembered, nil) // fails for a size below one only
	}
	l, _ := q.lost.Get(f)
	if slices.Contains(l.incarnations, incarnation) {
		return false
	}
	q.lost.Add(f, loss{append(slices.Clone(l.incarnations), incarnation), now})
	return true
}

// Losses returns how many upstreams ended while they ran the request, by what
// this instance saw and by what the folded state says.
func (q *Quarantiner) Losses(fingerprint uint64, folded []string, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	var own loss
	if q.lost != nil {
		own, _ = q.lost.Get(fingerprint)
	}
	n := len(folded)
	if now.Sub(own.latest) > memory {
		return n
	}
	for _, inc := range own.incarnations {
		if !slices.Contains(folded, inc) {
			n++
		}
	}
	return n
}

// Clear forgets what this instance saw of a suspect.
func (q *Quarantiner) Clear(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lost != nil {
		q.lost.Remove(fingerprint)
	}
}
