// Package quarantiner detects poison requests, which crash the upstreams that run
// them, and isolates suspects from each other.
//
// A request is identified by the fingerprint of its content. When an upstream
// ends, every request that ran there becomes a suspect. A suspect runs on an
// upstream where no other suspect runs, so that the next crash implicates only
// one of them. A suspect that completes is cleared. One that was running when a
// number of upstreams ended is a poison request and is rejected until its losses
// expire.
//
// The dispatcher uses it; it rejects a request after two losses. The package holds the
// losses that this instance observed. The dispatcher adds those that other instances
// reported, from the replicated state, which is built by applying the log's records in
// order. Losses from both sources are matched by the upstream's incarnation, which is
// unique across all upstreams. Requests that are forwarded on the users' platform are
// tracked by package losstracker instead.
package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of the recorded losses and attempts.
const (
	// maxFingerprints bounds the requests whose losses are kept.
	maxFingerprints = 4096
	// lossTTL is how long the losses of a request count after the latest of them.
	lossTTL = time.Hour
	// brokenAttemptTTL is how long a broken attempt still counts as running on its
	// upstream, since the end of the upstream may be detected later.
	brokenAttemptTTL = 5 * time.Second
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

// Quarantiner tracks the attempts of one instance. Its zero value is ready to use.
type Quarantiner struct {
	mu                  sync.Mutex
	running             map[upstreamRun]map[*Attempt]struct{}
	reserved            map[string]uint64 // upstream to the fingerprint of the suspect that reserved it
	lossesByFingerprint *simplelru.LRU[uint64, losses]
}

// losses are the incarnations that ended while they ran a request, as this
// instance observed them.
type losses struct {
	incarnations []string
	latestAt     time.Time
}

// upstreamRun identifies one run of an upstream's process.
type upstreamRun struct {
	upstream, incarnation string
}

// Attempt is one attempt on an upstream.
type Attempt struct {
	q           *Quarantiner
	run         upstreamRun
	fingerprint uint64
	isSuspect   bool
	brokenAt    time.Time // zero while it runs
}

// Begin records the start of an attempt. An attempt of a suspect reserves the
// upstream for it; Begin returns nil if another suspect has reserved it.
func (q *Quarantiner) Begin(upstream, incarnation string, fingerprint uint64, isSuspect bool) *Attempt {
	q.mu.Lock()
	defer q.mu.Unlock()
	if isSuspect {
		if _, isReserved := q.reserved[upstream]; isReserved {
			return nil
		}
		if q.reserved == nil {
			q.reserved = make(map[string]uint64)
		}
		q.reserved[upstream] = fingerprint
	}
	a := &Attempt{q: q, run: upstreamRun{upstream, incarnation}, fingerprint: fingerprint, isSuspect: isSuspect}
	if q.running == nil {
		q.running = make(map[upstreamRun]map[*Attempt]struct{})
	}
	if q.running[a.run] == nil {
		q.running[a.run] = make(map[*Attempt]struct{})
	}
	q.running[a.run][a] = struct{}{}
	return a
}

// CanRunSuspect reports whether a suspect may run on the upstream, which no other
// suspect has reserved.
func (q *Quarantiner) CanRunSuspect(upstream string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, isReserved := q.reserved[upstream]
	return !isReserved
}

// End records the end of an attempt and releases the upstream that it reserved. A
// broken attempt still counts as running for brokenAttemptTTL, since the end of its
// upstream may be detected later.
func (a *Attempt) End(isBroken bool, now time.Time) {
	a.q.mu.Lock()
	defer a.q.mu.Unlock()
	if a.isSuspect {
		delete(a.q.reserved, a.run.upstream)
	}
	if isBroken {
		a.brokenAt = now
	} else {
		delete(a.q.running[a.run], a)
	}
	a.q.sweepLocked(now)
}

func (q *Quarantiner) sweepLocked(now time.Time) {
	for run, list := range q.running {
		for a := range list {
			if !a.brokenAt.IsZero() && now.Sub(a.brokenAt) > brokenAttemptTTL {
				delete(list, a)
			}
		}
		if len(list) == 0 {
			delete(q.running, run)
		}
	}
}

// RecordLoss records that an incarnation of an upstream has ended, and returns the
// fingerprints of the requests that ran there and for which this loss was not
// recorded before.
func (q *Quarantiner) RecordLoss(upstream, incarnation string, now time.Time) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []uint64
	for a := range q.running[upstreamRun{upstream, incarnation}] {
		if q.addLossLocked(a.fingerprint, incarnation, now) {
			out = append(out, a.fingerprint)
		}
	}
	slices.Sort(out)
	return out
}

func (q *Quarantiner) addLossLocked(f uint64, incarnation string, now time.Time) bool {
	if q.lossesByFingerprint == nil {
		q.lossesByFingerprint, _ = simplelru.NewLRU[uint64, losses](maxFingerprints, nil) // fails only for a size below one
	}
	l, _ := q.lossesByFingerprint.Get(f)
	if slices.Contains(l.incarnations, incarnation) {
		return false
	}
	q.lossesByFingerprint.Add(f, losses{append(slices.Clone(l.incarnations), incarnation), now})
	return true
}

// Losses returns how many upstreams ended while they ran the request: the distinct
// incarnations among the reported ones and those that this instance observed.
// reported must list each incarnation once. The observations of this instance are
// ignored once the latest is older than lossTTL.
func (q *Quarantiner) Losses(fingerprint uint64, reported []string, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	var own losses
	if q.lossesByFingerprint != nil {
		own, _ = q.lossesByFingerprint.Get(fingerprint)
	}
	n := len(reported)
	if now.Sub(own.latestAt) > lossTTL {
		return n
	}
	for _, inc := range own.incarnations {
		if !slices.Contains(reported, inc) {
			n++
		}
	}
	return n
}

// Clear deletes the losses that this instance observed for a request.
func (q *Quarantiner) Clear(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lossesByFingerprint != nil {
		q.lossesByFingerprint.Remove(fingerprint)
	}
}
