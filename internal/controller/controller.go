// Package controller plans the replicas of the shards that this instance holds.
//
// Each step claims shards, settles superseded claims, submits planned changes
// as decision records and makes sure that the orders of the decisions that count
// are sent. An order is a request to an upstream to load or unload a replica or
// an adapter. All state that must survive is in the log: after a takeover the
// next holder continues from the replicated state.
//
// The rules:
//
//   - A shard belongs to the usable member that package locator ranks first for
//     it. A holder that no longer ranks first releases the shard once its orders
//     have ended.
//   - A holder is lost if it is not usable, sends no status queries and responds
//     to none. A lost holder is superseded after the takeover time. That time
//     doubles each time another instance takes the shard from this one, up to
//     maxTakeoverShift times.
//   - A superseded holder may have orders in flight until its claim is settled,
//     that is, until no order of it can still arrive. The holder settles the claim
//     itself once its orders have ended, or the current holder does when the
//     platform reports that the process has ended. Until then the memory of a
//     replica that a late order could load again stays reserved.
//   - A replica whose upstream has restarted is unloaded, and is removed only when
//     the upstream's current process confirms the unload.
//
// The controller holds no locks across packages: it runs in one goroutine and
// reads the keeper, the monitor and the watcher one after the other.
package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/orderer"
	"github.com/primrosedrift/primrosedrift/internal/placer"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Defaults of a Controller.
const (
	// DefaultStepInterval is the longest interval between two steps.
	DefaultStepInterval = 100 * time.Millisecond
	// DefaultTakeoverAfter is how long a holder must be lost before another
	// instance claims its shards.
	DefaultTakeoverAfter = 3 * time.Second
	// DefaultRebalanceAfter is how long the usable members must stay the same
	// before a holder releases a shard for which another member ranks first.
	DefaultRebalanceAfter = 3 * time.Second
	submitTimeout         = 5 * time.Second // of one record
)

// Membership provides the state of the entry instances and upstreams. Its
// functions are methods of a Watcher.
type Membership struct {
	Members func() []watcher.Member
	// AreMembersKnown reports whether the members have been read at least once.
	AreMembersKnown func() bool
	// HasProcessEnded reports whether the platform has reported that the
	// process of the incarnation has ended.
	HasProcessEnded func(incarnation string) bool
	// ListedInstance returns the upstream's entry in the platform's instance
	// list, nil if it has none.
	ListedInstance func(name string) *platformv1.Instance
	// IsLeaving reports whether this instance is shutting down.
	IsLeaving func() bool
}

// MembershipOf returns the Membership backed by a watcher.
func MembershipOf(w *watcher.Watcher) Membership {
	return Membership{w.Members, w.AreMembersKnown, w.HasProcessEnded, w.ListedInstance, w.IsLeaving}
}

// Controller claims shards and plans their replicas. Its fields must be set
// before Init and Run.
type Controller struct {
	Membership
	Instance    string
	Incarnation string
	Keeper      *keeper.Keeper
	Recorder    *recorder.Recorder
	Monitor     *monitor.Monitor
	Tallier     *tallier.Tallier
	Orderer     *orderer.Orderer
	Log         *zap.Logger
	// IsReady reports whether the replicated state has caught up with the log.
	IsReady func() bool
	// SendEvict requests the holder of a replica to unload it and returns
	// whether the holder accepted. If it is nil, no requests are sent.
	SendEvict func(ctx context.Context, holder string, req *peerv1.EvictRequest) (bool, error)
	// KeepWarm is the idle time after which a replica is unloaded if the policy
	// has no weights.
	KeepWarm       time.Duration
	TakeoverAfter  time.Duration
	RebalanceAfter time.Duration

	wake             chan struct{}
	pendingSubjects  map[string]bool        // subjects with a record in flight
	resolvedSubjects chan string            // subjects whose record is no longer in flight
	usage            map[string]*modelUsage // by model
	evictions        evictions

	started           time.Time                   // time of the first step
	aliveIncarnations map[string]bool             // members that are usable, or that respond or send queries
	lostSince         map[string]time.Time        // lost holders by incarnation
	usableMembers     []string                    // names as of usableChangedAt
	usableChangedAt   time.Time                   // last change of the usable members
	bestMembers       []string                    // member that ranks first, by shard
	ownClaims         map[uint32]applier.Position // by shard
	takeoverCounts    map[uint32]int              // takeovers from this instance, by shard
	releasing         map[applier.Position]bool   // own claims that are being released

	mismatches map[string]mismatch // by replica
}

