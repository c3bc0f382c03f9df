package syncer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/linkwatcher"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	"github.com/primrosedrift/primrosedrift/internal/versioner"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// maxReportInterval is the longest time between two reports.
	maxReportInterval = 400 * time.Millisecond
	// minReportInterval is the least time between two reports.
	minReportInterval = 8 * time.Millisecond
	// watchWait is how long a watch waits for a change of the view.
	watchWait = 500 * time.Millisecond
	// callTimeout bounds a call. A long-polling call may take this much longer than
	// the wait that it requests.
	callTimeout = 600 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 150 * time.Millisecond
	// conductorTTL is how long the conductor counts as reachable after a response.
	conductorTTL = 1500 * time.Millisecond
	// firstProbeTime is how long after the loss of the conductor the members have had time to respond to a probe.
	firstProbeTime = time.Second
	// probeInterval is the time between two rounds of probes of the members.
	probeInterval = 300 * time.Millisecond
	// probeIntervalPerPeer lengthens the least time between two rounds of probes with the number of
	// peers, so that an instance probes 334 times a second at most.
	probeIntervalPerPeer = 3 * time.Millisecond
	// maxExchangeWait bounds how long a request waits until others know what it has lost, and
	// maxFirstExchangeWait if it is its first loss and there is a conductor: hardly any of these
	// requests crashes upstreams.
	maxExchangeWait      = 100 * time.Millisecond
	maxFirstExchangeWait = 20 * time.Millisecond
	// maxReadersProbed and maxOthersProbed bound the members that are probed in a
	// round: the first of the data centre, and others.
	maxReadersProbed = 3
	maxOthersProbed  = 9
	// MaxMessageBytes bounds a message between instances. The registrations of 10,000
	// upstreams take about half of it.
	MaxMessageBytes = 16 << 20
	// peerUserTimeout is how long bytes sent to a peer may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	peerUserTimeout = time.Second
)

// NewHTTPClient returns the HTTP client for peers.
func NewHTTPClient() *http.Client {
	transport := &http.Transport{
		DialContext: courier.DialContext(callTimeout, courier.UserTimeoutControl(peerUserTimeout)), MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true,
		MaxResponseHeaderBytes: courier.MaxTransportHeadBytes,
	}
	return courier.FramedClient(&http.Client{Transport: courier.LimitedTransport{RoundTripper: transport, MaxBodyBytes: MaxMessageBytes}})
}

// Client reports to the conductor and watches its view. Its exported fields
// must be set before Run.
type Client struct {
	Self      *peerv1.Member
	HTTP      *http.Client
	Lease     *leaser.Lease
	Server    *Server // of this instance
	Queue     *queuer.Queue
	Upstreams *registrar.Table
	Losses    *losstracker.Tracker
	// Seeds are addresses of instances that are called while there is no conductor.
	Seeds []string
	// Neighbours are shared with the Server, nil for none.
	Neighbours *Neighbours
	// IsStopping reports whether this instance is shutting down. It still accepts
	// new requests until its queue is closed.
	IsStopping func() bool
	// Links knows whether this instance reaches the upstreams.
	Links *linkwatcher.Watcher
	// Defaults are the default software versions that this instance follows, nil for none.
	Defaults *versioner.Follower
	// Settled returns, by service, the revisions of default versions for which all origins of this instance are
	// saved, nil for none.
	Settled func(time.Time) map[string]int64
	// Quotas is the part of this instance in the quotas of client accounts, nil for none.
	Quotas *Quotas
	Log    *zap.Logger

	origins originSender

	readerTimeout time.Duration // of NearbyReader, 0 for the default

	mu              sync.Mutex
	wake            chan struct{}
	exchange        exchange
	members         []*peerv1.Member
	viewAt          time.Time // when the conductor last responded
	version         uint64    // of the newest view
	responseNumber  uint64    // number of the conductor's last response
	viewFrom        string    // incarnation of the conductor that sent the newest view
	isConductorLost bool
	defaultsFrom    string                    // incarnation of the conductor that sent the default versions; used by Run alone
	respondedAt     map[string]time.Time      // last response of each member to a probe
	views           map[string]registrar.View // by upstream, from the conductor
	ids             map[uint32]string         // of upstreams, by their numbers in the view
}

