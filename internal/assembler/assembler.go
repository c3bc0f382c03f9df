package assembler

import (
	"context"
	cryptorand "crypto/rand"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/archiver"
	"github.com/primrosedrift/primrosedrift/internal/conductor"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/follower"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/linkwatcher"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/refresher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/relayer"
	"github.com/primrosedrift/primrosedrift/internal/retrier"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
	"github.com/primrosedrift/primrosedrift/internal/syncer"
	"github.com/primrosedrift/primrosedrift/internal/trier"
	"github.com/primrosedrift/primrosedrift/internal/verifier"
	"github.com/primrosedrift/primrosedrift/internal/versioner"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// registrationGrace is how long registrations that vanished during an outage
	// of the platform are kept after it recovers. Live upstreams register again
	// within about two seconds.
	registrationGrace = 2200 * time.Millisecond
	// leaseDuration is how long a holder may send orders after its last renewal.
	// A shorter lease lets another instance take over sooner. A longer lease
	// survives longer outages of the platform and a restart of the holder, which
	// can then send orders again at once.
	leaseDuration = 8 * time.Second
	// leaseExpiryMargin is how long before expiry the holder stops relying on
	// the lease.
	leaseExpiryMargin = 700 * time.Millisecond
	// leaseRenewAge is the age at which a claim is renewed.
	leaseRenewAge = 2400 * time.Millisecond
	// minConductorCores is the processor time, in cores, below which an instance leaves
	// the lease to others for smallInstanceClaimDelay: planning for a hundred upstreams
	// and serving the view to two hundred instances take about a tenth of a core.
	minConductorCores       = 0.25
	smallInstanceClaimDelay = 900 * time.Millisecond
	// inFlightOrderMargin is added to the minimum time between the orders of two
	// holders, because orders of the former holder may still be in flight.
	inFlightOrderMargin = 500 * time.Millisecond
	// softMemoryLimitFraction is the fraction of the process's memory limit that is
	// set as the soft memory limit of the Go runtime. Above it, the garbage
	// collector runs more often.
	softMemoryLimitFraction = 0.6
	// bufferMemoryFraction is the fraction of the process's memory limit that responses
	// which are not forwarded yet and bodies of requests may hold, bytes in sockets included.
	bufferMemoryFraction = 0.1
	// usedReserveFraction is the fraction of the shared retry reserve that is
	// divided among the instances, and usedRetryFraction the fraction of the
	// shared retry ratio that each instance uses. The rest is headroom while
	// instances start and stop.
	usedReserveFraction = 0.6
	usedRetryFraction   = 0.8
	// minReserveMembers is the number of instances that the retry reserve is
	// divided by while fewer are known.
	minReserveMembers = 6
	// sweepInterval is the interval at which idle connections and expired
	// registrations are removed.
	sweepInterval = 200 * time.Millisecond
	// staleReadMargin is added to the maximum wait or interval of a topic's reads.
	// The sum is the age above which records that a peer has read count as stale. For
	// registrations the margin is at least 1/staleDrainShare of the time within which a
	// leaving upstream must get no more requests: a reader whose read was delayed once
	// is not worth a read by each instance of its data centre.
	staleReadMargin = 250 * time.Millisecond
	staleDrainShare = 8
	// maxAddressTTL bounds how long callers cache an address.
	maxAddressTTL = 2 * time.Second
)

// Topic names in requests between instances.
const (
	topicConfig    = "configs"
	topicUpstreams = "upstreams"
)

// Assembler wires up one entry instance and runs it. Run must be called only
// once.
type Assembler struct {
	Deployment
	Log *zap.Logger

	config     atomic.Pointer[matcher.Config]
	isStopping atomic.Bool // the shutdown has started; new requests are accepted until isClosed
	isClosed   atomic.Bool // new requests are rejected
	halt       stopper.Stop
	pauses     stopper.Pauses

	numHandedOn atomic.Int64 // requests of peers that run here

	registry           *prometheus.Registry
	upstreamTable      *registrar.Table
	pool               *courier.Pool
	queue              *queuer.Queue
	losses             *losstracker.Tracker
	poisonSaver        *losstracker.Saver
	trier              *trier.Trier
	streams            *streamtracker.Keeper
	links              *linkwatcher.Watcher
	refresher          *refresher.Refresher
	softwareSaver      *streamtracker.Saver
	originSender       *archiver.Sender
	originWriter       *archiver.Writer
	localOrigins       *archiver.LocalWriter
	defaults           *versioner.Follower
	defaultsMaintainer *versioner.Maintainer
	settler            *streamtracker.Settler
	era                atomic.Int64 // newest known era of the platform's log
	retryBudgets       *retrier.Budgets
	relayer            *relayer.Relayer
	conductor          *conductor.Conductor
	lease              *leaser.Lease
	client             *syncer.Client
	server             *syncer.Server
	quotas             *syncer.Quotas
	configFollower     *follower.Follower
	upstreamFollower   *follower.Follower
	metrics            *metrics
}

