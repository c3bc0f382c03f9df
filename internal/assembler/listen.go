package assembler

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than clients keep an idle connection, so that they
	// close it and no request crosses our close.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// callerUserTimeout is how long bytes to a caller may stay unacknowledged.
	callerUserTimeout = 4 * time.Second
	// servingOn is how long a stopping instance takes new requests: callers use
	// an address for some time after it is not named any more.
	servingOn = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace the process ends.
	stopMargin = 700 * time.Millisecond
)

type metrics struct {
	dials prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{dials: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "primrosedrift_upstream_connections_total", Help: "New connections to upstreams.",
	})}
	r.MustRegister(m.dials)
	return m
}

func (a *Assembler) peers() http.Handler {
	mux := http.NewServeMux()
	commands := peerv1.NewFleetCommandsServer(a.server)
	queries := peerv1.NewFleetQueriesServer(a.server)
	mux.Handle(commands.PathPrefix(), commands)
	mux.Handle(queries.PathPrefix(), queries)
	return mux
}

func (a *Assembler) debug() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{}))
	return mux
}

// listen starts the servers. Handlers at one address are an error.
func (a *Assembler) listen() ([]*http.Server, error) {
	lc := net.ListenConfig{Control: courier.Control(callerUserTimeout), KeepAlive: -1}
	errorLog, err := zap.NewStdLogAt(a.Log.Named("http"), zap.DebugLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	var servers []*http.Server
	for address, h := range a.handlers() {
		ln, err := lc.Listen(context.Background(), "tcp4", address)
		if err != nil {
			for _, s := range servers {
				_ = s.Close() // the first error is reported
			}
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		s := &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: errorLog,
		}
		go func() {
			if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				a.Log.Error("server ended", zap.String("address", address), logger.Error(err))
			}
		}()
		if address == a.Listen.Caller {
			servers = append([]*http.Server{s}, servers...)
		} else {
			servers = append(servers, s)
		}
	}
	return servers, nil
}

// stop takes the instance out of use, finishes what it serves, and closes the
// servers, that of the callers first.
func (a *Assembler) stop(ctx context.Context, servers []*http.Server) error {
	began := time.Now()
	a.leaving.Store(true)
	a.Log.Info("instance stops", zap.Duration("grace", a.Grace))
	a.client.Wake()
	sleeper.Sleep(ctx, min(servingOn, a.Grace/3))
	a.closed.Store(true)
	a.queue.Close()
	dctx, cancel := context.WithDeadline(ctx, began.Add(a.Grace-stopMargin))
	defer cancel()
	err := servers[0].Shutdown(dctx)
	if err != nil {
		a.Log.Warn("requests cut off by the stop", logger.Error(err))
	}
	// The next run of this instance may give orders at once, others only later.
	a.lease.Release(ctx)
	for _, s := range servers {
		_ = s.Close() // nothing that matters is under way there
	}
	return nil
}