// ReportNow sends the next report at once.
func (c *Client) ReportNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportNowLocked()
}

func (c *Client) reportNowLocked() {
	select {
	case c.wakeupLocked() <- struct{}{}:
	default:
	}
}

func (c *Client) wakeup() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wakeupLocked()
}

func (c *Client) wakeupLocked() chan struct{} {
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// HasConductor reports whether the conductor has responded within the last
// conductorTTL.
func (c *Client) HasConductor() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.viewAt) < conductorTTL
}

// ViewAge returns the time since the conductor's last response, 0 if there was none.
func (c *Client) ViewAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.viewAt.IsZero() {
		return 0
	}
	return time.Since(c.viewAt)
}

// Members returns the live instances: those in the newest view or, while no
// conductor responds, those of them that respond to probes of this instance.
func (c *Client) Members() []*peerv1.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.viewAt) < conductorTTL {
		return c.members
	}
	var out []*peerv1.Member
	for _, m := range c.members {
		if m.GetInstance() == c.Self.GetInstance() || time.Since(c.respondedAt[m.GetInstance()]) < memberTTL {
			out = append(out, m)
		}
	}
	return out
}

// Sharers returns the instances that share the limits and the room of upstreams. These are the live ones; right after
// the last response of the conductor, when no instance has been probed yet, they are those of its last view. An
// instance that took itself for the only one would take the share of all.
func (c *Client) Sharers() []*peerv1.Member {
	c.mu.Lock()
	if time.Since(c.viewAt) < conductorTTL+firstProbeTime {
		defer c.mu.Unlock()
		return c.members
	}
	c.mu.Unlock()
	return c.Members()
}

// Run reports and watches until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.runReports(ctx) })
	wg.Go(func() { c.runWatch(ctx) })
	wg.Go(func() { c.runProbes(ctx) })
	wg.Wait()
}

func (c *Client) runReports(ctx context.Context) {
	tick := time.NewTicker(maxReportInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		c.mu.Lock()
		c.exchange.reports.begun++
		c.mu.Unlock()
		c.sendReport(ctx)
		c.mu.Lock()
		c.exchange.reports.done = c.exchange.reports.begun
		c.exchange.notify()
		c.mu.Unlock()
		sleeper.Sleep(ctx, minReportInterval) // coalesces wake-ups that come close together
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-c.wakeup():
		}
	}
	if c.IsStopping() {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		c.sendReport(last)
	}
}

func (c *Client) sendReport(ctx context.Context) {
	claim := c.Lease.Newest()
	if claim.IsZero() || claim.IsReleased {
		return
	}
	r := c.buildReport()
	sentAt := time.Now()
	if claim.Incarnation == c.Self.GetIncarnation() {
		c.Server.ApplyReport(r, sentAt)
		c.recordContact(sentAt)
		return
	}
	losses := c.Losses.Unreported(claim.Incarnation, time.Now())
	r.Losses = encodeLosses(losses)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := peerv1.NewFleetCommandsProtobufClient("http://"+claim.Address, c.HTTP).Report(ctx, r)
	if err != nil {
		c.Log.Debug("failed to deliver the report", zap.String("conductor", claim.Holder), logger.Error(err))
		return
	}
	if resp.GetIsConductor() {
		c.recordContact(sentAt)
	}
	if resp.GetIsConductor() && c.Losses.RecordReported(claim.Incarnation, losses) {
		c.ReportNow()
	}
}

// recordContact records that the holder of the lease has a report that was sent at a time.
func (c *Client) recordContact(sentAt time.Time) {
	if c.Defaults != nil {
		c.Defaults.RecordContact(sentAt)
	}
}

