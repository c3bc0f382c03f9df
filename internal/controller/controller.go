// Package controller plans the replicas of the shards that this instance holds.
//
// Each step claims shards, settles superseded claims, turns plans into records
// and keeps the orders of decided changes going. It keeps no state of its own
// that matters: after a takeover the next holder goes on from the folded state.
//
// The rules:
//
//   - A shard belongs to the best usable member, as Locate ranks them. A holder
//     that is not the best any more releases the shard once its orders have ended.
//   - A holder that is lost, and neither asks nor answers, is superseded after
//     the takeover time. That time doubles each time the shard is taken back.
//   - A superseded holder may still have orders under way until its claim is
//     settled: by itself after its last order is spent, or by the platform's
//     word that its process has ended. Until then what it could load again
//     stays reserved.
//   - A replica whose upstream runs anew is unloaded, and is gone only by the
//     word of the process that runs there now.
//
// Lock order: none. The controller runs in one goroutine and reads the keeper,
// the monitor and the watcher one after the other.
package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/folder"
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
	DefaultInterval = 100 * time.Millisecond
	// DefaultTakeoverAfter is how long a holder must be lost before another claims.
	DefaultTakeoverAfter = 3 * time.Second
	// DefaultRebalanceAfter is how long the members must stay the same before a
	// holder gives a shard up to a better member.
	DefaultRebalanceAfter = 3 * time.Second
	submitTimeout         = 5 * time.Second
)

// Membership says who the entry instances and upstreams are. The watcher's
// methods fill it.
type Membership struct {
	Members func() []watcher.Member
	// IsKnown reports whether the members were learnt once.
	IsKnown func() bool
	// IsGone reports whether the platform names the incarnation as ended.
	IsGone func(incarnation string) bool
	// Upstream returns what the list says of an upstream.
	Upstream func(name string) *platformv1.Instance
	// IsLeaving reports whether this instance leaves.
	IsLeaving func() bool
}

// MembershipOf returns the membership that a watcher keeps.
func MembershipOf(w *watcher.Watcher) Membership {
	return Membership{w.Members, w.IsKnown, w.IsGone, w.Upstream, w.IsLeaving}
}

// Controller plans. Its fields must be set before Run.
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
	// IsReady reports whether the state has caught up with the log.
	IsReady func() bool
	// SendEvict asks the holder of a replica to unload it. Without it nobody is asked.
	SendEvict      func(ctx context.Context, holder string, req *peerv1.EvictRequest) (bool, error)
	KeepWarm       time.Duration
	TakeoverAfter  time.Duration
	RebalanceAfter time.Duration

	wake      chan struct{}
	submitted map[string]bool   // subjects with a record whose fate is unknown
	results   chan string       // subjects whose record's fate is known
	habits    map[string]*habit // by model
	evictions evictions

	started   time.Time
	alive     map[string]bool            // incarnations that answer or ask
	lostSince map[string]time.Time       // holders out of use, by incarnation
	ranked    []string                   // usable members, as of rankedAt
	rankedAt  time.Time                  // when the usable members last changed
	ranks     []string                   // best usable member by shard
	held      map[uint32]folder.Position // own claims by shard
	taken     map[uint32]int             // how often a shard was taken from this instance
	releasing map[folder.Position]bool   // own claims that are being released

	mismatches map[string]mismatch // by replica
}

// Wake makes the next step run at once. It may be called before Run.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Init prepares the controller for Wake and Run.
func (c *Controller) Init() {
	c.wake = make(chan struct{}, 1)
	c.results = make(chan string, 1024)
	c.lostSince = make(map[string]time.Time)
	c.submitted = make(map[string]bool)
	c.habits = make(map[string]*habit)
	c.held = make(map[uint32]folder.Position)
	c.taken = make(map[uint32]int)
	c.releasing = make(map[folder.Position]bool)
}

// Run steps until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(DefaultInterval)
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
		c.drainResults()
	}
}

func (c *Controller) drainResults() {
	for {
		select {
		case s := <-c.results:
			delete(c.submitted, s)
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
	c.claim(ctx, now)
	c.settle(ctx)
	c.plan(ctx, now)
	c.order(ctx)
}

// submit writes a record unless one for the same subject is under way.
func (c *Controller) submit(ctx context.Context, subject string, rec *recordv1.Record) {
	if c.submitted[subject] {
		return
	}
	c.submitted[subject] = true
	go func() {
		sctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		e, err := c.Recorder.Submit(sctx, rec)
		switch {
		case err != nil:
			c.Log.Warn("record fate unknown", zap.String("subject", subject), zap.Error(err))
		case !e.Counted:
			c.Log.Info("record does not count", zap.String("subject", subject), zap.String("why", e.Why))
		}
		select {
		case c.results <- subject:
		case <-ctx.Done():
		}
	}()
}

// isHolder reports whether this instance is the current holder of the shard.
func (c *Controller) isHolder(sh folder.Shard) bool {
	return !sh.Released && sh.Current.Claim != 0 && sh.Current.Incarnation == c.Incarnation
}

// holds reports whether this instance plans for the shard: it is the holder and
// is not giving the shard up.
func (c *Controller) holds(sh folder.Shard) bool {
	return c.isHolder(sh) && !c.releasing[sh.Current.Claim]
}

func (c *Controller) plan(ctx context.Context, now time.Time) {
	pi := c.gather(now)
	for _, o := range placer.Plan(pi.in) {
		if o.IsHeldByPeer {
			c.askEvict(ctx, o, now)
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
			Shard: folder.ShardOf(o.Model), Epoch: uint64(pi.epochs[o.Model]), Action: o.Action,
			Replica: o.Replica, Model: o.Model, Adapter: o.Adapter, Upstream: o.Upstream, UpstreamIncarnation: o.Incarnation,
			MemoryBytes: o.Bytes, Source: o.Source, Reason: o.Reason,
		}}})
	}
}
