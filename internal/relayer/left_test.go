package relayer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"
)

// newConnPair returns both ends of a TCP connection.
func newConnPair(t *testing.T) (server, client *net.TCPConn) {
	listen, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listen.Close()
	c, err := net.Dial("tcp4", listen.Addr().String())
	require.NoError(t, err)
	s, err := listen.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = s.Close()
	})
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// TestIsClosedByPeer guards against a client that counts as present after it closed its connection.
func TestIsClosedByPeer(t *testing.T) {
	for name, tt := range map[string]struct {
		end  func(c *net.TCPConn) error
		sent string
		want bool
	}{
		"open":                    {},
		"open, next request":      {sent: "GET"},
		"closed":                  {end: (*net.TCPConn).Close, want: true},
		"closed, next request":    {end: (*net.TCPConn).Close, sent: "GET", want: true},
		"half closed":             {end: (*net.TCPConn).CloseWrite, want: true},
		"reset":                   {end: reset, want: true},
		"reset after the request": {end: reset, sent: "GET", want: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, c := newConnPair(t)
			_, err := c.Write([]byte(tt.sent))
			require.NoError(t, err)
			require.False(t, isClosedByPeer(s))
			if tt.end != nil {
				require.NoError(t, tt.end(c))
			}
			if tt.want {
				require.Eventually(t, func() bool { return isClosedByPeer(s) }, 10*time.Second, time.Millisecond)
			}
			require.Equal(t, tt.want, isClosedByPeer(s))
		})
	}
	require.False(t, isClosedByPeer(nil))
}

// TestCloseAgeCountsFromTheClose guards against an instance that notices closes late and cannot show it:
// the age must not count from when the close was noticed.
func TestCloseAgeCountsFromTheClose(t *testing.T) {
	s, c := newConnPair(t)
	require.Negative(t, closeAge(s), "open")
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return closeAge(s) >= 50*time.Millisecond }, 10*time.Second, time.Millisecond)
	s, c = newConnPair(t)
	require.NoError(t, reset(c))
	require.Eventually(t, func() bool { return isClosedByPeer(s) }, 10*time.Second, time.Millisecond)
	require.Negative(t, closeAge(s), "reset")
	require.Negative(t, closeAge(nil))
}

func reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}

// TestEndOfARequestStatesWhenItsClientLeft guards against log lines from which it cannot be told
// whether a request was sent before or after its client left.
func TestEndOfARequestStatesWhenItsClientLeft(t *testing.T) {
	c := &call{Relayer: &Relayer{Metrics: NewMetrics(prometheus.NewRegistry())}, arrived: time.Now()}
	require.NoError(t, c.checkPresence(t.Context(), hopUpstream))
	require.Len(t, c.presenceFields(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer c.watchClient(ctx)()
	cancel()
	require.Eventually(t, func() bool { return len(c.presenceFields()) == 2 }, 10*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, time.Duration(c.presence.leftAfter.Load()), c.presence.sentAfter)
}

// gatedListener holds back new connections until it is opened, as a process does that is short of
// processor time.
type gatedListener struct {
	net.Listener
	opened chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.opened
	return l.Listener.Accept()
}

// serveGated starts a server of the relayer that knows the connections of its clients and accepts
// none until open is called.
func (g *fixture) serveGated() (address string, open func()) {
	g.t.Helper()
	return g.serveOn(WithClientConn)
}

// serveOn is serveGated with another function that adds the connection of the client.
func (g *fixture) serveOn(connContext func(context.Context, net.Conn) context.Context) (address string, open func()) {
	listen, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(g.t, err)
	opened := make(chan struct{})
	s := httptest.NewUnstartedServer(g.Relayer)
	s.Listener = gatedListener{listen, opened}
	s.Config.ConnContext = connContext
	s.Start()
	g.t.Cleanup(s.Close)
	return listen.Addr().String(), func() { close(opened) }
}

// send writes a request for the route that may be repeated on a new connection, with headers that
// each end with a line break.
func (g *fixture) send(address, id string, headers ...string) *net.TCPConn {
	c, err := net.Dial("tcp4", address)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "GET /again/ HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s\r\n", hID, id, strings.Join(headers, ""))
	require.NoError(g.t, err)
	return c.(*net.TCPConn)
}

// TestRequestsOfClientsThatLeftBeforeTheyWereReadAreNotSent guards against requests that reach an
// upstream although their clients closed the connection before the instance read them.
func TestRequestsOfClientsThatLeftBeforeTheyWereReadAreNotSent(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as deployed
	const clients, numUpstreams = 100, 20
	var ups []*upstream
	for range numUpstreams {
		ups = append(ups, newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, ""), false }))
	}
	g := newFixture(t, ups...)
	address, open := g.serveGated()
	for _, u := range ups { // leave an idle connection to each upstream
		for u.count() == 0 {
			g.do(g.request("POST", "/again/", "x"))
		}
	}
	before := countAll(ups)
	core, ended := observer.New(zap.InfoLevel)
	g.Log = zap.New(core)
	for i := range clients {
		require.NoError(t, g.send(address, fmt.Sprintf("left%d", i)).Close())
	}
	open()
	require.Eventually(t, func() bool { return ended.FilterMessage("request ended").Len() == clients }, 10*time.Second, time.Millisecond)
	require.Zero(t, countAll(ups)-before)
}

