package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/retrier"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

// upstream is a fake upstream that responds with scripted bytes.
type upstream struct {
	t      *testing.T
	listen net.Listener
	// respond returns the bytes to send to the nth request, and whether to close
	// the connection after them.
	respond func(n int, r *http.Request, body string) (out string, closeAfter bool)

	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
	ended  chan struct{} // receives a value for each connection that ended
}

func newUpstream(t *testing.T, respond func(n int, r *http.Request, body string) (string, bool)) *upstream {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{t: t, listen: ln, respond: respond, ended: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.ended <- struct{}{}
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		u.mu.Lock()
		u.seen = append(u.seen, req)
		u.bodies = append(u.bodies, string(body))
		n := len(u.seen)
		u.mu.Unlock()
		out, end := u.respond(n, req, string(body))
		if _, err := io.WriteString(c, out); err != nil || end {
			return
		}
	}
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

// Headers that testCodec uses.
const (
	hID          = "Test-Id"
	hStamp       = "Test-Stamp"
	hNotRun      = "Test-Not-Run"
	hUpstream    = "Test-Self"
	hTarget      = "Test-Only"
	hLastEventID = "Last-Event-Id"
	hTimeLeft    = "Test-Left"
	hModel       = "Test-Model"
	hSlowdown    = "Test-Slowdown"
	stamped      = hStamp + ": s\r\n"
	notRun       = hNotRun + ": 1\r\n"
)

// responseHead returns the status line and headers of a response to the request,
// without the final blank line.
func responseHead(r *http.Request, status int, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s", status, hID, r.Header.Get(hID), extra)
}

func response(r *http.Request, status int, extra, body string) string {
	return responseHead(r, status, extra) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func streamHead(r *http.Request) string {
	return responseHead(r, 200, stamped+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", id, id) }

var testCodec = Codec{
	IDHeader: hID,
	ParseRequest: func(r *http.Request) (RequestInfo, error) {
		return RequestInfo{ID: r.Header.Get(hID), Model: r.Header.Get(hModel), Deadline: 5 * time.Second, LastEventID: r.Header.Get(hLastEventID)}, nil
	},
	OutgoingHeader: func(in http.Header, a Attempt) http.Header {
		out := Forwardable(in)
		out.Set(hTarget, a.Upstream)
		out.Set(hTimeLeft, strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
		if a.LastEventID != "" {
			out.Set(hLastEventID, a.LastEventID)
		}
		return out
	},
	HandOnHeader: func(in http.Header, left time.Duration, lastEventID, resumes string) http.Header {
		out := Forwardable(in)
		out.Set(hTimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
		if lastEventID != "" {
			out.Set(hLastEventID, lastEventID)
		}
		return out
	},
	ParseResponse: func(_ int, h http.Header) ResponseInfo {
		info := ResponseInfo{NotRun: h.Get(hNotRun) != "", Upstream: h.Get(hUpstream), IsStamped: h.Get(hStamp) != ""}
		if slowdown, err := strconv.ParseFloat(h.Get(hSlowdown), 64); err == nil {
			info.HasLoad, info.Load = true, registrar.Load{Slots: 4, Slowdown: slowdown}
		}
		return info
	},
}

// fixture is a relayer with fake upstreams, whose ids are u0, u1 and so on.
type fixture struct {
	*Relayer
	t         *testing.T
	server    *httptest.Server
	client    *http.Client
	isClosing bool
}

var onceRoute = matcher.Route{Name: "once", Host: "h.example", Prefix: "/once/", Timeout: 5 * time.Second, MaxAttempts: 2, Targets: []matcher.Target{{Service: "s"}}}

func newFixture(t *testing.T, ups ...*upstream) *fixture {
	idempotent := onceRoute
	idempotent.Name, idempotent.Prefix, idempotent.Kind = "again", "/again/", matcher.Idempotent
	stream := onceRoute
	stream.Name, stream.Prefix, stream.IsStream = "stream", "/stream/", true
	resumable := stream
	resumable.Name, resumable.Prefix, resumable.IsResumable = "resumable", "/resumable/", true
	second := onceRoute
	second.Name, second.Prefix, second.MaxAttempts, second.Targets = "second", "/second/", 4, []matcher.Target{{Service: "t"}}
	paced := stream
	paced.Name, paced.Prefix, paced.Objective, paced.MaxEventGap, paced.Targets = "paced", "/paced/", time.Second, time.Millisecond, []matcher.Target{{Service: "e"}}
	cfg := matcher.New(1, []matcher.Route{onceRoute, idempotent, stream, resumable, second, paced},
		map[string]matcher.Service{"s": {Name: "s"}, "t": {Name: "t"}, "e": {Name: "e", HealthPath: "/health", Engine: &matcher.Engine{}}}, matcher.Limits{MaxBodyBytes: 1 << 20})
	g := &fixture{t: t}
	table := &registrar.Table{}
	entries := make(map[string]*registrar.Upstream)
	for i, u := range ups {
		id := fmt.Sprintf("u%d", i)
		entries[id] = &registrar.Upstream{ID: id, Address: u.listen.Addr().String(), Service: "s", Slots: 4, StartedAtMs: 1}
	}
	table.ApplyRegistrations(entries, time.Now())
	config := func() *matcher.Config { return cfg }
	g.Relayer = &Relayer{
		Codec: testCodec, Config: config, Upstreams: table,
		Queue:        &queuer.Queue{Upstreams: table, Config: config, HasConductor: func() bool { return true }},
		Pool:         &courier.Pool{IDHeader: hID},
		RetryBudgets: &retrier.Budgets{}, Losses: &losstracker.Tracker{}, Streams: &streamtracker.Keeper{Tracker: &streamtracker.Tracker{}, History: &streamtracker.History{}}, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		ViewAge:    func() time.Duration { return 0 },
		IsStopping: func() bool { return g.isClosing }, IsClosed: func() bool { return g.isClosing },
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go g.Queue.Run(ctx)
	g.server = httptest.NewServer(g.Relayer)
	t.Cleanup(g.server.Close)
	g.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	return g
}

var nextID atomic.Int64

func (g *fixture) request(method, path, body string) *http.Request {
	g.t.Helper()
	r, err := http.NewRequestWithContext(g.t.Context(), method, g.server.URL+path, strings.NewReader(body))
	require.NoError(g.t, err)
	r.Host = "h.example"

	r.Header.Set(hID, fmt.Sprintf("r%d", nextID.Add(1)))
	return r
}

// do returns the response and its body. If reading the body fails, the error
// follows the body after an exclamation mark.
func (g *fixture) do(r *http.Request) (*http.Response, string) {
	g.t.Helper()
	resp, err := g.client.Do(r)
	require.NoError(g.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, string(b) + "!" + err.Error()
	}
	return resp, string(b)
}

func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, body string) (string, bool) {
		return response(r, 201, stamped+"Other: x\r\nKeep-Alive: timeout=9\r\n", "got "+body), false
	})
	g := newFixture(t, up)
	r := g.request("POST", "/once/a%2Fb/../c//d?q=%20&q", "hello")
	r.Header.Set("Mine", "1")
	resp, body := g.do(r)
	require.Equal(t, 201, resp.StatusCode)
	require.Equal(t, "got hello", body)
	require.Equal(t, "x", resp.Header.Get("Other"))
	require.Empty(t, resp.Header.Get("Keep-Alive"))
	require.Empty(t, resp.Header.Get("Content-Type"), "Content-Type must not be detected")
	seen := up.seen[0]
	require.Equal(t, "POST", seen.Method)
	require.Equal(t, "/once/a%2Fb/../c//d?q=%20&q", seen.RequestURI)
	require.Equal(t, "h.example", seen.Host)
	require.Equal(t, "1", seen.Header.Get("Mine"))
	require.Equal(t, "u0", seen.Header.Get(hTarget))
	require.Empty(t, seen.Header.Get("Accept-Encoding"))
}

func TestNoRouteAndNoConfiguration(t *testing.T) {
	g := newFixture(t)
	resp, _ := g.do(g.request("GET", "/other/", ""))
	require.Equal(t, 404, resp.StatusCode)
	g.Config = func() *matcher.Config { return nil }
	resp, _ = g.do(g.request("GET", "/once/", ""))
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

func TestStoppingInstanceRejectsRequests(t *testing.T) {
	g := newFixture(t)
	g.isClosing = true
	resp, _ := g.do(g.request("POST", "/once/", ""))
	require.Equal(t, 503, resp.StatusCode)
	require.True(t, resp.Close)
}

// TestFailedResponses checks the status that the client receives and the number of
// attempts for each kind of failed response.
func TestFailedResponses(t *testing.T) {
	broken := func(r *http.Request) (string, bool) {
		return responseHead(r, 200, stamped+"Content-Length: 100\r\n\r\nhalf"), true
	}
	tests := map[string]struct {
		respond          func(r *http.Request) (string, bool)
		onceStatus       int // on a route of kind Once, after one attempt
		numSent          int // attempts on that route
		idempotentStatus int // on an idempotent route whose second upstream responds
	}{
		"truncated":   {broken, 502, 1, 200},
		"no response": {func(*http.Request) (string, bool) { return "", true }, 502, 1, 200},
		"no HTTP":     {func(*http.Request) (string, bool) { return "\x00\x01garbage\r\n\r\n", true }, 502, 1, 200},
		"no stamp":    {func(r *http.Request) (string, bool) { return response(r, 200, "", "x"), false }, 502, 1, 200},
		"encoded": {func(r *http.Request) (string, bool) {
			return response(r, 200, stamped+"Content-Encoding: gzip\r\n", "x"), false
		}, 502, 1, 200},
		"id of another request": {func(*http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\n" + hID + ": other\r\n" + stamped + "Content-Length: 1\r\n\r\nx", true
		}, 502, 1, 200},
		"error":            {func(r *http.Request) (string, bool) { return response(r, 500, stamped, "oops"), false }, 500, 1, 200},
		"upstream timeout": {func(r *http.Request) (string, bool) { return response(r, 504, stamped, ""), false }, 504, 1, 504},
		"not run":          {func(r *http.Request) (string, bool) { return response(r, 503, notRun, ""), false }, 200, 1, 200},
		"misdirected":      {func(r *http.Request) (string, bool) { return response(r, 421, hUpstream+": other\r\n", ""), false }, 200, 1, 200},
	}
	for name, tt := range tests {
		for _, path := range []string{"/once/", "/again/"} {
			t.Run(name+path, func(t *testing.T) {
				bad := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return tt.respond(r) })
				good := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, "fine"), false })
				g := newFixture(t, bad, good)
				var resp *http.Response
				for bad.count() == 0 { // until a first attempt selects the failing upstream
					resp, _ = g.do(g.request("POST", path, "x"))
				}
				want := tt.onceStatus
				if path == "/again/" {
					want = tt.idempotentStatus
				}
				require.Equal(t, want, resp.StatusCode)
				require.Equal(t, tt.numSent, bad.count())
				if resp.StatusCode == http.StatusBadGateway {
					require.Empty(t, resp.Header.Get(hStamp))
				}
			})
		}
	}
}