// New returns an instance for a deployment. It does not start it.
func New(d Deployment, log *zap.Logger) *Assembler {
	a := &Assembler{Deployment: d, Log: log, registry: prometheus.NewRegistry()}
	a.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	a.metrics = newMetrics(a.registry)
	self := &peerv1.Member{
		Instance: d.Instance, Incarnation: newIncarnation(d.Instance, time.Now(), cryptorand.Reader), DataCentre: d.DataCentre,
		PeerAddress: d.Listen.Peer, CallerAddress: d.Listen.Caller, FollowsDefaults: true,
	}
	a.wireStreams()
	a.wireLinks()
	a.wireRequests()
	a.wireOrders(self)
	a.wireSettler()
	a.wireQuotas(self)
	a.wireFollowers()
	return a
}

// minTrialDelay and trialDelaySpread are how much later than the holder of the lease the other instances
// claim trials of refused contents. Hundreds of them may get requests with one.
const (
	minTrialDelay    = time.Second
	trialDelaySpread = 4 * time.Second
)

// newIncarnation returns the name of a run of the instance's process. It contains the
// name of the instance, because instances that start at the same moment may draw the
// same random numbers.
func newIncarnation(instance string, startedAt time.Time, entropy io.Reader) string {
	return instance + "/" + ulid.MustNew(ulid.Timestamp(startedAt), entropy).String()
}

