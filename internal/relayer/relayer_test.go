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
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/retrier"
)

// upstream is a stand-in that answers each request with the bytes of a script.
type upstream struct {
	t      *testing.T
	listen net.Listener
	// answer returns the bytes to send; last says to close the connection then.
	answer func(n int, r *http.Request, body string) (out string, last bool)

	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
	ended  chan struct{} // a connection was closed by the other end
}

func newUpstream(t *testing.T, answer func(n int, r *http.Request, body string) (string, bool)) *upstream {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	u := &upstream{t: t, listen: ln, answer: answer, ended: make(chan struct{}, 16)}
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
		out, end := u.answer(n, req, string(body))
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

// Headers of the stand-in's protocol.
const (
	hID      = "Test-Id"
	hStamp   = "Test-Stamp"
	hNotRun  = "Test-Not-Run"
	hSelf    = "Test-Self"
	hOnly    = "Test-Only"
	hLast    = "Last-Event-Id"
	hLeft    = "Test-Left"
	hModel   = "Test-Model"
	stamped  = hStamp + ": s\r\n"
	noRunYet = hNotRun + ": 1\r\n"
)

// head returns the head of an answer to the request.
func head(r *http.Request, status int, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s", status, hID, r.Header.Get(hID), extra)
}

func whole(r *http.Request, status int, extra, body string) string {
	return head(r, status, extra) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func streamHead(r *http.Request) string {
	return head(r, 200, stamped+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", id, id) }

var testCodec = Codec{
	IDHeader: hID,
	Facts: func(r *http.Request) (Facts, error) {
		return Facts{ID: r.Header.Get(hID), Model: r.Header.Get(hModel), Deadline: 5 * time.Second}, nil
	},
	Outward: func(in http.Header, a Attempt) http.Header {
		out := Forwardable(in)
		out.Set(hOnly, a.Upstream)
		out.Set(hLeft, strconv.FormatInt(a.Left.Milliseconds(), 10))
		if a.LastEventID != "" {
			out.Set(hLast, a.LastEventID)
		}
		return out
	},
	Remarks: func(_ int, h http.Header) Remarks {
		return Remarks{NotRun: h.Get(hNotRun) != "", Upstream: h.Get(hSelf), IsStamped: h.Get(hStamp) != ""}
	},
}

// rig is a relayer in front of stand-ins, which are named u0, u1 and so on.
type rig struct {
	*Relayer
	t       *testing.T
	server  *httptest.Server
	client  *http.Client
	closing bool
}

var once = matcher.Route{Name: "once", Host: "h.example", Prefix: "/once/", Timeout: 5 * time.Second, MaxAttempts: 2, Targets: []matcher.Target{{Service: "s"}}}

func newRig(t *testing.T, ups ...*upstream) *rig {
	again := once
	again.Name, again.Prefix, again.Kind = "again", "/again/", matcher.Idempotent
	stream := once
	stream.Name, stream.Prefix, stream.IsStream = "stream", "/stream/", true
	resumable := stream
	resumable.Name, resumable.Prefix, resumable.IsResumable = "resumable", "/resumable/", true
	cfg := matcher.New(1, []matcher.Route{once, again, stream, resumable},
		map[string]matcher.Service{"s": {Name: "s"}}, matcher.Limits{MaxBodyBytes: 1 << 20})
	g := &rig{t: t}
	beliefs := &registrar.Table{}
	entries := make(map[string]*registrar.Upstream)
	for i, u := range ups {
		id := fmt.Sprintf("u%d", i)
		entries[id] = &registrar.Upstream{ID: id, Address: u.listen.Addr().String(), Service: "s", Slots: 4, Born: 1}
	}
	beliefs.ApplyEntries(entries, time.Now())
	config := func() *matcher.Config { return cfg }
	g.Relayer = &Relayer{
		Codec: testCodec, Config: config, Beliefs: beliefs,
		Queue:  &queuer.Queue{Beliefs: beliefs, Config: config, IsLed: func() bool { return true }},
		Pool:   &courier.Pool{IDHeader: hID},
		Budget: &retrier.Budget{}, Poison: &Poison{}, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		ViewAge:   func() time.Duration { return 0 },
		IsLeaving: func() bool { return g.closing }, IsClosed: func() bool { return g.closing },
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go g.Queue.Run(ctx)
	g.server = httptest.NewServer(g.Relayer)
	t.Cleanup(g.server.Close)
	g.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	return g
}

var nextID int

func (g *rig) request(method, path, body string) *http.Request {
	g.t.Helper()
	r, err := http.NewRequestWithContext(g.t.Context(), method, g.server.URL+path, strings.NewReader(body))
	require.NoError(g.t, err)
	r.Host = "h.example"
	nextID++
	r.Header.Set(hID, fmt.Sprintf("r%d", nextID))
	return r
}

// do returns the answer and its body; an error of the body is returned as text.
func (g *rig) do(r *http.Request) (*http.Response, string) {
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

func TestRequestAndAnswerUntouched(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, body string) (string, bool) {
		return whole(r, 201, stamped+"Other: x\r\nKeep-Alive: timeout=9\r\n", "got "+body), false
	})
	g := newRig(t, up)
	r := g.request("POST", "/once/a%2Fb/../c//d?q=%20&q", "hello")
	r.Header.Set("Mine", "1")
	resp, body := g.do(r)
	require.Equal(t, 201, resp.StatusCode)
	require.Equal(t, "got hello", body)
	require.Equal(t, "x", resp.Header.Get("Other"))
	require.Empty(t, resp.Header.Get("Keep-Alive"))
	require.Empty(t, resp.Header.Get("Content-Type"), "none is guessed")
	seen := up.seen[0]
	require.Equal(t, "POST", seen.Method)
	require.Equal(t, "/once/a%2Fb/../c//d?q=%20&q", seen.RequestURI)
	require.Equal(t, "h.example", seen.Host)
	require.Equal(t, "1", seen.Header.Get("Mine"))
	require.Equal(t, "u0", seen.Header.Get(hOnly))
	require.Empty(t, seen.Header.Get("Accept-Encoding"))
}

func TestNoRouteAndNoConfiguration(t *testing.T) {
	g := newRig(t)
	resp, _ := g.do(g.request("GET", "/other/", ""))
	require.Equal(t, 404, resp.StatusCode)
	g.Config = func() *matcher.Config { return nil }
	resp, _ = g.do(g.request("GET", "/once/", ""))
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

func TestStoppingInstanceRefuses(t *testing.T) {
	g := newRig(t)
	g.closing = true
	resp, _ := g.do(g.request("POST", "/once/", ""))
	require.Equal(t, 503, resp.StatusCode)
	require.True(t, resp.Close)
}

// cases of failing answers: what the client gets, and how often the request is sent.
func TestFailedAnswers(t *testing.T) {
	broken := func(r *http.Request) (string, bool) {
		return head(r, 200, stamped+"Content-Length: 100\r\n\r\nhalf"), true
	}
	tests := map[string]struct {
		answer func(r *http.Request) (string, bool)
		once   int // status on a route that may run once, after one attempt
		sent   int // on that route
		again  int // status on an idempotent route whose second upstream answers
	}{
		"cut off":   {broken, 502, 1, 200},
		"no answer": {func(*http.Request) (string, bool) { return "", true }, 502, 1, 200},
		"no HTTP":   {func(*http.Request) (string, bool) { return "\x00\x01garbage\r\n\r\n", true }, 502, 1, 200},
		"no stamp":  {func(r *http.Request) (string, bool) { return whole(r, 200, "", "x"), false }, 502, 1, 200},
		"encoded": {func(r *http.Request) (string, bool) {
			return whole(r, 200, stamped+"Content-Encoding: gzip\r\n", "x"), false
		}, 502, 1, 200},
		"another id": {func(*http.Request) (string, bool) {
			return "HTTP/1.1 200 OK\r\n" + hID + ": other\r\n" + stamped + "Content-Length: 1\r\n\r\nx", true
		}, 502, 1, 200},
		"error":      {func(r *http.Request) (string, bool) { return whole(r, 500, stamped, "oops"), false }, 500, 1, 200},
		"time is up": {func(r *http.Request) (string, bool) { return whole(r, 504, stamped, ""), false }, 504, 1, 504},
		"not run":    {func(r *http.Request) (string, bool) { return whole(r, 503, noRunYet, ""), false }, 200, 1, 200},
		"not here":   {func(r *http.Request) (string, bool) { return whole(r, 421, hSelf+": other\r\n", ""), false }, 200, 1, 200},
	}
	for name, tt := range tests {
		for _, path := range []string{"/once/", "/again/"} {
			t.Run(name+path, func(t *testing.T) {
				bad := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return tt.answer(r) })
				good := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return whole(r, 200, stamped, "fine"), false })
				g := newRig(t, bad, good)
				var resp *http.Response
				for bad.count() == 0 { // until a first attempt goes to the bad one
					resp, _ = g.do(g.request("POST", path, "x"))
				}
				want := tt.once
				if path == "/again/" {
					want = tt.again
				}
				require.Equal(t, want, resp.StatusCode)
				require.Equal(t, tt.sent, bad.count())
				if resp.StatusCode == http.StatusBadGateway {
					require.Empty(t, resp.Header.Get(hStamp))
				}
			})
		}
	}
}

// A library that sends idempotent requests again by itself would reach the
// upstream twice here.
func TestKeptConnectionThatEndsIsNotUsedForASilentRepeat(t *testing.T) {
	up := newUpstream(t, func(n int, r *http.Request, _ string) (string, bool) {
		if n == 1 {
			return whole(r, 200, stamped, "one"), false
		}
		return "", true // the second request on the connection gets no answer
	})
	g := newRig(t, up)
	resp, _ := g.do(g.request("GET", "/once/", ""))
	require.Equal(t, 200, resp.StatusCode)
	resp, _ = g.do(g.request("GET", "/once/", ""))
	require.Equal(t, 502, resp.StatusCode)
	require.Equal(t, 2, up.count())
}

func TestLateAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	up := newUpstream(t, func(n int, r *http.Request, _ string) (string, bool) {
		out := whole(r, 200, stamped, "answer "+strconv.Itoa(n))
		if n == 2 {
			out = "HTTP/1.1 200 OK\r\n" + hID + ": stale\r\n" + stamped + "Content-Length: 5\r\n\r\nstale" + out
		}
		return out, false
	})
	g := newRig(t, up)
	_, body := g.do(g.request("POST", "/once/", ""))
	require.Equal(t, "answer 1", body)
	_, body = g.do(g.request("POST", "/once/", ""))
	require.Equal(t, "answer 2", body)
}