// An HTTP client that retries idempotent requests on its own, as net/http does,
// would send the second request twice here.
func TestClosedIdleConnectionCausesNoHiddenRetry(t *testing.T) {
	up := newUpstream(t, func(n int, r *http.Request, _ string) (string, bool) {
		if n == 1 {
			return response(r, 200, stamped, "one"), false
		}
		return "", true // no response to the second request on the connection
	})
	g := newFixture(t, up)
	resp, _ := g.do(g.request("GET", "/once/", ""))
	require.Equal(t, 200, resp.StatusCode)
	resp, _ = g.do(g.request("GET", "/once/", ""))
	require.Equal(t, 502, resp.StatusCode)
	require.Equal(t, 2, up.count())
}

func TestLateResponseToAnotherRequestIsSkipped(t *testing.T) {
	up := newUpstream(t, func(n int, r *http.Request, _ string) (string, bool) {
		out := response(r, 200, stamped, "answer "+strconv.Itoa(n))
		if n == 2 {
			out = "HTTP/1.1 200 OK\r\n" + hID + ": stale\r\n" + stamped + "Content-Length: 5\r\n\r\nstale" + out
		}
		return out, false
	})
	g := newFixture(t, up)
	_, body := g.do(g.request("POST", "/once/", ""))
	require.Equal(t, "answer 1", body)
	_, body = g.do(g.request("POST", "/once/", ""))
	require.Equal(t, "answer 2", body)
}

