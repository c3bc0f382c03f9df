package syncer

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// urgentCalls is how many calls a second an instance may make because of a loss, on average, and
	// urgentBurst how many at once, besides its probes and reports. When many upstreams crash together, hardly
	// any loss is of a request that crashes upstreams, and in a large fleet the exchange of all of them would
	// take the links and the processors.
	urgentCalls = rate.Limit(4)
	urgentBurst = 48
	// suspectReserve is the number of calls that are left to requests for which another loss matters.
	suspectReserve = 24
	// maxLateProbes is the number of calls without a response up to which the next round of probes begins.
	maxLateProbes = 3
	// maxLossesSent bounds the losses in a report to an instance that is not the conductor.
	maxLossesSent = 16
)

// exchange is the state of the probes.
type exchange struct {
	// running holds the addresses of the peers that have not responded yet.
	running map[string]bool
	wake    chan struct{}
	// rounds and reports count rounds of probes and reports to the conductor. changed is closed after
	// each of them.
	rounds, reports counts
	changed         chan struct{}
	urgent          *rate.Limiter // of calls that are made because of a loss
}

type counts struct{ begun, done int }

func (e *exchange) init() {
	if e.running == nil {
		e.running, e.wake, e.changed = make(map[string]bool), make(chan struct{}, 1), make(chan struct{})
		e.urgent = rate.NewLimiter(urgentCalls, urgentBurst)
	}
}

// mayBegin reports whether a round may begin because of a loss.
func (e *exchange) mayBegin(isSuspect bool) bool {
	if isSuspect {
		return e.numCalls() >= 1
	}
	return e.numCalls() >= suspectReserve
}

// numCalls returns how many calls may be made because of a loss now.
func (e *exchange) numCalls() int {
	e.init()
	return int(e.urgent.Tokens())
}

// runProbes probes other instances every probeInterval while there is no conductor, and sends new losses
// to some instances soon after they have become known: with a conductor, since a view comes later.
func (c *Client) runProbes(ctx context.Context) {
	c.mu.Lock()
	c.exchange.init()
	wake := c.exchange.wake
	c.mu.Unlock()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for isAwoken, isDue := false, true; ctx.Err() == nil; {
		numPeers := 0
		switch {
		case isAwoken && c.HasConductor():
			numPeers = c.sendLosses(ctx, c.membersForLosses(), &wg, maxExchangeWait)
		case isAwoken:
			numPeers = c.sendLosses(ctx, c.peersToProbe(time.Now()), &wg, maxExchangeWait)
		case isDue && !c.HasConductor() && !c.areProbesLate():
			numPeers = c.probePeers(ctx, &wg, maxExchangeWait)
		}
		sleeper.Sleep(ctx, time.Duration(numPeers)*probeIntervalPerPeer)
		isAwoken, isDue = false, false
		select {
		case <-ctx.Done():
		case <-tick.C:
			isDue = true
		case <-wake:
			isAwoken = true
		}
	}
}

// areProbesLate reports whether several peers have yet to respond. More calls would take the processor time
// of a fleet that has little left.
func (c *Client) areProbesLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.exchange.running) > maxLateProbes
}

// NotifyLoss reports a new loss at once, and sends it to other instances. isSuspect says that another
// loss matters.
func (c *Client) NotifyLoss(isSuspect bool) {
	c.ReportNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.mayBegin(isSuspect) {
		c.exchange.wakeUp()
	}
}