// Wake triggers the next step without delay. It may be called before Run, once
// Init has returned.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Init prepares the controller for Wake and Run.
func (c *Controller) Init() {
	c.wake = make(chan struct{}, 1)
	c.resolvedSubjects = make(chan string, 1024)
	c.lostSince = make(map[string]time.Time)
	c.pendingSubjects = make(map[string]bool)
	c.usage = make(map[string]*modelUsage)
	c.ownClaims = make(map[uint32]applier.Position)
	c.takeoverCounts = make(map[uint32]int)
	c.releasing = make(map[applier.Position]bool)
}

// Run executes steps until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(DefaultStepInterval)
	defer tick.Stop()
	for {
		changed := c.Keeper.Changed()
		if c.IsReady() {
			c.step(ctx, time.Now())
		}
		select {
		case <-ctx.Done():
			c.Orderer.Wait()
			return
		case <-tick.C:
		case <-c.wake:
		case <-changed:
		}
		c.drainResolved()
	}
}

func (c *Controller) drainResolved() {
	for {
		select {
		case s := <-c.resolvedSubjects:
			delete(c.pendingSubjects, s)
		default:
			return
		}
	}
}

func (c *Controller) step(ctx context.Context, now time.Time) {
	if c.IsLeaving() {
		c.releaseAll(ctx)
		return
	}
	c.claimShards(ctx, now)
	c.settleClaims(ctx)
	c.submitPlan(ctx, now)
	c.ensureOrders(ctx)
}

// submit writes a record in the background unless one for the same subject is
// in flight.
func (c *Controller) submit(ctx context.Context, subject string, rec *recordv1.Record) {
	if c.pendingSubjects[subject] {
		return
	}
	c.pendingSubjects[subject] = true
	go func() {
		sctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		e, err := c.Recorder.Submit(sctx, rec)
		switch {
		case err != nil:
			c.Log.Warn("record was not read back", zap.String("subject", subject), zap.Error(err))
		case !e.Counted:
			c.Log.Info("record does not count", zap.String("subject", subject), zap.String("why", e.Reason))
		}
		select {
		case c.resolvedSubjects <- subject:
		case <-ctx.Done():
		}
	}()
}

// isHolder reports whether this instance is the current holder of the shard.
func (c *Controller) isHolder(sh applier.Shard) bool {
	return !sh.IsReleased && sh.Holder.Claim != 0 && sh.Holder.Incarnation == c.Incarnation
}

// isPlanning reports whether this instance plans the shard: it is the holder
// and is not releasing the shard.
func (c *Controller) isPlanning(sh applier.Shard) bool {
	return c.isHolder(sh) && !c.releasing[sh.Holder.Claim]
}

// submitPlan submits the planned changes as records. The unload of a replica of
// another holder is requested from that holder.
func (c *Controller) submitPlan(ctx context.Context, now time.Time) {
	pi := c.gatherInput(now)
	for _, o := range placer.Plan(pi.in) {
		if o.IsHeldByPeer {
			c.requestEviction(ctx, o, now)
			continue
		}
		subject := o.Model
		switch {
		case o.Adapter != "":
			subject = o.Replica + " " + o.Adapter
		case o.Replica != "":
			subject = o.Replica
		default:
			o.Replica = "r-" + recorder.NewID()
		}
		c.submit(ctx, subject, &recordv1.Record{Kind: &recordv1.Record_Decision{Decision: &recordv1.Decision{
			Shard: applier.ShardOf(o.Model), Epoch: uint64(pi.epochs[o.Model]), Action: o.Action,
			Replica: o.Replica, Model: o.Model, Adapter: o.Adapter, Upstream: o.Upstream, UpstreamIncarnation: o.Incarnation,
			MemoryBytes: o.Bytes, Source: o.Source, Reason: o.Reason,
		}}})
	}
}