func TestStreamIsForwardedInWholeEvents(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		all := event(1) + event(2)
		return streamHead(r) + chunk(all[:5]) + chunk(all[5:20]) + chunk(all[20:]) + "0\r\n\r\n", false
	})
	g := newFixture(t, up)
	resp, body := g.do(g.request("POST", "/stream/", ""))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get(hStamp))
	require.Equal(t, event(1)+event(2), body)
}

// An error response of the instance itself must carry neither the status nor the
// headers of the upstream's response.
func TestStreamInterruptedBeforeItsFirstEvent(t *testing.T) {
	for name, tail := range map[string]string{"broken": chunk("id: 1\nda"), "empty": "0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return streamHead(r) + tail, true })
			g := newFixture(t, up)
			resp, body := g.do(g.request("POST", "/stream/", ""))
			require.Equal(t, 502, resp.StatusCode)
			require.Empty(t, resp.Header.Get(hStamp))
			require.Empty(t, body)
		})
	}
}

func TestInterruptedStreamEndsInAnError(t *testing.T) {
	for name, tail := range map[string]string{
		"between events":              "",
		"within an event":             chunk("id: 2\nda"),
		"final chunk within an event": chunk("id: 2\nda") + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
				return streamHead(r) + chunk(event(1)) + tail, true
			})
			g := newFixture(t, up)
			_, body := g.do(g.request("POST", "/stream/", ""))
			require.True(t, strings.HasPrefix(body, event(1)+"!"), "%q", body)
			require.Equal(t, 1, up.count())
		})
	}
}

