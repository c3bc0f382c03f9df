package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// evictionTTL is how long a peer's eviction request is valid. It is also the
// timeout of sending one, and the time for which a sent one is not repeated.
const evictionTTL = 2 * time.Second

// evictions holds the eviction requests received from peers and sent to them,
// by replica.
type evictions struct {
	mu        sync.Mutex
	requested map[string]eviction  // received
	sentAt    map[string]time.Time // sent; used only by the controller's goroutine
}

// eviction is an eviction request received from a peer.
type eviction struct {
	reason string
	until  time.Time
}

// reason returns the reason of the request to evict the replica, "" if there is
// none.
func (e *evictions) reason(replica string, now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requested[replica]
	if ok && now.After(r.until) {
		delete(e.requested, replica)
		return ""
	}
	return r.reason
}

// Evict handles a peer's request to unload a replica. It reports whether the
// request is accepted: the replica is usable and this instance plans it. The
// next plan unloads the replica if it is idle.
func (c *Controller) Evict(req *peerv1.EvictRequest, now time.Time) bool {
	accepted := false
	c.Keeper.View(func(s *applier.State) {
		r, ok := s.Replica(req.GetReplica())
		accepted = ok && r.IsUsable() && c.isPlanning(s.Shard(r.Shard))
	})
	if !accepted {
		return false
	}
	c.evictions.mu.Lock()
	if c.evictions.requested == nil {
		c.evictions.requested = make(map[string]eviction)
	}
	c.evictions.requested[req.GetReplica()] = eviction{req.GetReason(), now.Add(evictionTTL)}
	c.evictions.mu.Unlock()
	c.Wake()
	return true
}

// requestEviction requests the holder of a replica to unload it, in the
// background.
func (c *Controller) requestEviction(ctx context.Context, o placer.Order, now time.Time) {
	if at, ok := c.evictions.sentAt[o.Replica]; c.SendEvict == nil || ok && now.Sub(at) < evictionTTL {
		return
	}
	if c.evictions.sentAt == nil {
		c.evictions.sentAt = make(map[string]time.Time)
	}
	for id, at := range c.evictions.sentAt {
		if now.Sub(at) >= evictionTTL {
			delete(c.evictions.sentAt, id)
		}
	}
	c.evictions.sentAt[o.Replica] = now
	holder := ""
	c.Keeper.View(func(s *applier.State) { holder = s.Shard(applier.ShardOf(o.Model)).Holder.Instance })
	go func() {
		ectx, cancel := context.WithTimeout(ctx, evictionTTL)
		defer cancel()
		accepted, err := c.SendEvict(ectx, holder, &peerv1.EvictRequest{Instance: c.Instance, Replica: o.Replica, Reason: o.Reason})
		c.Log.Info("requested a peer to unload a replica", zap.String("replica", o.Replica), zap.String("peer", holder),
			zap.Bool("accepted", accepted), zap.Error(err))
	}()
}
