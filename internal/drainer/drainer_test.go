package drainer

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/keyring"
	"github.com/primrosedrift/primrosedrift/internal/standin/certifier"
)

// server is a server with a handler that states the end of the connection once it stops.
type server struct {
	*http.Server
	Drainer
	ln         net.Listener
	served     chan struct{} // closed when Serve has returned
	isStopping atomic.Bool
	numActive  atomic.Int64 // requests that were read
}

// track is Track, and counts the requests.
func (s *server) track(c net.Conn, state http.ConnState) {
	if state == http.StateActive {
		defer s.numActive.Add(1)
	}
	s.Track(c, state)
}

func (s *server) drain(ctx context.Context) error {
	s.isStopping.Store(true)
	return s.Drain(ctx, s.Server, s.ln, s.served)
}

func newServer(t *testing.T, handle http.HandlerFunc) *server {
	return newServerBehind(t, func(ln net.Listener) net.Listener { return ln }, handle)
}

// newServerBehind is newServer with a listener around the one that is drained.
func newServerBehind(t *testing.T, wrap func(net.Listener) net.Listener, handle http.HandlerFunc) *server {
	s := &server{served: make(chan struct{})}
	var lc net.ListenConfig
	lc.SetMultipathTCP(false)
	ln, err := lc.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.ln = ln
	s.Server = &http.Server{ConnState: s.track, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isStopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handle(w, r)
	})}
	go func() {
		defer close(s.served)
		_ = s.Serve(wrap(ln))
	}()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// caller sends requests on one connection after the other.
type caller struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
	counted countedReader
	// numAnswered is the number of requests that the connection has carried.
	numAnswered int
}

// errRefused is returned if no connection was opened, so that nothing was sent.
var errRefused = errors.New("connection refused")

// callError says how far a call came that got no whole response.
type callError struct {
	step string // that failed
	// isNew says that the connection was opened for this request, numAnswered how many requests
	// it had carried before, and received how many bytes of the response came.
	isNew       bool
	numAnswered int
	received    int64
	took        time.Duration
	cause       error
}

// wasSent reports whether a connection was open, so that the request may have been read.
func (e *callError) wasSent() bool { return e.step != stepDial }

func (e *callError) Error() string {
	if !e.wasSent() {
		return fmt.Sprintf("no connection, nothing was sent: the dial failed after %v: %v", e.took, e.cause)
	}
	return fmt.Sprintf("a request was cut off: %s failed after %v and %d bytes (new connection: %v, answered on it: %d): %v",
		e.step, e.took, e.received, e.isNew, e.numAnswered, e.cause)
}

const stepDial, stepWrite, stepHead, stepBody = "dial", "write", "head", "body"

func (c *caller) call(ctx context.Context) error {
	began := time.Now()
	isNew := c.conn == nil
	fail := func(step string, err error) error {
		return &callError{step: step, isNew: isNew, numAnswered: c.numAnswered, received: c.counted.n, took: time.Since(began), cause: err}
	}
	if isNew {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", c.address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return errRefused
		}
		if err != nil {
			return fail(stepDial, err)
		}
		c.open(conn)
	}
	c.counted.n = 0
	if _, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return fail(stepWrite, err)
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return fail(stepHead, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fail(stepBody, err)
	}
	c.numAnswered++
	if resp.Close {
		c.end()
	}
	return nil
}

// countedReader counts the bytes that are read.
type countedReader struct {
	r io.Reader
	n int64
}

func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

func (c *caller) open(conn net.Conn) {
	c.conn, c.counted, c.numAnswered = conn, countedReader{r: conn}, 0
	c.r = bufio.NewReader(&c.counted)
}

func (c *caller) end() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// TestStopUnderLoadAnswersAllRequests guards against requests that were accepted right before or
// during a stop, on new or kept connections, and are cut off without an answer.
func TestStopUnderLoadAnswersAllRequests(t *testing.T) {
	const numCallers, numStops = 16, 3
	for range numStops {
		s := newServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		var wg sync.WaitGroup
		var numAnswered, numRefused atomic.Int64
		for n := range numCallers {
			wg.Go(func() {
				c := caller{address: s.ln.Addr().String()}
				defer c.end()
				for {
					err := c.call(ctx)
					if errors.Is(err, errRefused) {
						numRefused.Add(1)
						return
					}
					if err != nil {
						t.Error(err)
						return
					}
					numAnswered.Add(1)
					if n%2 == 0 {
						c.end() // the next request uses a new connection
					}
				}
			})
		}
		require.Eventually(t, func() bool { return numAnswered.Load() > 1000 }, time.Minute, time.Millisecond)
		require.NoError(t, s.drain(ctx))
		wg.Wait()
		require.EqualValues(t, numCallers, numRefused.Load())
		cancel()
	}
}