func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	respond := func(_ int, r *http.Request, _ string) (string, bool) {
		switch r.Header.Get(hLastEventID) {
		case "":
			return streamHead(r) + chunk(event(1)+event(2)+"id: 3\nda"), true
		case "2":
			return streamHead(r) + chunk(event(3)) + "0\r\n\r\n", false
		}
		return response(r, 400, stamped, ""), false
	}
	g := newFixture(t, newUpstream(t, respond), newUpstream(t, respond))
	resp, body := g.do(g.request("POST", "/resumable/", ""))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, event(1)+event(2)+event(3), body)
}

func TestClientDisconnectCancelsUpstreamRequest(t *testing.T) {
	began := make(chan struct{})
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		close(began)
		return streamHead(r) + chunk(event(1)), false
	})
	g := newFixture(t, up)
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := g.client.Do(g.request("POST", "/stream/", "").WithContext(ctx))
	require.NoError(t, err)
	<-began
	cancel()
	_ = resp.Body.Close()
	<-up.ended
}

func TestBudgetBoundsRetries(t *testing.T) {
	bad := func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 503, notRun, ""), false }
	ups := []*upstream{newUpstream(t, bad), newUpstream(t, bad)}
	g := newFixture(t, ups...)
	g.RetryBudgets.Reserve = 3
	g.RetryBudgets.Ratio = 0.001
	for range 5 {
		resp, _ := g.do(g.request("POST", "/once/", ""))
		require.Equal(t, 503, resp.StatusCode)
	}
	require.LessOrEqual(t, ups[0].count()+ups[1].count(), 5+3)
}