// wireRequests creates the components that serve requests.
func (a *Assembler) wireRequests() {
	a.losses = &losstracker.Tracker{RegistrationDelay: a.MaxDrainDelay}
	a.upstreamTable = &registrar.Table{RemovalGrace: registrationGrace, OnIncarnationEnd: func(u *registrar.Upstream, why string) {
		a.Log.Info("upstream ended", zap.String("upstream", u.ID), zap.Int64("born", u.StartedAtMs), zap.String("why", why))
		a.losses.RecordEnd(u.Incarnation(), time.Now())
		a.pool.CloseIdle(u.Address)
	}}
	a.upstreamTable.OnLeaving = func(i registrar.Incarnation) {
		a.Log.Info("upstream leaves", zap.String("upstream", i.ID), zap.Int64("born", i.StartedAtMs), zap.String("why", "a response says so"))
		a.server.NotifyLeaving()
		a.client.ReportNow()
		if a.lease.IsHolder() {
			a.conductor.Wake()
		}
	}
	a.upstreamTable.OnLimit = func(i registrar.Incarnation, isLimited bool, rate float64) {
		a.Log.Info("upstream limits its requests", zap.String("upstream", i.ID), zap.Int64("born", i.StartedAtMs), zap.Bool("limited", isLimited), zap.Float64("rate", rate))
		a.server.NotifyLimits()
		a.client.ReportNow()
		if a.lease.IsHolder() {
			a.conductor.Wake()
		}
	}
	a.upstreamTable.OnRestart = a.passRestartOn
	a.upstreamTable.OnBrittle = func(service string) {
		a.Log.Warn("upstreams are brittle", zap.String("service", service))
		a.server.NotifyBrittle()
		a.client.ReportNow()
	}
	a.pool = &courier.Pool{IDHeader: a.Codec.IDHeader, SocketBytes: relayer.UpstreamSocketBytes, OnDial: func(address string, took time.Duration, err error) {
		a.metrics.dials.Inc()
		a.links.Record(address, err, time.Now())
		if err != nil {
			a.Log.Info("connection to upstream failed", zap.String("address", address), zap.Duration("took", took), logger.Error(err))
		}
	}}
	a.queue = &queuer.Queue{Upstreams: a.upstreamTable, Config: a.config.Load, OnDemandChange: func() { a.client.ReportNow() }, HasConductor: func() bool { return a.client.HasConductor() }, LinksCut: a.links.Cut}
	a.queue.ConductorSilence = func() time.Duration { return a.client.ViewAge() }
	a.queue.Table.DataCentre, a.queue.Table.IsBrittle = a.DataCentre, a.upstreamTable.IsBrittle
	a.retryBudgets = &retrier.Budgets{Ratio: usedRetryFraction * a.RetryRatio, Reserve: usedReserveFraction * a.RetryReserve / minReserveMembers, StartsEmpty: true}
	a.trier = &trier.Trier{Store: a.TrialStore, Log: a.Log.Named("trier"), Metrics: trier.NewMetrics(a.registry)}
	a.losses.OnTrialsOver = a.trier.Reset
	remote := a.NewRemote(a.pool)
	a.relayer = &relayer.Relayer{
		Verifier: &verifier.Verifier{Upstreams: a.upstreamTable, Log: a.Log.Named("verifier"), Metrics: verifier.NewMetrics(a.registry), StartOf: func(ctx context.Context, u *registrar.Upstream) (int64, error) {
			s, err := remote.State(ctx, u)
			a.upstreamTable.ApplyNotice(u.ID, u.StartedAtMs, s.Notice, time.Now())
			return s.StartedAtMs, err
		}},
		Codec: a.Codec, Config: a.config.Load, Upstreams: a.upstreamTable, Queue: a.queue, Pool: a.pool, RetryBudgets: a.retryBudgets,
		Losses: a.losses, Streams: a.streams, Links: a.links, Peers: a.peersToHandOn, PeerOf: a.peerNamed,
		PeerPool: &courier.Pool{IDHeader: a.Codec.IDHeader, UserTimeout: peerUserTimeout}, Log: a.Log.Named("relayer"), Metrics: relayer.NewMetrics(a.registry),
		MayTry:     func() bool { return a.lease.IsHolder() },
		ClaimTrial: a.trier.Claim, TrialDelay: minTrialDelay + rand.N(trialDelaySpread),
		ViewAge:        func() time.Duration { return a.client.ViewAge() },
		ExchangeLosses: func(ctx context.Context, isSuspect bool) { a.client.ExchangeLosses(ctx, isSuspect) },
		IsStopping:     a.isStopping.Load, IsClosed: a.isClosed.Load, Stop: &a.halt,
	}
	a.wireAccounts()
	a.relayer.Buffers.MaxBytes = int64(bufferMemoryFraction * float64(a.MemoryBytes))
	a.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "primrosedrift_held_bytes", Help: "Bytes that are held for clients and upstreams that read slowly."},
			func() float64 { return float64(a.relayer.Buffers.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "primrosedrift_held_bytes_limit", Help: "Bound of the bytes that are held."},
			func() float64 { return float64(a.relayer.Buffers.Limit()) }),
	)
	a.losses.OnChange = func(l losstracker.Loss, change losstracker.Change, known int) {
		a.relayer.Metrics.RecordLoss(change)
		a.Log.Named("losstracker").Info("loss "+string(change), zap.String("content", losstracker.FormatFingerprint(l.Fingerprint)), zap.String("upstream", l.Incarnation.ID),
			zap.Int64("born", l.Incarnation.StartedAtMs), zap.Bool("ended", l.IsConfirmed), zap.Int("round", l.Round), zap.Int("known", known))
		switch {
		case change == losstracker.Withdrawn:
		case change != losstracker.Learned:
			a.client.NotifyLoss(known >= losstracker.SharedThreshold)
		case known >= losstracker.SharedThreshold && !a.client.HasConductor():
			// An instance may not be able to call all others, so those that learn of a loss pass it on.
			a.client.NotifyLoss(true)
		}
	}
}