func countAll(ups []*upstream) (n int) {
	for _, u := range ups {
		n += u.count()
	}
	return n
}

// TestRequestOfAClientThatLeftWhileItWaitedIsNotSent guards against requests that wait for a slot and
// are sent although their clients have left. The client has sent its next request, behind which
// net/http does not see the end of the connection.
func TestRequestOfAClientThatLeftWhileItWaitedIsNotSent(t *testing.T) {
	isReleased := make(chan struct{})
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		<-isReleased
		return response(r, 200, stamped, ""), false
	})
	g := newFixture(t, up)
	core, lines := observer.New(zap.InfoLevel)
	g.Log = zap.New(core)
	address, open := g.serveGated()
	open()
	numSent := g.fill(address, up)
	c := g.send(address, "left")
	require.Eventually(t, func() bool { _, waiting := g.Queue.Demands(); return waiting == 2 }, 10*time.Second, time.Millisecond)
	_, err := c.Write([]byte("GET /again/ HTTP/1.1\r\n"))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	close(isReleased)
	require.Eventually(t, func() bool { return lines.FilterMessage("request ended").Len() == numSent+1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, numSent, up.count())
}

// fill sends requests until one waits for a slot, and returns how many it has sent.
func (g *fixture) fill(address string, up *upstream) (numSent int) {
	for !g.isWaiting() {
		g.send(address, fmt.Sprintf("r%d", numSent))
		numSent++
		require.Eventually(g.t, func() bool { return up.count() == numSent || g.isWaiting() }, 10*time.Second, time.Millisecond)
	}
	return numSent
}

func (g *fixture) isWaiting() bool {
	_, waiting := g.Queue.Demands()
	return waiting > 0
}

// TestRequestIsNotSentIfItsPeerIsNotReachable guards against requests that were handed on and wait, and
// are sent although the instance that handed them on has canceled them or is gone: its reset is lost.
func TestRequestIsNotSentIfItsPeerIsNotReachable(t *testing.T) {
	isReleased := make(chan struct{})
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		<-isReleased
		return response(r, 200, stamped, ""), false
	})
	g := newFixture(t, up)
	core, lines := observer.New(zap.InfoLevel)
	g.Log = zap.New(core)
	var mu sync.Mutex
	var last *net.TCPConn
	address, open := g.serveOn(func(ctx context.Context, c net.Conn) context.Context {
		mu.Lock()
		defer mu.Unlock()
		last = c.(*net.TCPConn)
		return WithClientConn(ctx, c)
	})
	open()
	numSent := g.fill(address, up)
	peer := g.send(address, "canceled", HeaderHandedOn+": 2\r\n", "Connection: "+headerProgress+"\r\n", headerProgress+": 1\r\n")
	require.Eventually(t, func() bool { _, waiting := g.Queue.Demands(); return waiting == 2 }, 10*time.Second, time.Millisecond)
	mu.Lock()
	conn := last
	mu.Unlock()
	dropsAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	control(conn, func(fd int) {
		require.NoError(t, unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropsAll[0]}))
	})
	require.NoError(t, reset(peer))
	ended := func() []observer.LoggedEntry {
		return lines.FilterMessage("request ended").FilterField(zap.String("request", "canceled")).All()
	}
	require.Eventually(t, func() bool { return len(ended()) == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, "left", ended()[0].ContextMap()["outcome"], "not refused at its deadline")
	close(isReleased)
	require.Eventually(t, func() bool { return lines.FilterMessage("request ended").Len() == numSent+1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, numSent, up.count())
}

// TestHandedOnRequestWaitsLongAtAPeer guards against a response of a peer that is lost among the
// informational ones before it.
func TestHandedOnRequestWaitsLongAtAPeer(t *testing.T) {
	peer := newUpstream(t, answerWith(func(r *http.Request) string {
		if r.Header.Get(headerProgress) == "" {
			return response(r, 500, stamped, "")
		}
		return strings.Repeat(progressResponse, 50) + response(r, 200, stamped, "whole")
	}))
	g, _ := newCutFixture(t, peer)
	resp, body := g.do(g.request("POST", "/once/", "x"))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "whole", body)
}

// TestClientThatHalfClosesGetsNoEmptySuccess guards against an empty response with status 200 to a
// client that has closed its half of the connection and still reads.
func TestClientThatHalfClosesGetsNoEmptySuccess(t *testing.T) {
	isReleased := make(chan struct{})
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		<-isReleased
		return response(r, 200, stamped, "whole"), false
	})
	g := newFixture(t, up)
	defer close(isReleased)
	address, open := g.serveGated()
	open()
	c := g.send(address, "half")
	require.Eventually(t, func() bool { return up.count() == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, c.CloseWrite())
	got, _ := io.ReadAll(c) // the connection may be reset
	require.Empty(t, string(got))
}
