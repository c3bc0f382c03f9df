package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
)

// process is an upstream whose listener and connections end together, as those of a process do.
type process struct {
	upstream
	// reset resets a new connection if it is set, and stopsAccepting leaves all later ones in the queue of the kernel.
	reset          atomic.Pointer[func(net.Conn)]
	stopsAccepting atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

// newProcess starts an upstream. It serves one request on each connection and then closes it. A backlog of 0 is the default one.
func newProcess(t *testing.T, backlog int, serve func(p *process, c net.Conn, r *http.Request)) *process {
	ln := listen(t, backlog)
	p := &process{upstream: upstream{t: t, listen: ln}}
	t.Cleanup(p.end)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if reset := p.reset.Load(); reset != nil {
				go (*reset)(c)
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			if p.stopsAccepting.Load() {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					serve(p, c, r)
				}
			}()
		}
	}()
	return p
}

// listen returns a listener with a backlog.
func listen(t *testing.T, backlog int) net.Listener {
	if backlog == 0 {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		return ln
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, backlog))
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	require.NoError(t, err)
	return ln
}

// end closes the connections of the process and then its listener, as its kernel does when it crashes.
func (p *process) end() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	_ = p.listen.Close()
}

// stopListening closes the listener, and all connections but the given ones, as a server does that ends its last requests.
func (p *process) stopListening(busy ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listen.Close()
	for _, c := range p.conns {
		if !slices.Contains(busy, c) {
			_ = c.Close()
		}
	}
	p.conns = busy
}

// resetAfter resets each new connection after a delay from now on.
func (p *process) resetAfter(delay time.Duration) {
	reset := func(c net.Conn) {
		time.Sleep(delay)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.reset.Store(&reset)
}

// fill fills the queue of connections that are not accepted, so that the kernel drops the first packets of new ones.
func (p *process) fill() {
	p.stopsAccepting.Store(true)
	for range 8 {
		c, err := net.DialTimeout("tcp4", p.listen.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		p.t.Cleanup(func() { _ = c.Close() })
	}
}

// knowNoOrigins makes the fixture know no origin of a stream, as an instance that reaches no others.
func (g *fixture) knowNoOrigins() {
	g.Streams.Ask = func(context.Context, string, string) ([]streamtracker.Answer, int) { return nil, 0 }
	g.Streams.Log = zap.NewNop()
	g.Streams.IsFresh = func() bool { return false }
	g.Streams.ReadCurrent = func(context.Context) error { return errors.New("not reached") }
	g.Streams.Load = func(context.Context, string) (streamtracker.Versions, error) {
		return streamtracker.Versions{}, errors.New("not reached")
	}
}

// unframedHead is the head of a response that ends with its connection.
func unframedHead(r *http.Request) string {
	return responseHead(r, 200, stamped+"Connection: close\r\n\r\n")
}

// responseTime is how long the responses of these tests take. A second connection is opened within it.
const responseTime = 150 * time.Millisecond

// TestWholeResponseOfAFullUpstreamIsNotCut guards against whole responses without a length that are cut because their
// upstream takes no new connections, and against broken ones that pass for whole if such an upstream crashes.
func TestWholeResponseOfAFullUpstreamIsNotCut(t *testing.T) {
	for name, full := range map[string]struct {
		backlog int
		begin   func(p *process)
	}{
		"resets at once":   {begin: func(p *process) { p.resetAfter(0) }},
		"resets after ms":  {begin: func(p *process) { p.resetAfter(8 * time.Millisecond) }},
		"drops the packet": {backlog: 1, begin: (*process).fill},
	} {
		for when, isFullAtHead := range map[string]bool{"before the response": true, "within the response": false} {
			for _, crashes := range []bool{false, true} {
				for _, isHandedOn := range []bool{false, true} {
					for _, path := range routesOfAllKinds {
						what := "whole"
						if crashes {
							what = "crash"
						}
						if isHandedOn {
							what += ", handed on"
						}
						t.Run(name+"/"+when+"/"+what+path, func(t *testing.T) {
							t.Parallel()
							p := newProcess(t, full.backlog, func(p *process, c net.Conn, r *http.Request) {
								if isFullAtHead {
									full.begin(p)
								}
								send(c, unframedHead(r)+event(1))
								time.Sleep(responseTime)
								if !isFullAtHead {
									full.begin(p)
								}
								if crashes {
									p.end()
									return
								}
								send(c, event(2))
							})
							g := newFixture(t, &p.upstream)
							if isHandedOn {
								g, _ = newCutFixture(t, &upstream{t: t, listen: g.server.Listener})
								g.knowNoOrigins()
							}
							if crashes {
								g.requireBroken(path, what)
								return
							}
							resp, body := g.do(g.request("POST", path, "x"))
							require.Equal(t, http.StatusOK, resp.StatusCode)
							require.Equal(t, event(1)+event(2), body)
						})
					}
				}
			}
		}
	}
}

// TestEndIsCheckedWhenItIsRead guards against the end of a response that is checked only when a slow client has taken all
// before it: what is known of the upstream by then may be that it has left, or runs again, or is gone.
func TestEndIsCheckedWhenItIsRead(t *testing.T) {
	const numEvents = 40 // 320 KB, more than is held of a plain response before any of it is forwarded
	body := ""
	for n := range numEvents {
		body += largeEvent(n + 1)
	}
	for later, change := range map[string]func(g *slowFixture, p *process){
		"nothing": func(*slowFixture, *process) {},
		"registration vanishes": func(g *slowFixture, _ *process) {
			g.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"u0": nil}, time.Now())
		},
		"says that it leaves": func(g *slowFixture, _ *process) { g.Upstreams.RecordLeaving("u0", 1, time.Now()) },
		"is registered again": func(g *slowFixture, _ *process) {
			next := *g.Upstreams.Snapshot().ByID["u0"]
			next.StartedAtMs = 2
			g.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"u0": &next}, time.Now())
		},
		"listener is closed": func(_ *slowFixture, p *process) { p.end() },
		"runs again": func(_ *slowFixture, p *process) {
			p.end()
			ln, err := net.Listen("tcp4", p.listen.Addr().String())
			require.NoError(p.t, err)
			p.t.Cleanup(func() { _ = ln.Close() })
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_ = c.Close()
				}
			}()
		},
	} {
		for _, crashes := range []bool{false, true} {
			for _, path := range routesOfAllKinds {
				t.Run(fmt.Sprintf("%s/crashes %v%s", later, crashes, path), func(t *testing.T) {
					t.Parallel()
					p := newProcess(t, 0, func(p *process, c net.Conn, r *http.Request) {
						send(c, unframedHead(r)+body[:len(body)-len(largeEvent(numEvents))])
						if crashes {
							p.end()
							return
						}
						send(c, largeEvent(numEvents))
					})
					g := newSlowFixture(t, time.Minute, &p.upstream)
					if parse := g.Codec.ParseRequest; crashes {
						g.Codec.ParseRequest = func(r *http.Request) (RequestInfo, error) {
							info, err := parse(r)
							info.Deadline = 5 * time.Second // there is no other upstream for the rest
							return info, err
						}
					}
					c := g.open(path, "slow")
					isChecked := func() bool {
						found := make(chan prometheus.Metric, 8)
						g.Metrics.unframedEnds.Collect(found)
						return len(found) > 0
					}
					for end := time.Now().Add(2 * time.Second); !isChecked() && time.Now().Before(end); {
						time.Sleep(time.Millisecond)
					}
					change(g, p)
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					require.NoError(t, err)
					got, err := io.ReadAll(resp.Body)
					if crashes {
						require.Error(t, err)
						return
					}
					require.NoError(t, err)
					require.True(t, string(got) == body, "unchanged")
				})
			}
		}
	}
}