func TestPoisonRequestIsRejected(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, "x"), false })
	g := newFixture(t, up)
	for startTime := range int64(losstracker.PoisonThreshold) {
		u := &registrar.Upstream{ID: "u0", StartedAtMs: startTime}
		c := &call{}
		c.req = courier.Request{Method: "POST", Host: "h.example", Target: "/once/", Body: []byte("poison")}
		g.Losses.Begin(u.Incarnation(), fingerprint(c)).End(losstracker.Broken, time.Now())
		g.Losses.RecordEnd(u.Incarnation(), time.Now())
	}
	resp, _ := g.do(g.request("POST", "/once/", "poison"))
	require.Equal(t, 503, resp.StatusCode)
	require.Zero(t, up.count())
	resp, _ = g.do(g.request("POST", "/once/", "harmless"))
	require.Equal(t, 200, resp.StatusCode)
}

func TestResponseBeforeLongBodyIsRead(t *testing.T) {
	up := newUpstream(t, nil)
	require.NoError(t, up.listen.Close())
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	conns := make(chan net.Conn, 8) // keeps them referenced: a connection that is garbage collected resets and loses its response
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				req, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
				if err == nil {
					_, _ = io.WriteString(c, response(req, 413, stamped, "too long")) // without reading the body
				}
			}()
		}
	}()
	up.listen = ln
	g := newFixture(t, up)
	for range 2 {
		resp, body := g.do(g.request("POST", "/once/", strings.Repeat("x", 900<<10)))
		require.Equal(t, 413, resp.StatusCode)
		require.Equal(t, "too long", body)
	}
	require.Len(t, conns, 2, "each request must use a new connection")
	for range 2 {
		_ = (<-conns).Close()
	}
}

// An idempotent request that fails with status 500 is retried once. If the retry
// fails in another way, the client receives the status 500.
func TestStatus500IsRetriedOnceAndForwardedIfTheRetryFails(t *testing.T) {
	status500 := func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 500, stamped, "oops"), false }
	noResponse := func(int, *http.Request, string) (string, bool) { return "", true }
	for name, tt := range map[string]struct {
		reserve float64
		second  func(int, *http.Request, string) (string, bool)
		want    int
	}{
		"one retry left":         {1, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, "fine"), false }, 200},
		"no retry left":          {0.5, noResponse, 500},
		"retry without response": {1, noResponse, 500},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newUpstream(t, status500), newUpstream(t, tt.second)
			g := newFixture(t, first, second)
			g.RetryBudgets.Reserve, g.RetryBudgets.Ratio = tt.reserve, 0.001
			var resp *http.Response
			for first.count() == 0 { // until a first attempt selects this upstream
				g.RetryBudgets = &retrier.Budgets{Reserve: tt.reserve, Ratio: 0.001}
				resp, _ = g.do(g.request("GET", "/again/", ""))
			}
			require.Equal(t, tt.want, resp.StatusCode)
			if tt.want == http.StatusInternalServerError {
				require.Equal(t, "s", resp.Header.Get(hStamp))
			}
		})
	}
}

// A stream that has started may wait for a slot until its deadline: the client's
// timeout for the next event counts from the last event, not from the request's
// arrival.
func TestResumptionWaitsForASlotUntilTheDeadline(t *testing.T) {
	var g *fixture
	up := newUpstream(t, func(n int, r *http.Request, _ string) (string, bool) {
		if n == 1 {
			g.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"u0": nil}, time.Now())
			return streamHead(r) + chunk(event(1)), true
		}
		return streamHead(r) + chunk(event(2)) + "0\r\n\r\n", false
	})
	g = newFixture(t, up)
	entry := g.Upstreams.Snapshot().ByID["u0"]
	g.Queue.OnDemandChange = func() {
		g.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"u0": entry}, time.Now())
	}
	old := g.Config()
	route, _ := old.Match("h.example", "/resumable/")
	route.EventTimeout = clientTimeoutMargin + time.Nanosecond
	cfg := matcher.New(2, []matcher.Route{route}, old.Services, old.Limits)
	g.Config = func() *matcher.Config { return cfg }
	_, body := g.do(g.request("POST", "/resumable/", ""))
	require.Equal(t, event(1)+event(2), body)
}

