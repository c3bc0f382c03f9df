package drainer

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Server is an HTTP server that can be closed without cutting off requests.
type Server struct {
	*http.Server
	Drainer
	listener net.Listener
	served   chan struct{} // closed when Serve has returned
}

// Start serves the connections of ln, a listener of TCP without Multipath TCP. If wrap is not nil,
// they are those of the listener that it returns, which must close ln and whose connections must
// have a method NetConn. onError is called with an error that ends the server.
func Start(s *http.Server, ln net.Listener, wrap func(net.Listener) net.Listener, onError func(error)) *Server {
	d := &Server{Server: s, listener: ln, served: make(chan struct{})}
	s.ConnState = d.Track
	if wrap != nil {
		ln = wrap(ln)
	}
	go func() {
		defer close(d.served)
		if err := s.Serve(ln); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			onError(err)
		}
	}()
	return d
}

// DrainUntil closes the server without cutting off requests, until ctx ends. See Drainer.Drain.
func (s *Server) DrainUntil(ctx context.Context) error {
	return s.Drain(ctx, s.Server, s.listener, s.served)
}
