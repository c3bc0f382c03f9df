package controller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// maxTakeoverShift limits how often a shard's takeover time doubles.
const maxTakeoverShift = 5

// shards returns a copy of all shards.
func (c *Controller) shards() [applier.ShardCount]applier.Shard {
	var out [applier.ShardCount]applier.Shard
	c.Keeper.View(func(s *applier.State) {
		for id := range uint32(applier.ShardCount) {
			out[id] = s.Shard(id)
		}
	})
	return out
}

// claimShards claims the shards for which this instance ranks first and which
// no responding instance holds, and releases those for which another member
// ranks first.
func (c *Controller) claimShards(ctx context.Context, now time.Time) {
	members := c.Members()
	c.updateMembers(members, now)
	if !c.canRankMembers(now) {
		return
	}
	shards := c.shards()
	c.forgetStale(shards)
	for id, sh := range shards {
		shard := uint32(id)
		c.countTakeover(shard, sh)
		isBest := c.bestMembers[id] == c.Instance
		switch {
		case c.isHolder(sh):
			c.rebalance(ctx, shard, sh, isBest, now)
		case isBest:
			if reason := c.claimReason(shard, sh, now); reason != "" {
				c.submitClaim(ctx, shard, sh, reason)
			}
		}
	}
}

// forgetStale removes the entries of claims and holders that are not current.
func (c *Controller) forgetStale(shards [applier.ShardCount]applier.Shard) {
	holders := make(map[string]bool)
	claims := make(map[applier.Position]bool)
	for _, sh := range shards {
		holders[sh.Holder.Incarnation] = true
		claims[sh.Holder.Claim] = !sh.IsReleased
	}
	maps.DeleteFunc(c.lostSince, func(incarnation string, _ time.Time) bool { return !holders[incarnation] })
	maps.DeleteFunc(c.releasing, func(claim applier.Position, _ bool) bool { return !claims[claim] })
}

// canRankMembers reports whether the members are known, or could not be read
// for the takeover time. A new instance that does not know the members yet
// would claim the shards of live holders.
func (c *Controller) canRankMembers(now time.Time) bool {
	if c.started.IsZero() {
		c.started = now
	}
	return c.AreMembersKnown() || now.Sub(c.started) >= c.takeoverAfter()
}

func (c *Controller) takeoverAfter() time.Duration {
	if c.TakeoverAfter == 0 {
		return DefaultTakeoverAfter
	}
	return c.TakeoverAfter
}

func (c *Controller) rebalanceAfter() time.Duration {
	if c.RebalanceAfter == 0 {
		return DefaultRebalanceAfter
	}
	return c.RebalanceAfter
}

// updateMembers updates which members are alive and which usable member ranks
// first for each shard.
func (c *Controller) updateMembers(members []watcher.Member, now time.Time) {
	c.aliveIncarnations = make(map[string]bool)
	var names []string
	for _, m := range members {
		if m.IsUsable() {
			names = append(names, m.Name)
		}
		if m.IsUsable() || m.IsAlive {
			c.aliveIncarnations[m.Incarnation] = true
			delete(c.lostSince, m.Incarnation)
		}
	}
	if slices.Equal(names, c.usableMembers) && c.bestMembers != nil {
		return
	}
	c.usableMembers, c.usableChangedAt = names, now
	cands := make([]locator.Candidate, len(names))
	for i, n := range names {
		cands[i] = locator.Candidate{Name: n}
	}
	c.bestMembers = make([]string, applier.ShardCount)
	for id := range c.bestMembers {
		if rank := locator.Rank(ShardKey(uint32(id)), cands); len(rank) > 0 {
			c.bestMembers[id] = rank[0].Name
		}
	}
}

// countTakeover counts the takeovers of a shard from this instance while it
// runs. Each doubles the shard's takeover time. Otherwise two instances that
// cannot reach each other would keep taking the shard from each other at a
// constant rate. The count is reset once the shard's holder is alive.
func (c *Controller) countTakeover(shard uint32, sh applier.Shard) {
	if c.isHolder(sh) {
		c.ownClaims[shard] = sh.Holder.Claim
		return
	}
	old, ok := c.ownClaims[shard]
	if !ok {
		return
	}
	delete(c.ownClaims, shard)
	if sh.Holder.Claim != old {
		c.takeoverCounts[shard]++
	}
}