func TestStreamIsPassedOnInWholeEvents(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		all := event(1) + event(2)
		return streamHead(r) + chunk(all[:5]) + chunk(all[5:20]) + chunk(all[20:]) + "0\r\n\r\n", false
	})
	g := newRig(t, up)
	resp, body := g.do(g.request("POST", "/stream/", ""))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "s", resp.Header.Get(hStamp))
	require.Equal(t, event(1)+event(2), body)
}

// Neither the upstream's status nor its headers may show on an answer of the
// instance's own.
func TestStreamThatBreaksBeforeItsFirstEvent(t *testing.T) {
	for name, tail := range map[string]string{"broken": chunk("id: 1\nda"), "empty": "0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return streamHead(r) + tail, true })
			g := newRig(t, up)
			resp, body := g.do(g.request("POST", "/stream/", ""))
			require.Equal(t, 502, resp.StatusCode)
			require.Empty(t, resp.Header.Get(hStamp))
			require.Empty(t, body)
		})
	}
}

func TestStreamThatBreaksOffDoesNotLookWhole(t *testing.T) {
	for name, tail := range map[string]string{
		"connection":         "",
		"within an event":    chunk("id: 2\nda"),
		"clean, in an event": chunk("id: 2\nda") + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
				return streamHead(r) + chunk(event(1)) + tail, true
			})
			g := newRig(t, up)
			_, body := g.do(g.request("POST", "/stream/", ""))
			require.True(t, strings.HasPrefix(body, event(1)+"!"), "%q", body)
			require.Equal(t, 1, up.count())
		})
	}
}