// buildReport returns the report of this instance.
func (c *Client) buildReport() *peerv1.ReportRequest {
	demands, _ := c.Queue.Demands()
	r := &peerv1.ReportRequest{Member: c.member()}
	for _, u := range demands {
		x := &peerv1.CopyUse{
			Service: u.Service, Model: u.Model, Adapter: u.Adapter, Arrived: uint32(u.Arrived),
			Waiting: uint32(u.Waiting), ObjectiveMs: uint32(max(0, u.Objective.Milliseconds())), Software: u.Software,
		}
		for id, n := range u.Running {
			x.Runs = append(x.Runs, &peerv1.CopyRun{Upstream: id, Running: uint32(n)})
		}
		r.Uses = append(r.Uses, x)
	}
	var outcomes []queuer.OutcomeCounts
	switch {
	case c.Links.IsCut():
		c.Queue.Outcomes() // dropped: failures of the links, not of the upstreams
	case !c.Links.IsDoubtful():
		outcomes = c.Queue.Outcomes()
	}
	for _, o := range outcomes {
		r.Outcomes = append(r.Outcomes, &peerv1.Outcomes{
			Upstream: o.Upstream, Born: o.StartedAtMs, Attempts: uint32(o.Attempts), Failures: uint32(o.Failures),
		})
	}
	r.Appointment = c.Quotas.held()
	r.Leaving = encodeLeaving(c.Upstreams.Leaving())
	r.Limits = encodeLimits(c.Upstreams.Limits(time.Now()))
	r.Brittle = encodeBrittle(c.Upstreams.Brittle(time.Now()))
	r.Restarts = encodeRestarts(c.Upstreams.Restarts(false, time.Now()))
	if c.Settled != nil {
		r.Settled = encodeSettled(c.Settled(time.Now()))
	}
	return r
}

func (c *Client) member() *peerv1.Member {
	return &peerv1.Member{
		Instance: c.Self.GetInstance(), Incarnation: c.Self.GetIncarnation(), DataCentre: c.Self.GetDataCentre(),
		PeerAddress: c.Self.GetPeerAddress(), CallerAddress: c.Self.GetCallerAddress(), IsStopping: c.IsStopping(),
		IsCutOff: c.Links.IsCut(), KnowsAccounts: true, FollowsDefaults: c.Defaults != nil,
	}
}

func (c *Client) runWatch(ctx context.Context) {
	for ctx.Err() == nil {
		c.Server.endSweepsWithoutLease()
		claim := c.Lease.Newest()
		switch {
		case claim.IsZero() || claim.IsReleased:
			sleeper.Sleep(ctx, retryDelay)
		case claim.Incarnation == c.Self.GetIncarnation():
			c.applyOwnView()
			sleeper.Sleep(ctx, retryDelay)
		default:
			if !c.watchOnce(ctx, claim) {
				sleeper.Sleep(ctx, retryDelay)
			}
		}
	}
}

// applyOwnView applies the view of this instance's own server, if this instance is
// the conductor.
func (c *Client) applyOwnView() {
	if !c.Server.IsHolder() {
		return
	}
	now := time.Now()
	c.Server.mu.Lock()
	c.Server.sweepLocked(now)
	c.Server.mu.Unlock()
	v := c.Server.View(c.Self.GetInstance(), 0, now)
	c.Quotas.applyLenders(v)
	c.applyView(v, now)
}

// watchOnce makes one watch call to the conductor and applies the view that it
// returns. It reports false if the call failed or its receiver is not the conductor.
func (c *Client) watchOnce(ctx context.Context, claim leaser.Claim) bool {
	c.mu.Lock()
	version, responseNumber, viewFrom := c.version, c.responseNumber, c.viewFrom
	c.mu.Unlock()
	wctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	sentAt := clocker.SinceStart()
	v, err := peerv1.NewFleetQueriesProtobufClient("http://"+claim.Address, c.HTTP).Watch(wctx, &peerv1.WatchRequest{
		Instance: c.Self.GetInstance(), Incarnation: viewFrom, Version: version, Answer: responseNumber, WaitMs: uint32(watchWait.Milliseconds()),
	})
	if err == nil && v.GetIncarnation() != claim.Incarnation {
		// Another incarnation serves at the holder's address, so the holder has ended.
		c.Lease.RecordProcessEnded(claim.Incarnation)
	}
	ok := err == nil && v.GetIsConductor()
	c.mu.Lock()
	wasLost := c.isConductorLost
	c.isConductorLost = !ok
	c.mu.Unlock()
	if wasLost == ok {
		c.logConductorChange(claim, ok, err)
	}
	if !ok {
		return false
	}
	if v.GetIncarnation() == claim.Incarnation {
		claim.Position = sequencer.FromToken(v.GetToken())
		c.Lease.Observe(claim)
	}
	c.Quotas.applyLenders(v)
	c.Quotas.acceptAppointment(v, sentAt)
	c.applyView(v, time.Now())
	return true
}