// TestPoisonRequestIsRefusedAfterItsWaitInTheQueue guards against a request that waits in
// the queue while its third loss becomes known.
func TestPoisonRequestIsRefusedAfterItsWaitInTheQueue(t *testing.T) {
	release := make(chan struct{})
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		<-release
		return response(r, 200, stamped, "x"), false
	})
	g := newFixture(t, up)
	var wg sync.WaitGroup
	const numBlocking = 8 // more than the upstream has slots
	for n := range numBlocking {
		r := g.request("POST", "/once/", fmt.Sprint(n))
		wg.Go(func() { g.do(r) })
	}
	awaitWaiting := func(numRequests int) {
		for waiting := 0; waiting == 0 || up.count()+waiting < numRequests; {
			require.NoError(t, t.Context().Err())
			_, waiting = g.Queue.Demands()
		}
	}
	awaitWaiting(numBlocking)
	poison := g.request("POST", "/once/", "poison")
	status := make(chan int, 1)
	wg.Go(func() {
		resp, _ := g.do(poison)
		status <- resp.StatusCode
	})
	awaitWaiting(numBlocking + 1)
	c := &call{req: courier.Request{Method: "POST", Host: "h.example", Target: "/once/", Body: []byte("poison")}}
	f := fingerprint(c)
	for _, id := range []string{"a", "b", "c"} {
		g.Losses.MergeReport([]losstracker.Loss{{Fingerprint: f, Incarnation: registrar.Incarnation{ID: id}}}, time.Now())
	}
	close(release)
	require.Equal(t, 503, <-status)
	wg.Wait()
	require.Equal(t, numBlocking, up.count())
}

// TestPoisonRequestIsRecognizedByItsContent guards against a count that starts anew when
// headers of the request differ.
func TestPoisonRequestIsRecognizedByItsContent(t *testing.T) {
	newCall := func(id, model, prefix string) *call {
		return &call{
			requestInfo: RequestInfo{ID: id, Model: model, Prefix: prefix, PromptTokens: len(prefix)},
			req:         courier.Request{Method: "POST", Host: "h.example", Target: "/once/", Body: []byte("poison")},
		}
	}
	require.Equal(t, fingerprint(newCall("1", "m1", "p1")), fingerprint(newCall("2", "m2", "p2")))
}

// TestAttemptsThatReachNobodyAreNotCharged guards against a request that is refused with time
// left, because its attempts failed to connect while its upstream restarted.
func TestAttemptsThatReachNobodyAreNotCharged(t *testing.T) {
	restarted := newUpstream(t, func(n int, r *http.Request, _ string) (string, bool) {
		if n == 1 {
			return response(r, 421, hUpstream+": u0\r\n", ""), false // its model is not loaded yet
		}
		return response(r, 200, stamped, "fine"), false
	})
	down := newUpstream(t, nil)
	require.NoError(t, down.listen.Close())
	g := newFixture(t, down)
	var numFailed atomic.Int32
	g.Pool.OnDial = func(_ string, _ time.Duration, err error) {
		if err != nil && numFailed.Add(1) == maxSends {
			u := *g.Upstreams.Snapshot().ByID["u0"]
			u.Address, u.StartedAtMs = restarted.listen.Addr().String(), 2
			g.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"u0": &u}, time.Now())
		}
	}
	resp, _ := g.do(g.request("POST", "/once/", "x"))
	require.Equal(t, 200, resp.StatusCode)
}

// TestMisdirectedRequestIsNotLost guards against a request that is accused of the end of an
// upstream, because it found another one at the upstream's address.
func TestMisdirectedRequestIsNotLost(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		return response(r, 421, hUpstream+": other\r\n", ""), false
	})
	g := newFixture(t, up)
	g.Upstreams.OnIncarnationEnd = func(u *registrar.Upstream, _ string) { g.Losses.RecordEnd(u.Incarnation(), time.Now()) }
	var changes []losstracker.Change
	g.Losses.OnChange = func(_ losstracker.Loss, c losstracker.Change, _ int) { changes = append(changes, c) }
	g.do(g.request("POST", "/once/", "x"))
	require.Equal(t, 1, up.count())
	require.Empty(t, changes)
}