// wireOrders creates the components that elect the conductor, send orders to
// upstreams, and exchange state between instances.
func (a *Assembler) wireOrders(self *peerv1.Member) {
	a.lease = &leaser.Lease{
		Store:        a.LeaseStore,
		Self:         leaser.Claim{Holder: self.GetInstance(), Incarnation: self.GetIncarnation(), Address: self.GetPeerAddress()},
		HasConductor: func() bool { return a.client.HasConductor() },
		IsUnsuited:   a.links.IsCut,
		Log:          a.Log.Named("leaser"),
		Times:        leaser.Timing{LeaseDuration: leaseDuration, HandoverGap: a.MinOrderGap + inFlightOrderMargin, ExpiryMargin: leaseExpiryMargin, RenewAfter: leaseRenewAge},
	}
	if a.Cores > 0 && a.Cores < minConductorCores {
		a.lease.ClaimDelay = smallInstanceClaimDelay
	}
	a.conductor = &conductor.Conductor{
		Remote: a.NewRemote(a.pool), Upstreams: a.upstreamTable, Config: a.config.Load, Token: a.lease.Token, IsHolder: a.lease.IsHolder,
		OnViews: func(views []registrar.View) {
			a.upstreamTable.ApplyViews(views, time.Now())
			a.server.NotifyViews(views)
		},
		OnRequests: func(u *registrar.Upstream, requests []string) {
			a.streams.RecordRuns(u.Service, u.Software, requests, time.Now())
		},
		Log: a.Log.Named("conductor"), Metrics: conductor.NewMetrics(a.registry),
	}
	neighbours := &syncer.Neighbours{}
	a.server = &syncer.Server{
		Self: self, Conductor: a.conductor, IsHolder: a.lease.IsHolder, Store: a.LeaseStore,
		Token: func() int64 { return a.lease.Newest().Token() }, NewestClaim: func() leaser.Claim { return a.lease.Newest() },
		Losses: a.losses, Neighbours: neighbours, Streams: a.streams, Archive: a.originWriter, Defaults: a.defaultsMaintainer.Defaults, Followed: a.defaults, Log: a.Log.Named("syncer"),
	}
	a.client = &syncer.Client{
		Self: self, HTTP: syncer.NewHTTPClient(), Lease: a.lease, Server: a.server, Queue: a.queue, Upstreams: a.upstreamTable,
		Losses: a.losses, Seeds: a.Seeds, Neighbours: neighbours, IsStopping: a.isStopping.Load, Links: a.links, Defaults: a.defaults, Log: a.Log.Named("syncer"),
	}
	a.lease.PeerStore = a.client.PeerStore()
}

// wireFollowers creates the components that follow the topics of the platform's
// log.
func (a *Assembler) wireFollowers() {
	log := a.Log.Named("follower")
	a.configFollower = &follower.Follower{
		Name: topicConfig, Topic: a.ConfigTopic, MaxWait: a.MaxApplyDelay / 2, Log: log, OnRecords: a.applyConfig,
		OnPlatformLost: func(bool) {},
		ReadNearby:     a.client.NearbyReader(topicConfig, a.MaxApplyDelay/2+staleReadMargin),
		ReadPeers: func(ctx context.Context, from sequencer.Position) (follower.Batch, error) {
			return a.client.RequestRecords(ctx, topicConfig, from)
		},
		IsOlder:       a.IsOlderConfig,
		OnEra:         func(era int64, _ bool) { a.lease.ObserveEra(era) },
		HedgesListing: true,
	}
	a.poisonSaver = &losstracker.Saver{
		Tracker: a.losses, Store: a.PoisonStore, IsHolder: a.lease.IsHolder, MaySaveForOthers: a.maySaveForOthers, After: a.configFollower.FirstRead(), Log: a.Log.Named("losstracker"),
	}
	a.upstreamFollower = &follower.Follower{
		Name: topicUpstreams, Topic: a.UpstreamTopic, MaxWait: a.MaxDrainDelay / 4, MinInterval: a.MaxDrainDelay * 2 / 5, Log: log, OnRecords: a.applyUpstreams,
		OnPlatformLost: func(away bool) {
			a.upstreamTable.SetPlatformLost(away, time.Now())
			if away {
				a.streams.ProveAll()
			}
		},
		ReadNearby: a.client.NearbyReader(topicUpstreams, a.MaxDrainDelay*2/5+max(staleReadMargin, a.MaxDrainDelay/staleDrainShare)),
		ReadPeers: func(ctx context.Context, from sequencer.Position) (follower.Batch, error) {
			return a.client.RequestRecords(ctx, topicUpstreams, from)
		},
		IsOlder: a.IsOlderRegistration,
		// No request is sent before the poison requests are known. The listing of the
		// registrations is the largest, so it is requested when the platform is known to
		// respond.
		After: a.poisonSaver.FirstLoad(),
		OnEra: func(era int64, isRestored bool) {
			a.lease.ObserveEra(era)
			a.era.Store(era)
			if isRestored {
				a.upstreamTable.RecordRestore(time.Now())
				a.losses.RecordRestore()
				a.softwareSaver.RecordRestore()
				a.originWriter.RecordRestore()
				a.originSender.Add(a.localOrigins.Saved(time.Now())...)
				a.defaultsMaintainer.RecordRestore()
			}
		},
	}
	a.server.Topics = map[string]*follower.Follower{topicConfig: a.configFollower, topicUpstreams: a.upstreamFollower}
}

