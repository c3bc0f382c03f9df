package applier

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// ShardCount is the number of control shards. The holder of a shard plans the
// replicas of the models that hash to it.
const ShardCount = 64

// ShardOf returns the control shard of a model.
func ShardOf(model string) uint32 {
	return uint32(xxhash.Sum64String(model) % ShardCount)
}

// Holder is the instance that a claim names.
type Holder struct {
	Claim       Position
	Instance    string
	Incarnation string
}

// Shard is the ownership of a control shard: its current holder and the earlier
// holders that are not settled.
type Shard struct {
	Holder     Holder
	IsReleased bool
	// UnsettledHolders holds the earlier holders whose orders for a replica of the
	// shard may still arrive.
	UnsettledHolders []Holder
	// SettledAt is the position of the last record that settled a holder.
	SettledAt Position

	recent recentIDs // ids of records that counted under the current claim
}

func (s *Shard) claim(c *recordv1.Claim, at Position, disabled check) string {
	if Position(c.GetSupersedes()) != s.Holder.Claim && !disabled.has(checkClaims) {
		return "superseded claim is not the current one"
	}
	if s.Holder.Claim != 0 && !s.IsReleased {
		s.UnsettledHolders = append(slices.Clone(s.UnsettledHolders), s.Holder)
	}
	s.Holder = Holder{Claim: at, Instance: c.GetInstance(), Incarnation: c.GetIncarnation()}
	s.IsReleased = false
	s.recent = recentIDs{}
	return ""
}

func (s *Shard) release(claim Position) string {
	if claim == 0 || claim != s.Holder.Claim {
		return "claim is not the current one"
	}
	if s.IsReleased {
		return "claim is released already"
	}
	s.IsReleased = true
	return ""
}

func (s *Shard) settle(r *recordv1.Settle, writer string, at Position) string {
	i := slices.IndexFunc(s.UnsettledHolders, func(h Holder) bool { return h.Claim == Position(r.GetClaim()) })
	if i < 0 {
		return "claim is not an unsettled one"
	}
	switch r.GetGround() {
	case recordv1.SettleGround_SETTLE_GROUND_HOLDER_SAW_NEWER_CLAIM:
		if writer != s.UnsettledHolders[i].Incarnation {
			return "only the holder itself can say what it saw"
		}
	case recordv1.SettleGround_SETTLE_GROUND_PROCESS_GONE:
	default:
		return "no ground to settle"
	}
	s.SettledAt = at
	s.UnsettledHolders = slices.Delete(slices.Clone(s.UnsettledHolders), i, i+1)
	return ""
}

// isCurrent reports whether decisions under the epoch count.
func (s *Shard) isCurrent(epoch Position) bool {
	return epoch != 0 && epoch == s.Holder.Claim && !s.IsReleased
}

// dropUnsettled removes the unsettled holders whose claims are older than the
// oldest epoch of the shard's replicas. They cannot have sent orders for
// replicas that were decided after their claims were superseded.
func (s *Shard) dropUnsettled(oldestEpoch Position) {
	s.UnsettledHolders = slices.DeleteFunc(slices.Clone(s.UnsettledHolders), func(h Holder) bool { return h.Claim < oldestEpoch })
}

// mayGetLateOrders reports whether an unsettled holder could have sent orders
// for a replica decided under epoch.
func (s *Shard) mayGetLateOrders(epoch Position) bool {
	return slices.ContainsFunc(s.UnsettledHolders, func(h Holder) bool { return h.Claim >= epoch })
}

// MayGetLateOrders reports whether an order of an unsettled holder for the
// replica may still arrive.
func (s *State) MayGetLateOrders(r Replica) bool {
	return s.shards[r.Shard].mayGetLateOrders(r.Epoch)
}