// claimReason returns the reason why this instance may claim the shard, "" if
// it may not.
func (c *Controller) claimReason(shard uint32, sh applier.Shard, now time.Time) string {
	h := sh.Holder
	switch {
	case h.Claim == 0:
		return "nobody held the shard"
	case sh.IsReleased:
		return "holder released the shard"
	case h.Instance == c.Instance:
		return "earlier run of this instance held the shard"
	case c.HasProcessEnded(h.Incarnation):
		return "holder's process has ended"
	case c.aliveIncarnations[h.Incarnation]:
		delete(c.takeoverCounts, shard)
		return ""
	}
	since, ok := c.lostSince[h.Incarnation]
	if !ok {
		c.lostSince[h.Incarnation] = now
		return ""
	}
	if now.Sub(since) < c.takeoverAfter()<<min(c.takeoverCounts[shard], maxTakeoverShift) {
		return ""
	}
	return "holder is lost"
}

func (c *Controller) submitClaim(ctx context.Context, shard uint32, sh applier.Shard, reason string) {
	c.submit(ctx, fmt.Sprintf("shard %d", shard), &recordv1.Record{Kind: &recordv1.Record_Claim{Claim: &recordv1.Claim{
		Shard: shard, Supersedes: uint64(sh.Holder.Claim),
		Instance: c.Instance, Incarnation: c.Incarnation, Reason: reason,
	}}})
}

// rebalance releases a shard for which another member has ranked first for the
// rebalance time, so that the holder is the instance that Locate returns to
// callers.
func (c *Controller) rebalance(ctx context.Context, shard uint32, sh applier.Shard, isBest bool, now time.Time) {
	claim := sh.Holder.Claim
	if !c.releasing[claim] {
		if isBest || c.bestMembers[shard] == "" || now.Sub(c.usableChangedAt) < c.rebalanceAfter() || c.Orderer.NumOpenOrders(shard) > 0 {
			return
		}
		c.releasing[claim] = true
	}
	c.submitRelease(ctx, shard, claim)
}

func (c *Controller) submitRelease(ctx context.Context, shard uint32, claim applier.Position) {
	c.submit(ctx, fmt.Sprintf("release %d", shard), &recordv1.Record{Kind: &recordv1.Record_Release{
		Release: &recordv1.Release{Shard: shard, Claim: uint64(claim)},
	}})
}

// ShardKey returns the key by which package locator ranks instances for a
// shard.
func ShardKey(shard uint32) string {
	return fmt.Sprintf("shard-%d", shard)
}

// settleClaims settles superseded claims: those of this instance whose orders
// have all ended, and those whose process the platform lists as ended.
func (c *Controller) settleClaims(ctx context.Context) {
	for id, sh := range c.shards() {
		for _, h := range sh.UnsettledHolders {
			var ground recordv1.SettleGround
			switch {
			case h.Incarnation == c.Incarnation && c.Orderer.NumOpenOrders(uint32(id)) == 0:
				ground = recordv1.SettleGround_SETTLE_GROUND_HOLDER_SAW_NEWER_CLAIM
			case c.isHolder(sh) && c.HasProcessEnded(h.Incarnation):
				ground = recordv1.SettleGround_SETTLE_GROUND_PROCESS_GONE
			default:
				continue
			}
			c.submit(ctx, fmt.Sprintf("settle %d", h.Claim), &recordv1.Record{Kind: &recordv1.Record_Settle{
				Settle: &recordv1.Settle{Shard: uint32(id), Claim: uint64(h.Claim), Ground: ground},
			}})
		}
	}
}

// releaseAll releases all shards whose orders have ended. A leaving instance
// makes no decisions and starts no orders.
func (c *Controller) releaseAll(ctx context.Context) {
	views := c.Monitor.Views()
	c.Orderer.ExpireUnanswered(func(upstream string) time.Time { return views[upstream].ReportedAt })
	for id, sh := range c.shards() {
		if c.isHolder(sh) && c.Orderer.NumOpenOrders(uint32(id)) == 0 {
			c.submitRelease(ctx, uint32(id), sh.Holder.Claim)
		}
	}
}