// applyConfig puts the configuration in the records in force if its version is
// newer than that of the current one.
func (a *Assembler) applyConfig(records []follower.Record, _ bool) {
	cfg, err := a.DecodeConfig(records)
	if err != nil {
		a.metrics.refusedConfigs.Inc()
		a.Log.Error("configuration refused; the former one stays in force", logger.Error(err))
		return
	}
	if old := a.config.Load(); cfg == nil || old != nil && old.Version >= cfg.Version {
		return
	}
	a.config.Store(cfg)
	a.Log.Info("configuration in force", zap.Int64("version", cfg.Version), zap.Int("routes", cfg.NumRoutes()))
}

// isReady reports whether callers may be directed to this instance.
func (a *Assembler) isReady() bool {
	return a.config.Load() != nil && !a.isStopping.Load()
}

// locate returns the addresses of entry instances for a caller in a data centre
// and how long the caller may cache them.
func (a *Assembler) locate(dataCentre string) ([]string, time.Duration) {
	var instances, cutOff []locator.Instance
	hasSelf := false
	for _, m := range a.client.Members() {
		if m.GetIsStopping() {
			continue
		}
		if m.GetInstance() == a.Instance {
			hasSelf = true
			if !a.isReady() {
				continue
			}
		}
		i := locator.Instance{Address: m.GetCallerAddress(), DataCentre: m.GetDataCentre()}
		if m.GetIsCutOff() {
			cutOff = append(cutOff, i) // it serves through others
			continue
		}
		instances = append(instances, i)
	}
	if len(instances) == 0 {
		instances = cutOff
	}
	if !hasSelf && a.isReady() {
		instances = append(instances, locator.Instance{Address: a.Listen.Caller, DataCentre: a.DataCentre})
	}
	return locator.Addresses(instances, dataCentre), min(a.AddressTTL, maxAddressTTL)
}

// Run serves until ctx ends, and then shuts down gracefully.
func (a *Assembler) Run(ctx context.Context) error {
	if a.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitFraction * float64(a.MemoryBytes)))
	}
	servers, err := a.listen()
	if err != nil {
		return err
	}
	a.Log.Info("instance started", zap.String("incarnation", a.client.Self.GetIncarnation()), zap.String("data-centre", a.DataCentre))
	// The components keep running during the graceful shutdown.
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){
		a.configFollower.Run, a.upstreamFollower.Run, a.queue.Run, a.lease.Run, a.conductor.Run, a.client.Run, a.quotas.Run, a.poisonSaver.Run, a.trier.Run, a.softwareSaver.Run, a.originSender.Run, a.originWriter.Run, a.defaultsMaintainer.Run, a.settler.Run, a.links.Run, a.refresher.Run, a.sweepPeriodically, a.pauses.Run,
	} {
		wg.Go(func() { run(work) })
	}
	<-ctx.Done()
	err = a.stop(work, servers)
	end()
	wg.Wait()
	a.Log.Info("instance stopped", logger.Error(err))
	return err
}

// sweepPeriodically closes idle connections, removes expired registrations and
// adapts the retry reserve to the number of instances.
func (a *Assembler) sweepPeriodically(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			a.pool.Sweep(now)
			a.relayer.PeerPool.Sweep(now)
			a.upstreamTable.Sweep(now)
			if age, ok := a.upstreamFollower.KnownAge(); ok {
				a.upstreamTable.RecordWatch(now.Add(-age), now)
			}
			a.observeSoftware(now)
			a.streams.Tracker.Sweep(now)
			a.streams.RetryProofs(now)
			if a.losses.Tick(now) {
				a.client.ReportNow()
			}
			if a.upstreamTable.IsComplete(now) {
				a.losses.Sweep(a.upstreamTable.IsRegistered, now)
			}
			members := a.client.Sharers()
			a.queue.SetInstances(a.Instance, instanceNames(members))
			n := max(len(members), minReserveMembers)
			a.retryBudgets.SetReserve(usedReserveFraction * a.RetryReserve / float64(n))
		}
	}
}

func instanceNames(members []*peerv1.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.GetInstance())
	}
	return out
}

// handlers returns the HTTP handlers by listen address: for callers, readiness
// checks of the platform, clients of the directory, peers, and metrics.
func (a *Assembler) handlers() map[string]http.Handler {
	out := map[string]http.Handler{
		a.Listen.Caller:    a.relayer,
		a.Listen.Ready:     a.NewReadyHandler(a.isReady),
		a.Listen.Directory: a.NewDirectoryHandler(a.locate),
		a.Listen.Peer:      a.peerHandler(),
		a.Listen.Metrics:   a.metricsHandler(),
	}
	if a.Listen.Seed != "" {
		out[a.Listen.Seed] = a.peerHandler()
	}
	return out
}
