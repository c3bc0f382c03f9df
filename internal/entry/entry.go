// Package entry wires up the components of an entry instance and runs them. The
// instance serves this project's own caller API; package assembler wires up the
// instances that relay opaque HTTP requests instead.
//
// All entry instances have the same role: each serves callers, operators and
// peers, reads the log, and may hold control shards. An instance stores nothing
// durable; a new process rebuilds its state from the log.
package entry

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/checkpointer"
	"github.com/primrosedrift/primrosedrift/internal/controller"
	"github.com/primrosedrift/primrosedrift/internal/dispatcher"
	"github.com/primrosedrift/primrosedrift/internal/explainer"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	"github.com/primrosedrift/primrosedrift/internal/monitor"
	"github.com/primrosedrift/primrosedrift/internal/orderer"
	"github.com/primrosedrift/primrosedrift/internal/quarantiner"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/retrier"
	"github.com/primrosedrift/primrosedrift/internal/settings"
	"github.com/primrosedrift/primrosedrift/internal/sharer"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
	"github.com/primrosedrift/primrosedrift/internal/tailer"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// maxLogSilence is how long the log may send nothing before the instance assumes
// that no record can be agreed on.
const maxLogSilence = 2 * time.Second

// componentStopTimeout is how long the components may take to stop after the
// last request.
const componentStopTimeout = 10 * time.Second

// maxIdleConnsPerHost is the maximum number of idle connections kept to each
// upstream or peer.
const maxIdleConnsPerHost = 512

// Entry is one entry instance.
type Entry struct {
	Settings    settings.Settings
	Incarnation string
	Log         *zap.Logger

	keeper     keeper.Keeper
	recorder   *recorder.Recorder
	tailer     *tailer.Tailer
	watcher    *watcher.Watcher
	monitor    *monitor.Monitor
	tallier    *tallier.Tallier
	orderer    *orderer.Orderer
	controller *controller.Controller
	dispatcher *dispatcher.Dispatcher
	sharer     *sharer.Sharer
	forwarder  forwarder
	explainer  *explainer.Explainer
	membership explainer.Membership
	burn       *burnCounter
	checkpoint *checkpointer.Writer
	metrics    *metrics
	halt       stopper.Stop
	pauses     stopper.Pauses
}

// New returns an entry instance. Run starts it.
func New(s settings.Settings, log *zap.Logger) *Entry {
	e := &Entry{Settings: s, Incarnation: recorder.NewID(), Log: log, metrics: newMetrics()}
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost, MaxIdleConns: math.MaxInt16, IdleConnTimeout: 90 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}).DialContext,
	}}
	e.wirePlatform(client)
	e.wireControl(client)
	e.dispatcher = &dispatcher.Dispatcher{
		Instance: s.Instance, Incarnation: e.Incarnation, DataCentre: s.DataCentre,
		Keeper: &e.keeper, Recorder: e.recorder, Monitor: e.monitor, Tallier: e.tallier,
		Attempter: &attempter.Attempter{HTTP: client}, RetryBudget: &retrier.Budget{}, Quarantiner: &quarantiner.Quarantiner{},
		Log: log.Named("dispatcher"), IsLogAvailable: e.isLogAvailable, HasProcessEnded: e.watcher.HasProcessEnded,
		Stop: &e.halt,
	}
	e.dispatcher.Admitter.Table.MaxWaiting = s.Limits.QueuedRequests
	e.forwarder = forwarder{HTTP: tlsClient(client, s.TLS.Caller), Scheme: scheme(s.TLS.Caller)}
	e.wireShares(platformv1connect.NewLogQueriesClient(client, s.Platform.Log))
	e.recorder.OnAbandonedRead = e.dispatcher.FreeKey
	e.explainer = &explainer.Explainer{}
	e.membership = explainer.Membership{Explainer: e.explainer, Instance: s.Instance}
	e.keeper.Subscribe(e.recorder.OnEvents)
	e.keeper.Subscribe(e.dispatcher.OnEvents)
	e.keeper.Subscribe(e.explainer.OnEvents)
	e.burn = newBurnCounter(&e.keeper, e.Incarnation)
	e.keeper.Subscribe(e.burn.OnEvents)
	e.wireCheckpoints()
	e.keeper.Subscribe(e.checkpoint.OnEvents)
	return e
}

// wirePlatform creates the components that use the platform's log and instance
// list.
func (e *Entry) wirePlatform(client *http.Client) {
	logCommands := platformv1connect.NewLogCommandsClient(client, e.Settings.Platform.Log)
	e.recorder = &recorder.Recorder{
		Incarnation: e.Incarnation, MaxPending: e.Settings.Limits.PendingRecords, OnAppend: e.metrics.onAppend, RulesVersion: e.keeper.RulesVersion,
		Append: func(ctx context.Context, payload []byte) error {
			_, err := logCommands.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{Payload: payload}))
			return errors.Wrap(err, "append")
		},
	}
	tailerLog := e.Log.Named("tailer")
	e.tailer = &tailer.Tailer{
		Log: platformv1connect.NewLogQueriesClient(client, e.Settings.Platform.Log), Keeper: &e.keeper,
		OnError: func(err error) { tailerLog.Warn("log stream ended", zap.Error(err)) },
	}
	watcherLog := e.Log.Named("watcher")
	e.watcher = &watcher.Watcher{
		Self: watcher.Member{
			Name: e.Settings.Instance, Incarnation: e.Incarnation, DataCentre: e.Settings.DataCentre,
			Address: e.Settings.Listen.Peer, CallerAddress: e.Settings.Listen.Caller,
		},
		List: platformv1connect.NewInstanceListQueriesClient(client, e.Settings.Platform.InstanceList),
		HTTP: tlsClient(client, e.Settings.TLS.Peer), PeerScheme: scheme(e.Settings.TLS.Peer),
		OnStatus: func(st *peerv1.StatusResponse) { e.monitor.RecordPeerLeaving(st.GetLeavingUpstreams()) },
		OnChange: func(ms []watcher.Member) {
			watcherLog.Info("membership changed", zap.Int("members", len(ms)))
			e.membership.Update(explainerMembers(ms))
			e.controller.Wake()
		},
	}
}

