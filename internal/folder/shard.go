package folder

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// ShardCount is the number of control shards. A shard plans the replicas of
// the models that hash to it.
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

// Shard is who plans a group of models.
type Shard struct {
	Current  Holder
	Released bool
	// Unsettled holds the earlier holders that may still have unsent orders
	// for a replica of the shard.
	Unsettled []Holder
	// SettledAt is the position of the last record that settled a holder.
	SettledAt Position

	recent recentIDs // records that counted under the current claim
}

func (s *Shard) claim(c *recordv1.Claim, at Position, off check) string {
	if Position(c.GetSupersedes()) != s.Current.Claim && !off.has(checkClaims) {
		return "superseded claim is not the current one"
	}
	if s.Current.Claim != 0 && !s.Released {
		s.Unsettled = append(slices.Clone(s.Unsettled), s.Current)
	}
	s.Current = Holder{Claim: at, Instance: c.GetInstance(), Incarnation: c.GetIncarnation()}
	s.Released = false
	s.recent = recentIDs{}
	return ""
}

func (s *Shard) release(claim Position) string {
	if claim == 0 || claim != s.Current.Claim {
		return "claim is not the current one"
	}
	if s.Released {
		return "claim is released already"
	}
	s.Released = true
	return ""
}

func (s *Shard) settle(r *recordv1.Settle, writer string, at Position) string {
	i := slices.IndexFunc(s.Unsettled, func(h Holder) bool { return h.Claim == Position(r.GetClaim()) })
	if i < 0 {
		return "claim is not an unsettled one"
	}
	switch r.GetGround() {
	case recordv1.SettleGround_SETTLE_GROUND_HOLDER_SAW_NEWER_CLAIM:
		if writer != s.Unsettled[i].Incarnation {
			return "only the holder itself can say what it saw"
		}
	case recordv1.SettleGround_SETTLE_GROUND_PROCESS_GONE:
	default:
		return "no ground to settle"
	}
	s.SettledAt = at
	s.Unsettled = slices.Delete(slices.Clone(s.Unsettled), i, i+1)
	return ""
}

// isCurrent reports whether decisions under the epoch count.
func (s *Shard) isCurrent(epoch Position) bool {
	return epoch != 0 && epoch == s.Current.Claim && !s.Released
}

// dropUnsettled forgets the unsettled holders for which there is nothing left
// that they could have ordered: replicas decided later are not known to them.
func (s *Shard) dropUnsettled(oldest Position) {
	s.Unsettled = slices.DeleteFunc(slices.Clone(s.Unsettled), func(h Holder) bool { return h.Claim < oldest })
}

// mayGetLateOrders reports whether a superseded holder that could have sent
// orders for a replica decided under epoch is not settled yet.
func (s *Shard) mayGetLateOrders(epoch Position) bool {
	return slices.ContainsFunc(s.Unsettled, func(h Holder) bool { return h.Claim >= epoch })
}

// MayGetLateOrders reports whether a superseded holder that is not settled could
// still send an order for the replica.
func (s *State) MayGetLateOrders(r Replica) bool {
	return s.shards[r.Shard].mayGetLateOrders(r.Epoch)
}