func TestStreamGoesOnAtAnotherUpstream(t *testing.T) {
	answer := func(_ int, r *http.Request, _ string) (string, bool) {
		switch r.Header.Get(hLast) {
		case "":
			return streamHead(r) + chunk(event(1)+event(2)+"id: 3\nda"), true
		case "2":
			return streamHead(r) + chunk(event(3)) + "0\r\n\r\n", false
		}
		return whole(r, 400, stamped, ""), false
	}
	g := newRig(t, newUpstream(t, answer), newUpstream(t, answer))
	resp, body := g.do(g.request("POST", "/resumable/", ""))
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, event(1)+event(2)+event(3), body)
}

func TestClientThatLeavesCancelsItsRequest(t *testing.T) {
	began := make(chan struct{})
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
		close(began)
		return streamHead(r) + chunk(event(1)), false
	})
	g := newRig(t, up)
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := g.client.Do(g.request("POST", "/stream/", "").WithContext(ctx))
	require.NoError(t, err)
	<-began
	cancel()
	_ = resp.Body.Close()
	<-up.ended
}

func TestBudgetBoundsRepeats(t *testing.T) {
	bad := func(_ int, r *http.Request, _ string) (string, bool) { return whole(r, 503, noRunYet, ""), false }
	ups := []*upstream{newUpstream(t, bad), newUpstream(t, bad)}
	g := newRig(t, ups...)
	g.Budget.Reserve = 3
	g.Budget.Share = 0.001
	for range 5 {
		resp, _ := g.do(g.request("POST", "/once/", ""))
		require.Equal(t, 503, resp.StatusCode)
	}
	require.LessOrEqual(t, ups[0].count()+ups[1].count(), 5+3)
}

