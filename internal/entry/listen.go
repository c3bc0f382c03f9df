package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/pprof"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/drainer"
	"github.com/primrosedrift/primrosedrift/internal/keyring"
	"github.com/primrosedrift/primrosedrift/pkg/api/caller/v1/callerv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/api/operator/v1/operatorv1connect"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

const (
	readHeaderTimeout = 10 * time.Second
	// keepAliveTime is the interval of TCP's probes on idle connections.
	keepAliveTime = 15 * time.Second
)

// compressMinBytes is the minimum size of a response to a caller that is
// compressed.
const compressMinBytes = 1024

// servers holds the servers of an instance: those whose requests a stop ends, and the others.
type servers struct{ ending, others []*drainer.Server }

// listen starts the HTTP servers. Callers, operators, peers and debugging each
// have their own address.
func (e *Entry) listen() (servers, error) {
	// Compressing tokens of a few bytes costs more than it saves.
	compression := connect.WithCompressMinBytes(compressMinBytes)
	callers := http.NewServeMux()
	callers.Handle(callerv1connect.NewCallerCommandsHandler(&callerCommands{e}, compression))
	callers.Handle(callerv1connect.NewCallerQueriesHandler(&callerQueries{e}, compression))
	operators := http.NewServeMux()
	operators.Handle(operatorv1connect.NewOperatorCommandsHandler(&operatorCommands{e}))
	operators.Handle(operatorv1connect.NewOperatorQueriesHandler(&operatorQueries{e}))
	peers := http.NewServeMux()
	peerCommandsServer := peerv1.NewPeerCommandsServer(&peerCommands{e})
	peerQueriesServer := peerv1.NewPeerQueriesServer(&peerQueries{e})
	peers.Handle(peerCommandsServer.PathPrefix(), peerCommandsServer)
	peers.Handle(peerQueriesServer.PathPrefix(), peerQueriesServer)

	var all servers
	for _, l := range []struct {
		address  string
		handler  http.Handler
		keys     keyring.Files
		isEnding bool
	}{
		{e.Settings.Listen.Caller, e.untilStop(callers), e.Settings.TLS.Caller, true},
		{e.Settings.Listen.Operator, e.untilStop(operators), e.Settings.TLS.Operator, true},
		{e.Settings.Listen.Peer, peers, e.Settings.TLS.Peer, false},
		{e.Settings.Listen.Debug, e.debug(), keyring.Files{}, false},
	} {
		if l.address == "" {
			continue
		}
		s, err := e.serve(l.address, l.handler, l.keys)
		if err != nil {
			for _, other := range slices.Concat(all.ending, all.others) {
				_ = other.Close()
			}
			return servers{}, err
		}
		if l.isEnding {
			all.ending = append(all.ending, s)
		} else {
			all.others = append(all.others, s)
		}
	}
	return all, nil
}

func (e *Entry) serve(address string, h http.Handler, files keyring.Files) (*drainer.Server, error) {
	keys, err := e.keyring(files)
	if err != nil {
		return nil, err
	}
	lc := net.ListenConfig{KeepAlive: keepAliveTime}
	lc.SetMultipathTCP(false) // such sockets take no filter, which draining them needs
	ln, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	var wrap func(net.Listener) net.Listener
	if keys != nil {
		wrap = func(ln net.Listener) net.Listener { return tls.NewListener(ln, keys.Server()) }
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, Protocols: &protocols}
	return drainer.Start(s, ln, wrap, func(err error) {
		e.Log.Error("HTTP server failed", zap.String("address", address), zap.Error(err))
	}), nil
}

// keyring loads the TLS keys from files. It returns nil if files is empty.
func (e *Entry) keyring(files keyring.Files) (*keyring.Keyring, error) {
	if files.IsZero() {
		return nil, nil
	}
	log := e.Log.Named("keyring")
	k := &keyring.Keyring{Files: files, OnError: func(err error) {
		log.Warn("changed TLS keys could not be loaded; keeping the previous keys", zap.Error(err))
	}}
	return k, k.Load()
}

// scheme returns the URL scheme of the addresses that are served with the keys.
func scheme(files keyring.Files) string {
	if files.IsZero() {
		return "http"
	}
	return "https"
}

// tlsClient returns the HTTP client for other instances: plain, or one that uses the
// same TLS keys as the address on which this instance serves.
func tlsClient(plain *http.Client, files keyring.Files) *http.Client {
	if files.IsZero() {
		return plain
	}
	keys := &keyring.Keyring{Files: files} // listen reports errors of these files
	return &http.Client{Transport: &http.Transport{
		DialTLSContext: keys.Dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: 90 * time.Second,
	}}
}

func (e *Entry) debug() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.tailer.HasState() || e.watcher.IsLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}
