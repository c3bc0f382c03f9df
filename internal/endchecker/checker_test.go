package endchecker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// peer is an upstream that sends the beginning of a response without a length on each connection with a request.
type peer struct {
	ln       net.Listener
	mu       sync.Mutex
	requests []net.Conn
	others   []net.Conn
}

func newPeer(t *testing.T) *peer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p := &peer{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.others = append(p.others, c)
			p.mu.Unlock()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				p.mu.Lock()
				for i, other := range p.others {
					if other == c {
						p.others = append(p.others[:i], p.others[i+1:]...)
						break
					}
				}
				p.requests = append(p.requests, c)
				p.mu.Unlock()
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
			}()
		}
	}()
	return p
}

// endResponses and endOthers close the connections with a request, and those without one.
func (p *peer) endResponses() { p.end(&p.requests) }
func (p *peer) endOthers()    { p.end(&p.others) }

func (p *peer) end(list *[]net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range *list {
		_ = c.Close()
	}
	*list = nil
}

// watch sends a request to the peer and watches its response.
func (p *peer) watch(t *testing.T, c *Checker, pool *courier.Pool) (*Watch, *courier.Response) {
	sentAt := time.Now()
	resp, err := pool.Do(t.Context(), p.ln.Addr().String(), &courier.Request{Method: http.MethodGet, Host: "h", Target: "/"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	w := c.Watch(pool, Process{registrar.Incarnation{ID: "u", StartedAtMs: 1}, p.ln.Addr().String()}, resp, sentAt)
	t.Cleanup(func() { w.Stop(false) })
	return w, resp
}

func (w *Watch) hasSecond() bool {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	return w.second != nil
}

const waitTime = 5 * time.Second

// TestEvidenceOfAProcess guards against an end of a second connection that is not told from an end of its process.
func TestEvidenceOfAProcess(t *testing.T) {
	for name, tt := range map[string]struct {
		end  func(p *peer, w *Watch)
		want Verdict
	}{
		"response ends": {func(p *peer, _ *Watch) { p.endResponses() }, Lives},
		"process ends": {func(p *peer, _ *Watch) {
			p.endResponses()
			p.endOthers()
			_ = p.ln.Close()
		}, Crashed},
		"listener is closed before": {func(p *peer, _ *Watch) {
			_ = p.ln.Close()
			p.endResponses()
		}, Lives},
		"idle connections and listener are closed before": {func(p *peer, w *Watch) {
			_ = p.ln.Close()
			p.endOthers()
			for w.hasSecond() {
				time.Sleep(time.Millisecond)
			}
			p.endResponses()
		}, NotListens},
		"idle connections are closed with it": {func(p *peer, _ *Watch) {
			p.endOthers()
			p.endResponses()
		}, Listens},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t)
			c, pool := &Checker{}, &courier.Pool{}
			w, resp := p.watch(t, c, pool)
			require.Eventually(t, w.hasSecond, waitTime, time.Millisecond)
			tt.end(p, w)
			_, _ = io.Copy(io.Discard, resp.Body)
			require.Equal(t, tt.want, w.Collect(t.Context()).Verdict())
		})
	}
}

// TestResponsesShareASecondConnection guards against a new connection for each response at an upstream that has little
// room for connections.
func TestResponsesShareASecondConnection(t *testing.T) {
	p := newPeer(t)
	numDials := 0
	c, pool := &Checker{}, &courier.Pool{OnDial: func(string, time.Duration, error) { numDials++ }}
	first, _ := p.watch(t, c, pool)
	require.Eventually(t, first.hasSecond, waitTime, time.Millisecond)
	for range 5 {
		w, _ := p.watch(t, c, pool)
		require.True(t, w.hasSecond())
	}
	require.Equal(t, 7, numDials)
}

// TestSecondConnectionOfALaterProcessProvesNothing guards against a second connection that was opened after the response
// had ended, to the next process at the address.
func TestSecondConnectionOfALaterProcessProvesNothing(t *testing.T) {
	p := newPeer(t)
	c, pool := &Checker{}, &courier.Pool{}
	w, resp := p.watch(t, c, pool)
	p.endResponses()
	require.Eventually(t, func() bool { return !resp.IsConnected() }, waitTime, time.Millisecond)
	later, _ := p.watch(t, c, pool)
	require.Eventually(t, later.hasSecond, waitTime, time.Millisecond)
	require.False(t, w.hasSecond())
	require.Equal(t, SecondNone, w.observe().Second)
}

// TestProcessThatStoodStillHasDoubts guards against an upstream that crashed and came back while this process stood still,
// and whose response passes for whole because something listens at its address.
func TestProcessThatStoodStillHasDoubts(t *testing.T) {
	p := newPeer(t)
	c, pool := &Checker{}, &courier.Pool{}
	w, resp := p.watch(t, c, pool)
	require.Eventually(t, w.hasSecond, waitTime, time.Millisecond)
	c.mu.Lock()
	p.endResponses()
	p.endOthers()
	c.tickedAt = time.Now().Add(-stillTime)
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, resp.Body)
	require.Equal(t, Doubtful, w.Collect(t.Context()).Verdict())
}

// TestResponseAfterAPauseHasNoDoubts guards against a short response that is cut though its request was sent after this
// process had stood still.
func TestResponseAfterAPauseHasNoDoubts(t *testing.T) {
	p := newPeer(t)
	c, pool := &Checker{}, &courier.Pool{}
	before, _ := p.watch(t, c, pool)
	c.mu.Lock()
	c.tickedAt = time.Now().Add(-stillTime)
	c.mu.Unlock()
	require.Eventually(t, func() bool { return before.observe().StoodStill }, waitTime, time.Millisecond)
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.resumedAt.IsZero()
	}, waitTime, time.Millisecond)
	after, _ := p.watch(t, c, pool)
	require.True(t, before.observe().StoodStill)
	require.False(t, after.observe().StoodStill)
}

// TestSecondConnectionIsReleased guards against connections that stay open, and a goroutine that goes on, after the last
// response of an upstream.
func TestSecondConnectionIsReleased(t *testing.T) {
	for name, isLeaving := range map[string]bool{"stays": false, "leaves": true} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t)
			numDials := 0
			c, pool := &Checker{}, &courier.Pool{OnDial: func(string, time.Duration, error) { numDials++ }}
			w, _ := p.watch(t, c, pool)
			require.Eventually(t, w.hasSecond, waitTime, time.Millisecond)
			w.Stop(isLeaving)
			_, _ = p.watch(t, &Checker{}, pool)
			want := 2 // the second connection is used for the next request
			if isLeaving {
				want = 3
			}
			require.Equal(t, want, numDials)
			require.Eventually(t, func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return !c.isRunning
			}, waitTime, time.Millisecond)
		})
	}
}
