package assembler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/drainer"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/relayer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
	"github.com/primrosedrift/primrosedrift/internal/syncer"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// readHeaderTimeout bounds how long reading a request's headers may take.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than clients keep an idle connection. The client then
	// closes it first, and no request arrives while the server closes it.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// callerUserTimeout is the TCP user timeout of connections from clients: how
	// long sent data may stay unacknowledged.
	callerUserTimeout = 4 * time.Second
	// peerUserTimeout is the TCP user timeout of connections to peers that serve requests in
	// place of this instance.
	peerUserTimeout = time.Second
	// otherDrainTime is how long requests on the servers that are not for callers may run on.
	otherDrainTime = 100 * time.Millisecond
	// originsTime bounds how long a stop waits, after the last request, until other instances know the
	// origins of streams.
	originsTime = 500 * time.Millisecond
	// handedOnInterval is the time between two checks for running requests of peers.
	handedOnInterval = 10 * time.Millisecond
)

type metrics struct {
	dials prometheus.Counter
	// refusedConfigs counts configurations that were refused as a whole.
	refusedConfigs prometheus.Counter
	// staleConfig is 1 while the known configuration is too old to check keys.
	staleConfig prometheus.Gauge
	restarts    *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "primrosedrift_upstream_connections_total", Help: "New connections to upstreams.",
		}),
		refusedConfigs: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "primrosedrift_refused_configurations_total", Help: "Configurations that were refused as a whole.",
		}),
		staleConfig: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "primrosedrift_stale_configuration", Help: "1 while the known configuration is too old to check keys.",
		}),
		restarts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrosedrift_upstream_restarts_total", Help: "Findings about upstreams whose process has restarted without a new registration.",
		}, []string{"certainty"}),
	}
	r.MustRegister(m.dials, m.refusedConfigs, m.staleConfig, m.restarts)
	return m
}

func (a *Assembler) peerHandler() http.Handler {
	mux := http.NewServeMux()
	commands := peerv1.NewFleetCommandsServer(a.server)
	queries := peerv1.NewFleetQueriesServer(a.server)
	mux.Handle(commands.PathPrefix(), commands)
	mux.Handle(queries.PathPrefix(), queries)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(relayer.HeaderHandedOn) != "" {
			a.numHandedOn.Add(1)
			defer a.numHandedOn.Add(-1)
			a.relayer.ServeHTTP(w, r) // not through mux, which changes paths
			return
		}
		mux.ServeHTTP(w, r)
	})
	return http.MaxBytesHandler(h, syncer.MaxMessageBytes)
}

func (a *Assembler) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{}))
	return mux
}

// listen starts the HTTP servers. The one for callers is first in the result.
// The listen addresses must be distinct.
func (a *Assembler) listen() ([]*drainer.Server, error) {
	errorLog, err := zap.NewStdLogAt(a.Log.Named("http"), zap.DebugLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	var servers []*drainer.Server
	for address, h := range a.handlers() {
		socketBytes := 0
		if address == a.Listen.Caller {
			socketBytes = relayer.ClientSocketBytes
		}
		lc := net.ListenConfig{Control: courier.SocketControl(callerUserTimeout, socketBytes), KeepAlive: -1}
		lc.SetMultipathTCP(false) // such sockets take no filter, which draining them needs
		ln, err := lc.Listen(context.Background(), "tcp4", address)
		if err != nil {
			for _, s := range servers {
				_ = s.Close() // the first error is reported
			}
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		s := drainer.Start(&http.Server{
			Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog,
			ConnContext: relayer.WithClientConn,
		}, ln, nil, func(err error) {
			a.Log.Error("HTTP server failed", zap.String("address", address), logger.Error(err))
		})
		if address == a.Listen.Caller {
			servers = append([]*drainer.Server{s}, servers...)
		} else {
			servers = append(servers, s)
		}
	}
	return servers, nil
}

// stop shuts the instance down gracefully: it removes the instance from the
// directory, finishes the running requests, and closes the servers, the callers'
// server first.
func (a *Assembler) stop(ctx context.Context, servers []*drainer.Server) error {
	late := a.pauses.Late(clocker.SinceStart())
	plan := stopper.Plan(time.Now(), late, a.StopGrace)
	a.isStopping.Store(true)
	a.halt.Begin(plan)
	a.Log.Info("instance stops", zap.Duration("grace", a.StopGrace), zap.Duration("late", late), zap.Duration("until-refuse", time.Until(plan.Refuse)),
		zap.Duration("until-answer", time.Until(plan.Answer)), zap.Duration("until-close", time.Until(plan.Close)))
	a.queue.RefuseForStop(func(r queuer.Request) bool { return plan.Fit(r.Takes, time.Now(), r.Deadline).Fits })
	a.streams.BeginStop()
	a.client.ReportNow()
	sleeper.Sleep(ctx, time.Until(plan.Refuse))
	a.isClosed.Store(true)
	a.queue.Close()
	shutdownCtx, cancel := a.halt.EndInTime(ctx)
	defer cancel()
	if err := servers[0].DrainUntil(shutdownCtx); err != nil {
		a.Log.Warn("graceful shutdown incomplete", logger.Error(err))
	}
	for a.numHandedOn.Load() > 0 && shutdownCtx.Err() == nil {
		sleeper.Sleep(shutdownCtx, handedOnInterval)
	}
	if n := a.numHandedOn.Load(); n > 0 {
		a.Log.Warn("requests of peers are cut off", zap.Int64("requests", n))
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		// After the release, the next incarnation of this instance may send orders at
		// once. Other instances may do so only later.
		releaseCtx, cancelRelease := context.WithDeadline(ctx, plan.Exit)
		defer cancelRelease()
		a.lease.Release(releaseCtx)
	})
	wg.Go(func() {
		originsCtx, cancelOrigins := context.WithTimeout(ctx, min(originsTime, time.Until(plan.Exit)))
		defer cancelOrigins()
		a.streams.EndStop(originsCtx)
	})
	// Short requests on the other servers are answered. What peers wait for is cut off.
	othersCtx, cancelOthers := context.WithTimeout(ctx, otherDrainTime)
	defer cancelOthers()
	for _, s := range servers[1:] {
		wg.Go(func() { _ = s.DrainUntil(othersCtx) })
	}
	wg.Wait()
	return nil
}