// wireControl creates the components that plan placements and send orders to
// upstreams.
func (e *Entry) wireControl(client *http.Client) {
	e.monitor = &monitor.Monitor{HTTP: client, Upstreams: e.upstreams, ListedInstance: e.watcher.ListedInstance}
	e.tallier = &tallier.Tallier{
		Instance: e.Settings.Instance, Holder: tallier.HolderOf(e.keeper.View),
		Send: e.sendDemand, OnDemandChange: func() { e.controller.Wake() },
	}
	ordererLog := e.Log.Named("orderer")
	e.orderer = &orderer.Orderer{
		HTTP:       client,
		MaySend:    func(t orderer.Task) bool { return controller.MaySend(e.keeper.View, t) },
		Submit:     e.recorder.Submit,
		NextOffset: e.keeper.NextOffset,
		OnResult: func(t orderer.Task, err error) {
			ordererLog.Info("order sent", zap.Stringer("action", t.Order.GetAction()), zap.String("replica", t.Order.GetReplica()),
				zap.String("model", t.Order.GetModel()), zap.Error(err))
		},
	}
	e.controller = &controller.Controller{
		Instance: e.Settings.Instance, Incarnation: e.Incarnation, Keeper: &e.keeper, Recorder: e.recorder,
		Membership: controller.MembershipOf(e.watcher), Monitor: e.monitor, Tallier: e.tallier, Orderer: e.orderer,
		Log: e.Log.Named("controller"), IsReady: e.tailer.HasCaughtUp,
		KeepWarm: e.Settings.Timing.KeepWarm.Duration, TakeoverAfter: e.Settings.Timing.TakeoverAfter.Duration,
		SendEvict: e.sendEvict,
	}
	e.controller.Init()
}

func (e *Entry) sendEvict(ctx context.Context, holder string, req *peerv1.EvictRequest) (bool, error) {
	m, ok := e.watcher.Member(holder)
	if !ok {
		return false, errors.Newf("%q is not a known member", holder)
	}
	resp, err := e.watcher.Commands(m).Evict(ctx, req)
	return resp.GetAccepted(), errors.Wrap(err, "evict")
}

// isLogAvailable reports whether the log is available for agreement on new
// records, as far as this instance knows.
func (e *Entry) isLogAvailable() bool {
	return e.tailer.HasCaughtUp() && !e.keeper.IsHalted() && time.Since(e.tailer.LastMessageAt()) < maxLogSilence && !e.recorder.IsLogUnavailable()
}

// upstreams returns the upstreams of the configuration in force. The messages are
// never modified in place.
func (e *Entry) upstreams() map[string]*recordv1.Upstream {
	out := make(map[string]*recordv1.Upstream)
	e.keeper.View(func(s *applier.State) {
		for k, v := range s.Config.Upstreams {
			out[k] = v
		}
	})
	return out
}

func (e *Entry) sendDemand(ctx context.Context, holder string, req *peerv1.WantRequest) error {
	m, ok := e.watcher.Member(holder)
	if !ok {
		return errors.Newf("%q is not a known member", holder)
	}
	resp, err := e.watcher.Commands(m).Want(ctx, req)
	if err != nil {
		return errors.Wrap(err, "want")
	}
	if !resp.GetHolds() {
		return errors.Newf("%q does not hold the shard", holder)
	}
	return nil
}

// Run runs the instance until ctx ends, then shuts it down gracefully. Locate no
// longer returns the instance, but it keeps serving for as long as callers may
// cache an older response. It releases its shards, and stops when its requests
// have ended. A request that cannot end in time is refused or answered, see package stopper.
func (e *Entry) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	all, err := e.listen()
	if err != nil {
		return err
	}
	var components sync.WaitGroup
	for _, run := range []func(context.Context){
		e.recorder.Run, e.tailer.Run, e.watcher.Run, e.monitor.Run, e.tallier.Run, e.controller.Run,
		e.checkpoint.Run, e.sharer.Run, e.pauses.Run,
	} {
		components.Go(func() { run(work) })
	}
	e.Log.Info("serving", zap.String("caller", e.Settings.Listen.Caller), zap.String("incarnation", e.Incarnation))
	<-ctx.Done()
	e.stop(all)
	cancel()
	return e.awaitComponents(&components)
}

// awaitComponents waits until the components have stopped. The wait is bounded,
// so that a component that hangs does not keep the process from exiting.
func (e *Entry) awaitComponents(components *sync.WaitGroup) error {
	done := make(chan struct{})
	go func() {
		components.Wait()
		close(done)
	}()
	select {
	case <-done:
		e.Log.Info("stopped")
		return nil
	case <-time.After(componentStopTimeout):
		return errors.Newf("components still running %s after shutdown", componentStopTimeout)
	}
}
