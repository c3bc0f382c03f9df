package relayer

import (
	"strconv"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// lossesToBlock is the number of upstream processes that must end while they run
// a request before it is rejected. Two may be a coincidence when several
// upstreams crash at once.
const lossesToBlock = 3

// Loss records that an upstream's process ended while it ran a request.
type Loss struct {
	Fingerprint uint64
	Incarnation string
}

// PoisonTracker detects poison requests: requests that crash the upstreams that
// run them. It combines the losses that this instance observed with those that
// its peers report. Its zero value is ready to use.
type PoisonTracker struct {
	quarantiner.Quarantiner
	// OnLoss, if set, is called for each loss that this instance records, with the
	// number of losses of the request that it knows.
	OnLoss func(l Loss, known int)

	mu         sync.Mutex
	peerLosses map[uint64][]string
	ownLosses  []Loss
}

// incarnation identifies one run of an upstream's process by its start time.
func incarnation(u *registrar.Upstream) string {
	return u.ID + "@" + time.UnixMilli(u.StartedAtMs).UTC().Format(time.RFC3339Nano)
}

// Begin records the start of an attempt.
func (p *PoisonTracker) Begin(u *registrar.Upstream, fingerprint uint64) *quarantiner.Attempt {
	return p.Quarantiner.Begin(u.ID, incarnation(u), fingerprint, false)
}

// RecordEnd records that an upstream has ended, and a loss for each request that
// ran there.
func (p *PoisonTracker) RecordEnd(u *registrar.Upstream, now time.Time) {
	inc := incarnation(u)
	lost := p.RecordLoss(u.ID, inc, now)
	for _, f := range lost {
		if p.OnLoss != nil {
			p.OnLoss(Loss{f, inc}, p.numLosses(f, now))
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range lost {
		p.ownLosses = append(p.ownLosses, Loss{f, inc})
	}
	if n := len(p.ownLosses) - maxLosses; n > 0 {
		p.ownLosses = p.ownLosses[n:]
	}
}

// maxLosses bounds the losses that are kept for peers.
const maxLosses = 256

// Losses returns the losses that this instance observed.
func (p *PoisonTracker) Losses() []Loss {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Loss(nil), p.ownLosses...)
}

// SetPeers replaces the losses that peers report.
func (p *PoisonTracker) SetPeers(losses []Loss) {
	peers := make(map[uint64][]string)
	for _, l := range losses {
		peers[l.Fingerprint] = append(peers[l.Fingerprint], l.Incarnation)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerLosses = peers
}

// IsPoison reports whether the request is to be rejected as a poison request.
func (p *PoisonTracker) IsPoison(fingerprint uint64, now time.Time) bool {
	return p.numLosses(fingerprint, now) >= lossesToBlock
}

func (p *PoisonTracker) numLosses(fingerprint uint64, now time.Time) int {
	p.mu.Lock()
	peers := p.peerLosses[fingerprint]
	p.mu.Unlock()
	return p.Quarantiner.Losses(fingerprint, peers, now)
}

// FormatFingerprint returns the fingerprint of a request as it stands in logs.
func FormatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

// fingerprint identifies the content of a request, independent of its id and its
// client.
func fingerprint(c *call) uint64 {
	return quarantiner.Fingerprint(c.req.Method, c.req.Host, c.req.Target, c.requestInfo.Model, c.requestInfo.Adapter, c.requestInfo.Prefix, string(c.req.Body))
}