// TestRequestThatArrivesInPartsIsAnswered guards against closing a connection whose request has
// begun to arrive: the server shows such a connection as idle or new.
func TestRequestThatArrivesInPartsIsAnswered(t *testing.T) {
	files, err := certifier.Write(t.TempDir())
	require.NoError(t, err)
	keys := &keyring.Keyring{Files: files}
	for name, tt := range map[string]struct{ isKept, hasTLS bool }{
		"new connection": {}, "kept connection": {isKept: true},
		"new connection with TLS": {hasTLS: true}, "kept connection with TLS": {isKept: true, hasTLS: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServerBehind(t, func(ln net.Listener) net.Listener {
				if tt.hasTLS {
					return tls.NewListener(ln, keys.Server())
				}
				return ln
			}, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
			s.Quiet = 200 * time.Millisecond
			c := caller{address: s.ln.Addr().String()}
			defer c.end()
			dial := (&net.Dialer{}).DialContext
			if tt.hasTLS {
				dial = keys.Dial
			}
			conn, err := dial(t.Context(), "tcp4", c.address)
			require.NoError(t, err)
			c.open(conn)
			if tt.isKept {
				require.NoError(t, c.call(t.Context()))
			}
			done := make(chan error, 1)
			go func() { done <- s.drain(t.Context()) }()
			for _, part := range []string{"GET / HT", "TP/1.1\r\nHo", "st: h\r\n\r", "\n"} {
				time.Sleep(s.Quiet / 2) // the time between the parts is what is tested
				_, err := io.WriteString(c.conn, part)
				require.NoError(t, err)
			}
			resp, err := http.ReadResponse(c.r, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.NoError(t, <-done)
		})
	}
}

// TestDrainEndsWithItsContext guards against a stop that waits for a request without end.
func TestDrainEndsWithItsContext(t *testing.T) {
	began := make(chan struct{})
	s := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
	})
	c := caller{address: s.ln.Addr().String()}
	defer c.end()
	go func() { _ = c.call(t.Context()) }()
	<-began
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, s.drain(ctx), context.DeadlineExceeded)
}

// TestPipelinedRequestIsNotHalfAnswered guards against a reset that destroys a response, because
// another request has arrived behind the one that it answers. The response says that the
// connection closes, so the client knows that the other request was not read.
func TestPipelinedRequestIsNotHalfAnswered(t *testing.T) {
	var numServed atomic.Int64
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		numServed.Add(1)
		_, _ = io.WriteString(w, "x")
	})
	conn, err := net.Dial("tcp4", s.ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	s.isStopping.Store(true)
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(conn, request+request)
	require.NoError(t, err)
	require.NoError(t, s.drain(t.Context()))
	out, err := io.ReadAll(conn)
	require.NoError(t, err, "closed, not reset")
	require.Contains(t, string(out), "Connection: close")
	require.EqualValues(t, 1, numServed.Load())
}

// TestRequestThatCrossesTheCloseIsNotHandled guards against a request that arrives on a quiet connection when
// the drainer has decided to close it, is passed on, and gets no answer.
func TestRequestThatCrossesTheCloseIsNotHandled(t *testing.T) {
	const numConns = 20
	var numHandled atomic.Int64
	closed := make(chan struct{})
	s := newServer(t, func(http.ResponseWriter, *http.Request) {
		if numHandled.Add(1) > numConns {
			<-closed
		}
	})
	s.Quiet = time.Millisecond
	var callers []*caller
	for range numConns {
		c := &caller{address: s.ln.Addr().String()}
		defer c.end()
		require.NoError(t, c.call(t.Context()))
		callers = append(callers, c)
	}
	hasCrossed := false
	s.beforeClose = func() {
		for _, c := range callers {
			if !hasCrossed {
				_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				require.NoError(t, err)
			}
		}
		hasCrossed = true
		for s.numActive.Load() < 2*numConns {
			require.NoError(t, t.Context().Err())
		}
	}
	release := sync.OnceFunc(func() { close(closed) })
	s.sleep = func() {
		if hasCrossed {
			release()
		}
		time.Sleep(s.Quiet)
	}
	require.NoError(t, s.drain(t.Context()))
	numAnswered := 0
	for _, c := range callers {
		if _, err := http.ReadResponse(c.r, nil); err == nil {
			numAnswered++
		}
	}
	require.True(t, hasCrossed)
	require.EqualValues(t, numAnswered, numHandled.Load()-numConns, "each request that is handled is answered")
}

// heldListener holds connections back until hold is closed, before or after the kernel gives them out.
type heldListener struct {
	net.Listener
	hold          chan struct{}
	afterAccept   bool
	hasConnection chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	if !l.afterAccept {
		<-l.hold
	}
	c, err := l.Listener.Accept()
	if err == nil && l.afterAccept {
		close(l.hasConnection)
		<-l.hold
	}
	return c, err
}

// TestDrainWaitsForAServerThatIsLateToAccept guards against a stop that resets a connection, because
// the process is short of processor time and accepts it later than the handshakes take.
func TestDrainWaitsForAServerThatIsLateToAccept(t *testing.T) {
	for name, afterAccept := range map[string]bool{"waits in the kernel": false, "accepted and not tracked": true} {
		t.Run(name, func(t *testing.T) {
			l := &heldListener{hold: make(chan struct{}), afterAccept: afterAccept, hasConnection: make(chan struct{})}
			var numServed atomic.Int64
			s := newServerBehind(t, func(ln net.Listener) net.Listener { l.Listener = ln; return l }, func(http.ResponseWriter, *http.Request) { numServed.Add(1) })
			release := sync.OnceFunc(func() { close(l.hold) })
			numWaits := 0
			s.sleep = func() {
				time.Sleep(handshakeTime)
				if numWaits++; numWaits == 3 {
					release()
				}
			}
			c := caller{address: s.ln.Addr().String()}
			defer c.end()
			answered := make(chan error, 1)
			conn, err := net.Dial("tcp4", c.address)
			require.NoError(t, err)
			c.open(conn)
			go func() { answered <- c.call(t.Context()) }()
			if afterAccept {
				<-l.hasConnection
				s.sleep = nil
			}
			time.AfterFunc(10*handshakeTime, release) // at the latest
			require.NoError(t, s.drain(t.Context()))
			require.EqualValues(t, 1, numServed.Load())
			require.NoError(t, <-answered)
		})
	}
}