func TestRequestThatEndsItsUpstreamsIsRefused(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return whole(r, 200, stamped, "x"), false })
	g := newRig(t, up)
	for born := range int64(lossesToCondemn) {
		u := &registrar.Upstream{ID: "u0", Born: born}
		c := &call{}
		c.req = courier.Request{Method: "POST", Host: "h.example", Target: "/once/", Body: []byte("poison")}
		g.Poison.Begin(u, fingerprint(c)).End(true, time.Now())
		g.Poison.NoteEnd(u, time.Now())
	}
	resp, _ := g.do(g.request("POST", "/once/", "poison"))
	require.Equal(t, 503, resp.StatusCode)
	require.Zero(t, up.count())
	resp, _ = g.do(g.request("POST", "/once/", "harmless"))
	require.Equal(t, 200, resp.StatusCode)
}

func TestLongBodyThatIsAnsweredEarly(t *testing.T) {
	up := newUpstream(t, nil)
	require.NoError(t, up.listen.Close())
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	conns := make(chan net.Conn, 8) // keeps them open: one that is collected resets its answer
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
					_, _ = io.WriteString(c, whole(req, 413, stamped, "too long")) // the body is not read
				}
			}()
		}
	}()
	up.listen = ln
	g := newRig(t, up)
	for range 2 {
		resp, body := g.do(g.request("POST", "/once/", strings.Repeat("x", 900<<10)))
		require.Equal(t, 413, resp.StatusCode)
		require.Equal(t, "too long", body)
	}
	require.Len(t, conns, 2, "each on a connection of its own")
	for range 2 {
		_ = (<-conns).Close()
	}
}

// An error of an idempotent request is worth one repeat. If the repeat fails in
// another way, the client gets the error that there was.
func TestErrorIsRepeatedOnceAndDeliveredOtherwise(t *testing.T) {
	fails := func(_ int, r *http.Request, _ string) (string, bool) { return whole(r, 500, stamped, "oops"), false }
	breaks := func(int, *http.Request, string) (string, bool) { return "", true }
	for name, tt := range map[string]struct {
		reserve float64
		second  func(int, *http.Request, string) (string, bool)
		want    int
	}{
		"one repeat left": {1, func(_ int, r *http.Request, _ string) (string, bool) { return whole(r, 200, stamped, "fine"), false }, 200},
		"no repeat left":  {0.5, breaks, 500},
		"repeat breaks":   {1, breaks, 500},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newUpstream(t, fails), newUpstream(t, tt.second)
			g := newRig(t, first, second)
			g.Budget.Reserve, g.Budget.Share = tt.reserve, 0.001
			var resp *http.Response
			for first.count() == 0 { // until a first attempt goes there
				g.Budget = &retrier.Budget{Reserve: tt.reserve, Share: 0.001}
				resp, _ = g.do(g.request("GET", "/again/", ""))
			}
			require.Equal(t, tt.want, resp.StatusCode)
			if tt.want == http.StatusInternalServerError {
				require.Equal(t, "s", resp.Header.Get(hStamp))
			}
		})
	}
}

// A stream that has begun may wait for room until its deadline: the client's
// patience counts from its last event, not from its arrival.
func TestResumptionWaitsForRoom(t *testing.T) {
	var g *rig
	up := newUpstream(t, func(n int, r *http.Request, _ string) (string, bool) {
		if n == 1 {
			g.Beliefs.ApplyEntries(map[string]*registrar.Upstream{"u0": nil}, time.Now())
			return streamHead(r) + chunk(event(1)), true
		}
		return streamHead(r) + chunk(event(2)) + "0\r\n\r\n", false
	})
	g = newRig(t, up)
	entry := g.Beliefs.Now().ByID["u0"]
	g.Queue.OnWait = func() {
		g.Beliefs.ApplyEntries(map[string]*registrar.Upstream{"u0": entry}, time.Now())
	}
	old := g.Config()
	route, _ := old.Match("h.example", "/resumable/")
	route.Patience = patienceMargin + time.Nanosecond
	cfg := matcher.New(2, []matcher.Route{route}, old.Services, old.Limits)
	g.Config = func() *matcher.Config { return cfg }
	_, body := g.do(g.request("POST", "/resumable/", ""))
	require.Equal(t, event(1)+event(2), body)
}
