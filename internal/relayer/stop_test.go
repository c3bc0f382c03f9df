package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/stopper"
)

// beginStop begins a stop that answers what runs after some time.
func (g *fixture) beginStop(answerAfter time.Duration) {
	now := time.Now()
	g.Stop.Begin(stopper.Schedule{Signaled: now, Refuse: now.Add(answerAfter), Answer: now.Add(answerAfter), Close: now.Add(2 * answerAfter)})
}

func newStopFixture(t *testing.T, ups ...*upstream) *fixture {
	g := newFixture(t, ups...)
	g.Stop = &stopper.Stop{}
	return g
}

var stopPaths = []string{"/once/", "/again/", "/stream/", "/resumable/"}

// TestRequestThatOutlastsTheStopIsNotSent guards against requests that are passed on during a stop although
// they are not expected to end before it. The deadline of the client counts where nothing is measured.
func TestRequestThatOutlastsTheStopIsNotSent(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		return response(r, 200, stamped, event(1)), false
	})
	for _, path := range stopPaths {
		t.Run(path, func(t *testing.T) {
			g := newStopFixture(t, up)
			before := up.count()
			g.beginStop(2 * time.Second) // the deadline is 5 s
			resp, _ := g.do(g.request("POST", path, ""))
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Equal(t, before, up.count())

			for range 10 {
				for _, route := range []string{"once", "again", "stream", "resumable"} {
					g.Stop.Record(route, time.Millisecond)
				}
			}
			g.beginStop(time.Minute)
			resp, _ = g.do(g.request("POST", path, ""))
			require.Equal(t, http.StatusOK, resp.StatusCode, "it is measured, and ends in time")
		})
	}
}

// TestFailedAttemptIsNotRepeatedLateInAStop guards against a request that is sent again when it can no
// longer end before the stop. Its status says whether it may have run.
func TestFailedAttemptIsNotRepeatedLateInAStop(t *testing.T) {
	tests := map[string]struct {
		respond func(r *http.Request) (string, bool)
		status  int
	}{
		"may have run": {func(*http.Request) (string, bool) { return "", true }, http.StatusBadGateway},
		"not run":      {func(r *http.Request) (string, bool) { return response(r, 503, notRun, ""), false }, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var g *fixture
			respond := func(_ int, r *http.Request, _ string) (string, bool) {
				g.beginStop(time.Second)
				return tt.respond(r)
			}
			a, b := newUpstream(t, respond), newUpstream(t, respond)
			g = newStopFixture(t, a, b)
			for range 100 {
				g.RetryBudgets.Of("s").Deposit()
			}
			resp, _ := g.do(g.request("POST", "/again/", ""))
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, 1, a.count()+b.count())
		})
	}
}

// TestStreamThatBreaksLateInAStopIsCut guards against a stream that goes on at another upstream when the stop
// would cut it again, while its client could take it up elsewhere.
func TestStreamThatBreaksLateInAStopIsCut(t *testing.T) {
	var g *fixture
	respond := func(_ int, r *http.Request, _ string) (string, bool) {
		g.beginStop(time.Second)
		return streamHead(r) + chunk(event(1)) + chunk("id: 2\nda"), true
	}
	a, b := newUpstream(t, respond), newUpstream(t, respond)
	g = newStopFixture(t, a, b)
	resp, body := g.do(g.request("POST", "/resumable/", ""))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, event(1)+"!unexpected EOF", body)
	require.Equal(t, 1, a.count()+b.count())
}

// TestPeerThatStopsLeavesTheRequestToAnother guards against a request that is refused to its client because
// the peer to which it was handed on stops.
func TestPeerThatStopsLeavesTheRequestToAnother(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, "x"), false })
	g := newStopFixture(t, up)
	g.beginStop(time.Second)
	r := g.request("POST", "/once/", "")
	r.Header.Set(HeaderHandedOn, "1")
	resp, _ := g.do(r)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get(headerCutOff))
	require.Zero(t, up.count())
}

