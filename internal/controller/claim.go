package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// claim claims the shards for which this instance is the best usable member
// and which nobody holds who is in use.
func (c *Controller) claim(ctx context.Context, now time.Time) {
	members := c.Watcher.Members()
	usable := c.usable(members, now)
	for id := range uint32(folder.ShardCount) {
		var sh folder.Shard
		c.Keeper.View(func(s *folder.State) { sh = s.Shard(id) })
		if c.holds(sh) || !c.isBest(id, members) {
			continue
		}
		var reason string
		switch {
		case sh.Current.Claim == 0:
			reason = "nobody held the shard"
		case sh.Released:
			reason = "holder released the shard"
		case sh.Current.Instance == c.Instance:
			reason = "earlier run of this instance held the shard"
		case !usable[sh.Current.Incarnation]:
			reason = "holder is out of use"
		default:
			continue
		}
		c.submit(ctx, fmt.Sprintf("shard %d", id), &recordv1.Record{Kind: &recordv1.Record_Claim{Claim: &recordv1.Claim{
			Shard: id, Supersedes: uint64(sh.Current.Claim),
			Instance: c.Instance, Incarnation: c.Incarnation, Reason: reason,
		}}})
	}
}

// usable returns the incarnations that hold shards by right: those in use, and
// those lost for less than the takeover time.
func (c *Controller) usable(members []watcher.Member, now time.Time) map[string]bool {
	after := c.TakeoverAfter
	if after == 0 {
		after = DefaultTakeoverAfter
	}
	out := make(map[string]bool)
	for _, m := range members {
		if !m.Lost {
			delete(c.lostSince, m.Incarnation)
			out[m.Incarnation] = true
			continue
		}
		since, ok := c.lostSince[m.Incarnation]
		if !ok {
			since = now
			c.lostSince[m.Incarnation] = now
		}
		if now.Sub(since) < after && !c.Watcher.IsGone(m.Incarnation) {
			out[m.Incarnation] = true
		}
	}
	return out
}

// isBest reports whether this instance ranks first among the usable members.
func (c *Controller) isBest(shard uint32, members []watcher.Member) bool {
	var cands []locator.Candidate
	for _, m := range members {
		if m.IsUsable() {
			cands = append(cands, locator.Candidate{Name: m.Name})
		}
	}
	rank := locator.Rank(ShardKey(shard), cands)
	return len(rank) > 0 && rank[0].Name == c.Instance
}

// ShardKey is the key by which instances are ranked for a shard.
func ShardKey(shard uint32) string {
	return fmt.Sprintf("shard-%d", shard)
}

// settle settles superseded claims: the own ones whose orders have all ended,
// and those whose process the platform names as ended.
func (c *Controller) settle(ctx context.Context) {
	for id := range uint32(folder.ShardCount) {
		var sh folder.Shard
		c.Keeper.View(func(s *folder.State) { sh = s.Shard(id) })
		for _, h := range sh.Unsettled {
			var ground recordv1.SettleGround
			switch {
			case h.Incarnation == c.Incarnation && c.Orderer.Running(id) == 0:
				ground = recordv1.SettleGround_SETTLE_GROUND_HOLDER_SAW_NEWER_CLAIM
			case c.holds(sh) && c.Watcher.IsGone(h.Incarnation):
				ground = recordv1.SettleGround_SETTLE_GROUND_PROCESS_GONE
			default:
				continue
			}
			c.submit(ctx, fmt.Sprintf("settle %d", h.Claim), &recordv1.Record{Kind: &recordv1.Record_Settle{
				Settle: &recordv1.Settle{Shard: id, Claim: uint64(h.Claim), Ground: ground},
			}})
		}
	}
}

// releaseAll gives up all shards whose orders have ended.
func (c *Controller) releaseAll(ctx context.Context) {
	for id := range uint32(folder.ShardCount) {
		var sh folder.Shard
		c.Keeper.View(func(s *folder.State) { sh = s.Shard(id) })
		if !c.holds(sh) || c.Orderer.Running(id) > 0 {
			continue
		}
		c.submit(ctx, fmt.Sprintf("release %d", id), &recordv1.Record{Kind: &recordv1.Record_Release{
			Release: &recordv1.Release{Shard: id, Claim: uint64(sh.Current.Claim)},
		}})
	}
}