func (e *exchange) notify() {
	e.init()
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *exchange) wakeUp() {
	e.init()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// ExchangeLosses reports losses, and returns when the conductor and the instances that this one calls
// in a round know them, and after maxExchangeWait at most, or maxFirstExchangeWait. It returns at once
// if it has made too many calls because of losses. isSuspect says that another loss matters.
func (c *Client) ExchangeLosses(ctx context.Context, isSuspect bool) {
	hasConductor := c.HasConductor()
	wait := maxExchangeWait
	if !isSuspect && hasConductor {
		wait = maxFirstExchangeWait
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	c.mu.Lock()
	c.reportNowLocked()
	if !c.exchange.mayBegin(isSuspect) {
		c.mu.Unlock()
		return
	}
	c.exchange.wakeUp()
	round, report := c.exchange.rounds.begun+1, c.exchange.reports.begun+1
	for c.exchange.rounds.done < round || hasConductor && c.exchange.reports.done < report {
		changed := c.exchange.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
	}
	c.mu.Unlock()
}

// probePeers exchanges what is known of losses, upstreams and the lease with members, neighbours and
// seeds, learns of further instances, and checks which members respond. It returns the number of
// peers, without those that have yet to respond to an earlier probe, when all of them have responded,
// and after maxWait at most.
func (c *Client) probePeers(ctx context.Context, wg *sync.WaitGroup, maxWait time.Duration) (numPeers int) {
	now := time.Now()
	peers, wantsMembers := c.peersToProbe(now), c.wantsMembers(now)
	losses := c.newLosses(len(peers), now)
	return c.callPeers(ctx, peers, func(ctx context.Context, m *peerv1.Member) { c.probe(ctx, m, losses, wantsMembers) }, wg, maxWait)
}

// wantsMembers reports whether fewer instances have responded lately than a round probes.
func (c *Client) wantsMembers(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.respondedAt {
		if now.Sub(at) < memberTTL {
			n++
		}
	}
	return n < maxReadersProbed+maxOthersProbed
}

// newLosses returns new losses to send to numPeers, none if that would be too many calls.
func (c *Client) newLosses(numPeers int, now time.Time) []losstracker.Loss {
	c.mu.Lock()
	c.exchange.init()
	urgent := c.exchange.urgent
	c.mu.Unlock()
	if numPeers == 0 || urgent.TokensAt(now) < float64(numPeers) {
		return nil
	}
	losses := c.Losses.New(maxLossesSent, now)
	if len(losses) > 0 {
		urgent.AllowN(now, numPeers)
	}
	return losses
}

// membersForLosses returns some members other than the conductor.
func (c *Client) membersForLosses() []*peerv1.Member {
	conductor := c.Lease.Newest().Holder
	c.mu.Lock()
	defer c.mu.Unlock()
	return membersToProbe(updateMembers(c.members, nil, []string{conductor}), c.Self, rand.Perm)
}

// sendLosses sends new losses to peers, as probePeers does, and to as many of them as urgentCalls permits.
func (c *Client) sendLosses(ctx context.Context, peers []*peerv1.Member, wg *sync.WaitGroup, maxWait time.Duration) (numPeers int) {
	c.mu.Lock()
	numCalls := c.exchange.numCalls()
	c.mu.Unlock()
	if len(peers) > numCalls {
		// Otherwise the readers of a data centre, which come first, would get most of the calls.
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:numCalls]
	}
	losses := c.newLosses(len(peers), time.Now())
	if len(losses) == 0 {
		peers = nil
	}
	return c.callPeers(ctx, peers, func(ctx context.Context, m *peerv1.Member) { c.sendLossesTo(ctx, m, losses) }, wg, maxWait)
}

func (c *Client) callPeers(ctx context.Context, peers []*peerv1.Member, call func(context.Context, *peerv1.Member), wg *sync.WaitGroup, maxWait time.Duration) (numPeers int) {
	done := make(chan struct{}, len(peers))
	c.mu.Lock()
	c.exchange.init()
	c.exchange.rounds.begun++
	for _, m := range peers {
		address := m.GetPeerAddress()
		if c.exchange.running[address] {
			continue
		}
		c.exchange.running[address] = true
		numPeers++
		wg.Go(func() {
			pctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			call(pctx, m)
			c.mu.Lock()
			delete(c.exchange.running, address)
			c.mu.Unlock()
			done <- struct{}{}
		})
	}
	c.mu.Unlock()
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for n := 0; n < numPeers; n++ {
		select {
		case <-done:
		case <-timeout.C:
			n = numPeers
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.rounds.done = c.exchange.rounds.begun
	c.exchange.notify()
	return numPeers
}

// peersToProbe returns what is probed in one round: some members and neighbours, the seeds, and
// whoever is at the address in the newest claim of the lease. The latter two may have no name.
func (c *Client) peersToProbe(now time.Time) []*peerv1.Member {
	neighbours := c.Neighbours.known(now)
	c.mu.Lock()
	known := updateMembers(neighbours, c.members, nil)
	c.mu.Unlock()
	out := membersToProbe(known, c.Self, rand.Perm)
	addresses := append(slices.Clone(c.Seeds), c.Lease.Newest().Address)
	if len(out) == maxReadersProbed+maxOthersProbed {
		// A large fleet would call the seeds all the time.
		addresses = []string{addresses[rand.IntN(len(addresses))]}
	}
	for _, a := range addresses {
		isProbed := slices.ContainsFunc(out, func(m *peerv1.Member) bool { return m.GetPeerAddress() == a })
		if a != "" && a != c.Self.GetPeerAddress() && !isProbed {
			out = append(out, &peerv1.Member{PeerAddress: a})
		}
	}
	return out
}

// probe calls a peer for what it knows, and sends it losses. wantsMembers says that this instance wants to
// learn of further instances, and others of it.
func (c *Client) probe(ctx context.Context, m *peerv1.Member, losses []losstracker.Loss, wantsMembers bool) {
	r := &peerv1.WatchRequest{Instance: c.Self.GetInstance(), IsProbe: true, WantsMembers: wantsMembers}
	v, err := peerv1.NewFleetQueriesProtobufClient("http://"+m.GetPeerAddress(), c.HTTP).Watch(ctx, r)
	if err != nil {
		c.Log.Debug("peer does not respond", zap.String("peer", m.GetInstance()), zap.String("address", m.GetPeerAddress()), logger.Error(err))
		return
	}
	c.applyProbe(v, m, time.Now())
	if v.GetIsConductor() {
		return // it gets the next report
	}
	isKnown := slices.ContainsFunc(v.GetMembers(), func(m *peerv1.Member) bool { return m.GetIncarnation() == c.Self.GetIncarnation() })
	if len(losses) > 0 || wantsMembers && !isKnown {
		c.sendLossesTo(ctx, m, losses)
	}
}

// sendLossesTo sends losses to a peer that is not the conductor.
func (c *Client) sendLossesTo(ctx context.Context, m *peerv1.Member, losses []losstracker.Loss) {
	r := &peerv1.ReportRequest{Member: c.member(), Losses: encodeLosses(losses)}
	if _, err := peerv1.NewFleetCommandsProtobufClient("http://"+m.GetPeerAddress(), c.HTTP).Report(ctx, r); err != nil {
		c.Log.Debug("peer does not accept losses", zap.String("peer", m.GetInstance()), zap.String("address", m.GetPeerAddress()), logger.Error(err))
	}
}

// applyProbe applies the response of a peer.
func (c *Client) applyProbe(v *peerv1.WatchResponse, m *peerv1.Member, now time.Time) {
	isFirst := c.Lease.Newest().IsZero()
	if claim, ok := claimIn(v); ok && (isFirst || !v.GetIsConductor()) {
		c.Lease.Observe(claim)
		if isFirst {
			c.Log.Info("conductor found through a peer", zap.String("address", m.GetPeerAddress()), zap.String("conductor", claim.Holder), zap.Int64("token", claim.Token()))
		}
	}
	c.applyFollowedDefaults(v, now)
	c.Losses.MergeExchanged(decodeLosses(v.GetLosses(), c.Log), now)
	c.Upstreams.MergeLimits(decodeLimits(v.GetLimits()), now)
	c.Upstreams.MergeBrittle(decodeBrittle(v.GetBrittle()), now)
	c.Upstreams.MergeRestarts(decodeRestarts(v.GetRestarts()), now)
	if !v.GetIsConductor() && len(v.GetMembers()) > 0 { // an earlier build names none
		c.Neighbours.recordResponse(v.GetMembers()[0], now)
		c.Neighbours.recordNamed(v.GetMembers()[1:], now)
	}
	if m.GetInstance() == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.respondedAt == nil {
		c.respondedAt = make(map[string]time.Time)
	}
	c.respondedAt[m.GetInstance()] = now
}

// claimIn returns the claim of the lease that a response names: that of the responding
// instance, or the newest that it knows.
func claimIn(v *peerv1.WatchResponse) (leaser.Claim, bool) {
	if !v.GetIsConductor() {
		claim := decodeClaim(v.GetClaim())
		return claim, !claim.IsZero()
	}
	for _, m := range v.GetMembers() {
		if m.GetIncarnation() == v.GetIncarnation() {
			return leaser.Claim{Position: sequencer.FromToken(v.GetToken()), Holder: m.GetInstance(), Incarnation: m.GetIncarnation(), Address: m.GetPeerAddress()}, true
		}
	}
	return leaser.Claim{}, false
}

// membersToProbe returns the members that an instance probes in one round: the first
// ones of its data centre by name, one of which reads the log for it, and a random
// sample of the others. If every instance probed every other one, the probes of a
// large fleet would take all its processor time.
func membersToProbe(members []*peerv1.Member, self *peerv1.Member, perm func(n int) []int) []*peerv1.Member {
	var local, others []*peerv1.Member
	for _, m := range members {
		switch {
		case m.GetInstance() == self.GetInstance():
		case m.GetDataCentre() == self.GetDataCentre():
			local = append(local, m)
		default:
			others = append(others, m)
		}
	}
	slices.SortFunc(local, func(a, b *peerv1.Member) int { return strings.Compare(a.GetInstance(), b.GetInstance()) })
	n := min(len(local), maxReadersProbed)
	out := slices.Clone(local[:n])
	others = append(others, local[n:]...)
	for _, i := range perm(len(others)) {
		if len(out) >= maxReadersProbed+maxOthersProbed {
			break
		}
		out = append(out, others[i])
	}
	return out
}