// TestRequestAtTheEndOfAStopIsAnswered guards against a request that runs when the time of a stop is over,
// and is taken for one whose client has left.
func TestRequestAtTheEndOfAStopIsAnswered(t *testing.T) {
	for _, path := range stopPaths {
		t.Run(path, func(t *testing.T) {
			var g *fixture
			up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
				g.beginStop(time.Second)
				g.Stop.End()
				return responseHead(r, 200, stamped+"Content-Length: 10\r\n\r\n"), false // no body
			})
			g = newStopFixture(t, up)
			resp, _ := g.do(g.request("POST", path, ""))
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			require.Equal(t, 1, up.count())
		})
	}
}

// TestRequestAtAPeerAtTheEndOfAStopIsAnswered guards against a request that is cut because the instance
// that has handed it on stops while the peer runs it.
func TestRequestAtAPeerAtTheEndOfAStopIsAnswered(t *testing.T) {
	var g *fixture
	peer := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		g.Stop.End()
		return responseHead(r, 200, stamped+"Content-Length: 10\r\n\r\n"), false // no body
	})
	g, up := newCutFixture(t, peer)
	g.Stop = &stopper.Stop{}
	resp, _ := g.do(g.request("POST", "/once/", ""))
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, 1, peer.count())
	require.Zero(t, up.count())
}

// TestRequestThatCrossesACloseIsAnsweredIfItIsPassedOn guards against a request from a kept connection that
// reaches an upstream and gets no answer, because the instance closes the connection at that moment.
func TestRequestThatCrossesACloseIsAnsweredIfItIsPassedOn(t *testing.T) {
	const numConns, perConn = 8, 15
	const idle = 5 * time.Millisecond
	tests := map[string]struct {
		change func(g *fixture, s *httptest.Server)
		// pause is the time between two requests of a connection, headPause that within a head, and
		// numAtOnce how many are sent at once.
		pause     time.Duration
		numAtOnce int
		bodyBytes int // of the first one
		headPause time.Duration
	}{
		"idle for too long":    {func(_ *fixture, s *httptest.Server) { s.Config.IdleTimeout = idle }, idle, 1, 1, 0},
		"headers for too long": {func(_ *fixture, s *httptest.Server) { s.Config.ReadHeaderTimeout = idle }, 0, 1, 1, idle},
		"stop":                 {func(g *fixture, _ *httptest.Server) { g.IsStopping = func() bool { return true } }, 0, 2, 1, 0},
		"body over the limit":  {func(*fixture, *httptest.Server) {}, 0, 2, 1<<20 + 1, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, "x"), false })
			g := newFixture(t, up)
			s := httptest.NewUnstartedServer(g.Relayer)
			s.Config.ConnContext = WithClientConn
			tt.change(g, s)
			s.Start()
			defer s.Close()
			var numAnswered, numClosed atomic.Int64
			var wg sync.WaitGroup
			for c := range numConns {
				wg.Go(func() {
					var conn net.Conn
					var in *bufio.Reader
					for n := range perConn {
						if conn == nil {
							var err error
							if conn, err = net.Dial("tcp4", s.Listener.Addr().String()); err != nil {
								t.Error(err)
								return
							}
							in = bufio.NewReader(conn)
						}
						body := strings.Repeat("x", tt.bodyBytes)
						var out strings.Builder
						for k := range tt.numAtOnce {
							fmt.Fprintf(&out, "POST /once/ HTTP/1.1\r\nHost: h.example\r\n%s: %d-%d-%d\r\nContent-Length: %d\r\n\r\n%s", hID, c, n, k, len(body), body)
							body = "x"
						}
						first := min(len("POST /"), out.Len())
						_, _ = io.WriteString(conn, out.String()[:first]) // fails if the connection is closed
						time.Sleep(tt.headPause)                          // the rest is to cross the end of the time for headers
						_, _ = io.WriteString(conn, out.String()[first:])
						for range tt.numAtOnce {
							resp, err := http.ReadResponse(in, nil)
							if err == nil {
								_, err = io.Copy(io.Discard, resp.Body)
							}
							if err != nil {
								numClosed.Add(1)
								_ = conn.Close()
								conn = nil
								break
							}
							if resp.StatusCode == http.StatusOK {
								numAnswered.Add(1)
							}
						}
						time.Sleep(tt.pause) // the requests are to cross the end of the idle time
					}
					if conn != nil {
						_ = conn.Close()
					}
				})
			}
			wg.Wait()
			require.Positive(t, numClosed.Load())
			require.EqualValues(t, up.count(), numAnswered.Load())
		})
	}
}
