package syncer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/follower"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// RequestRecords requests the records of a topic, from a position on, from the
// members, the conductor first.
func (c *Client) RequestRecords(ctx context.Context, topic string, from sequencer.Position) (follower.Batch, error) {
	out := follower.Batch{Next: from}
	err := c.tryPeers(ctx, func(ctx context.Context, address string) (bool, error) {
		r, err := peerv1.NewFleetQueriesProtobufClient("http://"+address, c.HTTP).Records(ctx, &peerv1.RecordsRequest{
			Topic: topic, From: from.Offset, Era: from.Era,
		})
		if err != nil {
			return false, err
		}
		b := decodeBatch(r)
		if !b.Next.IsAfter(from) {
			return false, nil
		}
		out = b
		return true, nil
	})
	return out, err
}

// RequestNewest requests the records of a topic from a position on from members, one after the
// other, until isEnough reports true or ctx ends. It passes each response to apply with the time at
// which it was requested, by clocker.SinceStart. It asks the readers of all data centres, so that
// one of them at least has likely read the log lately. All at once would send a large record
// several times over a link that may be slow.
func (c *Client) RequestNewest(ctx context.Context, topic string, from sequencer.Position, apply func(b follower.Batch, sentAt time.Duration), isEnough func() bool) {
	for _, address := range c.readers() {
		sentAt := clocker.SinceStart()
		r, err := peerv1.NewFleetQueriesProtobufClient("http://"+address, c.HTTP).Records(ctx, &peerv1.RecordsRequest{
			Topic: topic, From: from.Offset, Era: from.Era,
		})
		if err != nil {
			c.Log.Debug("reader does not respond", zap.String("topic", topic), zap.String("address", address), logger.Error(err))
		} else {
			apply(decodeBatch(r), sentAt)
		}
		if ctx.Err() != nil || isEnough() {
			return
		}
	}
}

// readers returns the addresses of the readers of all data centres, at most maxReadersAsked,
// without this instance. It includes the conductor if there are fewer.
func (c *Client) readers() []string {
	members := c.Members()
	var out []string
	seen := make(map[string]bool)
	for _, m := range members {
		if seen[m.GetDataCentre()] {
			continue
		}
		seen[m.GetDataCentre()] = true
		for _, r := range readersOf(members, m.GetDataCentre()) {
			if r.GetInstance() != c.Self.GetInstance() {
				out = append(out, r.GetPeerAddress())
				break
			}
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if a := c.Lease.Newest().Address; a != "" && a != c.Self.GetPeerAddress() && !slices.Contains(out, a) {
		out = append([]string{a}, out...)
	}
	return out[:min(len(out), maxReadersAsked)]
}

// maxReadersAsked bounds the members that are asked at the same time.
const maxReadersAsked = 4

// PeerStore returns a store that is reached through the members.
func (c *Client) PeerStore() leaser.Store {
	call := func(ctx context.Context, q *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
		var out *peerv1.ClaimResponse
		err := c.tryPeers(ctx, func(ctx context.Context, address string) (bool, error) {
			r, err := peerv1.NewFleetCommandsProtobufClient("http://"+address, c.HTTP).Claim(ctx, q)
			out = r
			return err == nil, err
		})
		if out == nil && err == nil {
			err = errors.New("no peer address is known")
		}
		return out, err
	}
	return leaser.Store{
		Newest: func(ctx context.Context) (leaser.Claim, sequencer.Position, error) {
			r, err := call(ctx, &peerv1.ClaimRequest{})
			return decodeClaim(r.GetClaim()), sequencer.Position{Era: r.GetEndEra(), Offset: r.GetEndOffset()}, err
		},
		Append: func(ctx context.Context, claim leaser.Claim) error {
			r, err := call(ctx, &peerv1.ClaimRequest{Claim: encodeClaim(claim)})
			if err == nil && r.GetHasMoved() {
				err = leaser.ErrConflict
			}
			return err
		},
	}
}

// tryPeers calls the members one after the other, the conductor first, until call
// reports true. It returns the last error if no call does.
func (c *Client) tryPeers(ctx context.Context, call func(ctx context.Context, address string) (bool, error)) error {
	var lastErr error
	for _, a := range c.addresses() {
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		ok, err := call(cctx, a)
		cancel()
		if ok {
			return nil
		}
		if err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// addresses returns the addresses of the peers to call, at most maxPeersTried: the seeds
// only if no other is known.
func (c *Client) addresses() []string {
	out := []string{c.Lease.Newest().Address}
	if len(c.Members()) == 0 {
		// The holder may be gone for good.
		out = append(slices.Clone(c.Seeds[:min(len(c.Seeds), maxPeersTried)]), out[0])
		return slices.DeleteFunc(out, func(a string) bool { return a == "" })
	}
	for _, m := range c.Members() {
		out = append(out, m.GetPeerAddress())
	}
	slices.Sort(out[1:])
	// Instances start at different peers.
	if n := len(out) - 1; n > 1 {
		first := int(xxhash.Sum64String(c.Self.GetInstance()) % uint64(n))
		out = append(out[:1], append(slices.Clone(out[1+first:]), out[1:1+first]...)...)
	}
	seen := map[string]bool{"": true, c.Self.GetPeerAddress(): true}
	out = slices.DeleteFunc(out, func(a string) bool {
		isDuplicate := seen[a]
		seen[a] = true
		return isDuplicate
	})
	return out[:min(len(out), maxPeersTried)]
}

// maxPeersTried is the maximum number of peers that are called, one after the other.
const maxPeersTried = 3