// TestCrashOfALeavingUpstreamBreaksItsResponses guards against a response without a length that passes for whole though
// its upstream crashed, since the upstream was leaving, and against one that is cut at an upstream which leaves as planned.
func TestCrashOfALeavingUpstreamBreaksItsResponses(t *testing.T) {
	for known, leave := range map[string]func(g *fixture){
		"says so": func(g *fixture) { g.Upstreams.RecordLeaving("u0", 1, time.Now()) },
		"registration is removed": func(g *fixture) {
			g.Upstreams.ApplyRegistrations(map[string]*registrar.Upstream{"u0": nil}, time.Now())
		},
	} {
		for ending, tt := range map[string]struct {
			end     func(p *process, c net.Conn)
			isWhole bool
		}{
			"crashes":                 {end: func(p *process, _ net.Conn) { p.end() }},
			"goes on":                 {func(*process, net.Conn) {}, true},
			"has closed its listener": {func(p *process, _ net.Conn) { _ = p.listen.Close() }, true},
			"has closed its listener and idle connections": {func(p *process, c net.Conn) {
				p.stopListening(c)
				time.Sleep(responseTime)
			}, true},
			"has no room": {func(p *process, _ net.Conn) { p.resetAfter(0) }, true},
		} {
			for _, path := range routesOfAllKinds {
				t.Run(known+"/"+ending+path, func(t *testing.T) {
					t.Parallel()
					var g *fixture
					p := newProcess(t, 0, func(p *process, c net.Conn, r *http.Request) {
						leave(g)
						send(c, unframedHead(r)+event(1))
						time.Sleep(responseTime)
						tt.end(p, c)
						send(c, event(2))
					})
					g = newFixture(t, &p.upstream)
					if !tt.isWhole {
						g.requireBroken(path, known)
						return
					}
					resp, body := g.do(g.request("POST", path, "x"))
					require.Equal(t, http.StatusOK, resp.StatusCode)
					require.Equal(t, event(1)+event(2), body)
				})
			}
		}
	}
}
