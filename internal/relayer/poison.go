package relayer

import (
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// lossesToCondemn is how many upstreams may end while they run a request
// before it is refused: two may be a coincidence in a crash of several.
const lossesToCondemn = 3

// Loss says that an upstream ended while it ran a request.
type Loss struct {
	Fingerprint uint64
	Incarnation string
}

// Poison finds the requests that end the upstreams that run them. It joins what
// this instance saw with what its peers saw. Its zero value is ready to use.
type Poison struct {
	quarantiner.Quarantiner

	mu    sync.Mutex
	peers map[uint64][]string
	own   []Loss
}

// incarnation names one run of an upstream's process.
func incarnation(u *registrar.Upstream) string {
	return u.ID + "@" + time.UnixMilli(u.Born).UTC().Format(time.RFC3339Nano)
}

// Begin notes an attempt.
func (p *Poison) Begin(u *registrar.Upstream, fingerprint uint64) *quarantiner.Attempt {
	return p.Quarantiner.Begin(u.ID, incarnation(u), fingerprint, false)
}

// NoteEnd notes that an upstream has ended, and suspects what ran there.
func (p *Poison) NoteEnd(u *registrar.Upstream, now time.Time) {
	inc := incarnation(u)
	lost := p.Lose(u.ID, inc, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range lost {
		p.own = append(p.own, Loss{f, inc})
	}
	if n := len(p.own) - maxLosses; n > 0 {
		p.own = p.own[n:]
	}
}

// maxLosses bounds the losses that are remembered for peers.
const maxLosses = 256

// Losses returns what this instance saw.
func (p *Poison) Losses() []Loss {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Loss(nil), p.own...)
}

// SetPeers replaces what the peers saw.
func (p *Poison) SetPeers(losses []Loss) {
	peers := make(map[uint64][]string)
	for _, l := range losses {
		peers[l.Fingerprint] = append(peers[l.Fingerprint], l.Incarnation)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = peers
}

// IsCondemned reports whether the request is refused.
func (p *Poison) IsCondemned(fingerprint uint64, now time.Time) bool {
	p.mu.Lock()
	peers := p.peers[fingerprint]
	p.mu.Unlock()
	return p.Quarantiner.Losses(fingerprint, peers, now) >= lossesToCondemn
}

// fingerprint identifies the content of a request, whoever sends it again.
func fingerprint(c *call) uint64 {
	return quarantiner.Fingerprint(c.req.Method, c.req.Host, c.req.Target, c.facts.Model, c.facts.Adapter, c.facts.Prefix, string(c.req.Body))
}
