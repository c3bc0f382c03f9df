package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// evictionExpiry is how long a peer's wish stands, and how long one is not
// sent again.
const evictionExpiry = 2 * time.Second

// evictions holds what peers asked to unload, and what they were asked for.
type evictions struct {
	mu     sync.Mutex
	wished map[string]eviction
	asked  map[string]time.Time // only used by the controller's goroutine
}

type eviction struct {
	reason string
	until  time.Time
}

func (e *evictions) reason(replica string, now time.Time) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.wished[replica]
	if ok && now.After(w.until) {
		delete(e.wished, replica)
		return ""
	}
	return w.reason
}

// Evict takes a peer's wish to unload a replica and reports whether this
// instance holds it. The plan unloads the replica if it is idle.
func (c *Controller) Evict(req *peerv1.EvictRequest, now time.Time) bool {
	accepted := false
	c.Keeper.View(func(s *folder.State) {
		r, ok := s.Replica(req.GetReplica())
		accepted = ok && r.IsUsable() && c.holds(s.Shard(r.Shard))
	})
	if !accepted {
		return false
	}
	c.evictions.mu.Lock()
	if c.evictions.wished == nil {
		c.evictions.wished = make(map[string]eviction)
	}
	c.evictions.wished[req.GetReplica()] = eviction{req.GetReason(), now.Add(evictionExpiry)}
	c.evictions.mu.Unlock()
	c.Wake()
	return true
}

// askEvict asks the holder of a replica to unload it.
func (c *Controller) askEvict(ctx context.Context, o placer.Order, now time.Time) {
	if at, ok := c.evictions.asked[o.Replica]; c.SendEvict == nil || ok && now.Sub(at) < evictionExpiry {
		return
	}
	if c.evictions.asked == nil {
		c.evictions.asked = make(map[string]time.Time)
	}
	for id, at := range c.evictions.asked {
		if now.Sub(at) >= evictionExpiry {
			delete(c.evictions.asked, id)
		}
	}
	c.evictions.asked[o.Replica] = now
	holder := ""
	c.Keeper.View(func(s *folder.State) { holder = s.Shard(folder.ShardOf(o.Model)).Current.Instance })
	go func() {
		ectx, cancel := context.WithTimeout(ctx, evictionExpiry)
		defer cancel()
		accepted, err := c.SendEvict(ectx, holder, &peerv1.EvictRequest{Instance: c.Instance, Replica: o.Replica, Reason: o.Reason})
		c.Log.Info("asked a peer to unload", zap.String("replica", o.Replica), zap.String("peer", holder),
			zap.Bool("accepted", accepted), zap.Error(err))
	}()
}
