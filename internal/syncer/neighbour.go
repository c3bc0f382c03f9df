package syncer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// neighbourTTL is how long an instance is probed after it was last heard of.
	neighbourTTL = 10 * time.Second
	// maxNeighbours bounds the neighbours that an instance keeps, and maxNeighboursNamed those
	// that it tells another one.
	maxNeighbours      = 256
	maxNeighboursNamed = maxReadersProbed + maxOthersProbed
)

// Neighbours are the instances that an instance has heard of other than through a view. It exchanges
// losses with them while it has no conductor, which would list the members. Its zero value is ready
// to use, and nil keeps none.
type Neighbours struct {
	mu   sync.Mutex
	list map[string]neighbour // by instance
}

type neighbour struct {
	*peerv1.Member
	// respondedAt is when the instance called or responded, zero if it never has.
	respondedAt time.Time
	// namedAt is when another instance last named it.
	namedAt time.Time
}

// recordResponse records that an instance has called or responded.
func (n *Neighbours) recordResponse(m *peerv1.Member, now time.Time) {
	n.add(neighbour{Member: m, respondedAt: now}, now)
}

// recordNamed records the instances that another one has named.
func (n *Neighbours) recordNamed(list []*peerv1.Member, now time.Time) {
	for _, m := range list {
		n.add(neighbour{Member: m, namedAt: now}, now)
	}
}

func (n *Neighbours) add(x neighbour, now time.Time) {
	if n == nil || x.GetInstance() == "" || x.GetPeerAddress() == "" {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sweepLocked(now)
	old, isKnown := n.list[x.GetInstance()]
	if !isKnown && len(n.list) >= maxNeighbours {
		return
	}
	if n.list == nil {
		n.list = make(map[string]neighbour)
	}
	if x.respondedAt.IsZero() {
		x.respondedAt = old.respondedAt
		if !old.respondedAt.IsZero() {
			x.Member = old.Member // from the instance itself
		}
	}
	if x.namedAt.IsZero() {
		x.namedAt = old.namedAt
	}
	n.list[x.GetInstance()] = x
}

func (n *Neighbours) sweepLocked(now time.Time) {
	for name, x := range n.list {
		if now.Sub(x.respondedAt) > neighbourTTL && now.Sub(x.namedAt) > neighbourTTL {
			delete(n.list, name)
		}
	}
}

// known returns the neighbours.
func (n *Neighbours) known(now time.Time) []*peerv1.Member {
	if n == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sweepLocked(now)
	var out []*peerv1.Member
	for _, x := range n.list {
		out = append(out, x.Member)
	}
	return out
}

// sample returns some neighbours at random that have called or responded within memberTTL, and the caller
// unless it should report itself again.
func (n *Neighbours) sample(caller string, now time.Time) []*peerv1.Member {
	if n == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*peerv1.Member
	for _, x := range n.list {
		if now.Sub(x.respondedAt) < memberTTL {
			out = append(out, x.Member)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(len(out), maxNeighboursNamed)]
	out = slices.DeleteFunc(out, func(m *peerv1.Member) bool { return m.GetInstance() == caller })
	if x, ok := n.list[caller]; ok && now.Sub(x.respondedAt) < memberTTL/2 {
		out = append(out, x.Member)
	}
	return out
}

// Report implements peerv1.FleetCommands. An instance that is not the conductor takes the losses of
// one that has none.
func (s *Server) Report(_ context.Context, r *peerv1.ReportRequest) (*peerv1.ReportResponse, error) {
	now := time.Now()
	if !s.IsHolder() {
		s.Neighbours.recordResponse(r.GetMember(), now)
		s.Losses.MergeExchanged(decodeLosses(r.GetLosses(), s.Log), now)
		return &peerv1.ReportResponse{}, nil
	}
	s.ApplyReport(r, now)
	return &peerv1.ReportResponse{IsConductor: true}, nil
}
