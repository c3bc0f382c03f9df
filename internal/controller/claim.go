package controller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// maxTakeoverShift bounds how often a shard's takeover time doubles.
const maxTakeoverShift = 5

// shards returns a copy of all shards.
func (c *Controller) shards() [folder.ShardCount]folder.Shard {
	var out [folder.ShardCount]folder.Shard
	c.Keeper.View(func(s *folder.State) {
		for id := range uint32(folder.ShardCount) {
			out[id] = s.Shard(id)
		}
	})
	return out
}

// claim claims the shards for which this instance is the best usable member
// and which nobody holds who is in use, and gives up those for which another
// member is better.
func (c *Controller) claim(ctx context.Context, now time.Time) {
	members := c.Members()
	c.noteMembers(members, now)
	if !c.knowsMembers(now) {
		return
	}
	shards := c.shards()
	c.forget(shards)
	for id, sh := range shards {
		shard := uint32(id)
		c.noteSuperseded(shard, sh)
		best := c.ranks[id] == c.Instance
		switch {
		case c.isHolder(sh):
			c.rebalance(ctx, shard, sh, best, now)
		case best:
			if reason := c.mayClaim(shard, sh, now); reason != "" {
				c.submitClaim(ctx, shard, sh, reason)
			}
		}
	}
}

// forget drops what is noted of claims and holders that are not current.
func (c *Controller) forget(shards [folder.ShardCount]folder.Shard) {
	holders := make(map[string]bool)
	claims := make(map[folder.Position]bool)
	for _, sh := range shards {
		holders[sh.Current.Incarnation] = true
		claims[sh.Current.Claim] = !sh.Released
	}
	maps.DeleteFunc(c.lostSince, func(incarnation string, _ time.Time) bool { return !holders[incarnation] })
	maps.DeleteFunc(c.releasing, func(claim folder.Position, _ bool) bool { return !claims[claim] })
}

// knowsMembers reports whether the members were learnt, or could not be for as
// long as a holder may be lost. A newcomer that knows nobody yet would claim
// the shards of live holders.
func (c *Controller) knowsMembers(now time.Time) bool {
	if c.started.IsZero() {
		c.started = now
	}
	return c.IsKnown() || now.Sub(c.started) >= c.takeoverAfter()
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

// noteMembers keeps who is alive, and the best usable member of every shard.
func (c *Controller) noteMembers(members []watcher.Member, now time.Time) {
	c.alive = make(map[string]bool)
	var names []string
	for _, m := range members {
		if m.IsUsable() {
			names = append(names, m.Name)
		}
		if m.IsUsable() || m.Alive {
			c.alive[m.Incarnation] = true
			delete(c.lostSince, m.Incarnation)
		}
	}
	if slices.Equal(names, c.ranked) && c.ranks != nil {
		return
	}
	c.ranked, c.rankedAt = names, now
	cands := make([]locator.Candidate, len(names))
	for i, n := range names {
		cands[i] = locator.Candidate{Name: n}
	}
	c.ranks = make([]string, folder.ShardCount)
	for id := range c.ranks {
		if rank := locator.Rank(ShardKey(uint32(id)), cands); len(rank) > 0 {
			c.ranks[id] = rank[0].Name
		}
	}
}

// noteSuperseded doubles the takeover time of a shard that was taken from this
// instance while it ran. Two instances that cannot see each other would
// otherwise take a shard from each other for ever.
func (c *Controller) noteSuperseded(shard uint32, sh folder.Shard) {
	if c.isHolder(sh) {
		c.held[shard] = sh.Current.Claim
		return
	}
	old, ok := c.held[shard]
	if !ok {
		return
	}
	delete(c.held, shard)
	if sh.Current.Claim != old {
		c.taken[shard]++
	}
}

// mayClaim returns why this instance may claim the shard, or nothing.
func (c *Controller) mayClaim(shard uint32, sh folder.Shard, now time.Time) string {
	h := sh.Current
	switch {
	case h.Claim == 0:
		return "nobody held the shard"
	case sh.Released:
		return "holder released the shard"
	case h.Instance == c.Instance:
		return "earlier run of this instance held the shard"
	case c.IsGone(h.Incarnation):
		return "holder's process has ended"
	case c.alive[h.Incarnation]:
		delete(c.taken, shard)
		return ""
	}
	since, ok := c.lostSince[h.Incarnation]
	if !ok {
		c.lostSince[h.Incarnation] = now
		return ""
	}
	if now.Sub(since) < c.takeoverAfter()<<min(c.taken[shard], maxTakeoverShift) {
		return ""
	}
	return "holder is lost"
}

func (c *Controller) submitClaim(ctx context.Context, shard uint32, sh folder.Shard, reason string) {
	c.submit(ctx, fmt.Sprintf("shard %d", shard), &recordv1.Record{Kind: &recordv1.Record_Claim{Claim: &recordv1.Claim{
		Shard: shard, Supersedes: uint64(sh.Current.Claim),
		Instance: c.Instance, Incarnation: c.Incarnation, Reason: reason,
	}}})
}

// rebalance gives up a shard for which another member has been better for a
// while, so that the holder is the instance that callers are sent to.
func (c *Controller) rebalance(ctx context.Context, shard uint32, sh folder.Shard, best bool, now time.Time) {
	claim := sh.Current.Claim
	if !c.releasing[claim] {
		if best || c.ranks[shard] == "" || now.Sub(c.rankedAt) < c.rebalanceAfter() || c.Orderer.Open(shard) > 0 {
			return
		}
		c.releasing[claim] = true
	}
	c.submitRelease(ctx, shard, claim)
}

func (c *Controller) submitRelease(ctx context.Context, shard uint32, claim folder.Position) {
	c.submit(ctx, fmt.Sprintf("release %d", shard), &recordv1.Record{Kind: &recordv1.Record_Release{
		Release: &recordv1.Release{Shard: shard, Claim: uint64(claim)},
	}})
}

// ShardKey is the key by which instances are ranked for a shard.
func ShardKey(shard uint32) string {
	return fmt.Sprintf("shard-%d", shard)
}

// settle settles superseded claims: the own ones whose orders have all ended,
// and those whose process the platform names as ended.
func (c *Controller) settle(ctx context.Context) {
	for id, sh := range c.shards() {
		for _, h := range sh.Unsettled {
			var ground recordv1.SettleGround
			switch {
			case h.Incarnation == c.Incarnation && c.Orderer.Open(uint32(id)) == 0:
				ground = recordv1.SettleGround_SETTLE_GROUND_HOLDER_SAW_NEWER_CLAIM
			case c.isHolder(sh) && c.IsGone(h.Incarnation):
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

// releaseAll gives up all shards whose orders have ended. Nothing is ordered
// or decided beside it.
func (c *Controller) releaseAll(ctx context.Context) {
	views := c.Monitor.Views()
	c.Orderer.Expire(func(upstream string) time.Time { return views[upstream].Heard })
	for id, sh := range c.shards() {
		if c.isHolder(sh) && c.Orderer.Open(uint32(id)) == 0 {
			c.submitRelease(ctx, uint32(id), sh.Current.Claim)
		}
	}
}