func (c *Client) logConductorChange(claim leaser.Claim, ok bool, err error) {
	if ok {
		c.Log.Info("conductor regained", zap.String("conductor", claim.Holder), zap.Int64("token", claim.Token()))
		return
	}
	c.Log.Warn("conductor lost", zap.String("conductor", claim.Holder), zap.Int64("token", claim.Token()), logger.Error(err))
}

// updateMembers returns the members with changed ones replaced or added, and removed
// ones left out.
func updateMembers(members, changed []*peerv1.Member, removed []string) []*peerv1.Member {
	isReplaced := make(map[string]bool, len(changed)+len(removed))
	for _, m := range changed {
		isReplaced[m.GetInstance()] = true
	}
	for _, name := range removed {
		isReplaced[name] = true
	}
	out := make([]*peerv1.Member, 0, len(members)+len(changed))
	for _, m := range members {
		if !isReplaced[m.GetInstance()] {
			out = append(out, m)
		}
	}
	return append(out, changed...)
}

// applyView applies a whole view, or the changes since an earlier response.
func (c *Client) applyView(v *peerv1.WatchResponse, now time.Time) {
	c.mu.Lock()
	isNew := c.version != v.GetVersion() || c.viewFrom != v.GetIncarnation() || len(v.GetRuns()) > 0
	c.viewAt, c.version, c.responseNumber, c.viewFrom = now, v.GetVersion(), v.GetAnswer(), v.GetIncarnation()
	if v.GetBase() == 0 {
		c.views, c.ids = make(map[string]registrar.View, len(v.GetUpstreams())), make(map[uint32]string, len(v.GetUpstreams()))
	}
	if v.GetBase() == 0 {
		c.members = v.GetMembers()
	} else if len(v.GetMembers())+len(v.GetRemovedMembers()) > 0 {
		c.members = updateMembers(c.members, v.GetMembers(), v.GetRemovedMembers())
	}
	views := make([]registrar.View, 0, len(v.GetUpstreams())+len(v.GetRuns()))
	for _, u := range v.GetUpstreams() {
		views = append(views, decodeView(u))
		c.ids[u.GetNumber()] = u.GetId()
	}
	for _, r := range v.GetRuns() {
		id := r.GetUpstream() // from a conductor that gives no numbers
		if id == "" {
			id = c.ids[r.GetNumber()]
		}
		if x, ok := c.views[id]; ok {
			x.Running = int(r.GetRunning())
			views = append(views, x)
		}
	}
	for _, x := range views {
		c.views[x.ID] = x
	}
	c.mu.Unlock()
	c.applyDefaults(v, now)
	if isNew {
		c.Upstreams.ApplyViews(views, now)
	}
	for _, l := range v.GetLeaving() {
		c.Upstreams.RecordLeaving(l.GetUpstream(), l.GetBorn(), now)
	}
	c.Upstreams.MergeLimits(decodeLimits(v.GetLimits()), now)
	c.Upstreams.MergeBrittle(decodeBrittle(v.GetBrittle()), now)
	c.Upstreams.MergeRestarts(decodeRestarts(v.GetRestarts()), now)
	if len(v.GetLosses()) > 0 {
		c.Losses.MergeView(v.GetIncarnation(), decodeLosses(v.GetLosses(), c.Log), now)
	}
}
