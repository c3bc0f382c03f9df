package courier

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Defaults of a Pool.
const (
	// DefaultDialTimeout bounds the wait for a new connection: several round
	// trips within a region.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultUserTimeout is how long sent bytes may stay unacknowledged.
	DefaultUserTimeout = 2 * time.Second
	// DefaultMaxIdle is how long a connection without a stated timeout is kept.
	DefaultMaxIdle = 4 * time.Second
	// keepAliveMargin is how long before its stated timeout a connection is
	// given up, for requests that cross the upstream's close.
	keepAliveMargin = 700 * time.Millisecond
	// readBuffer holds the head of an answer and a few events, in bytes.
	readBuffer = 4 << 10
)

// Pool keeps connections to upstreams. Its zero value is ready to use.
type Pool struct {
	DialTimeout time.Duration
	UserTimeout time.Duration
	MaxIdle     time.Duration
	// IDHeader names the header by which answers are told apart.
	IDHeader string
	// OnDial, if set, hears of each new connection.
	OnDial func(address string, took time.Duration, err error)

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	r       *bufio.Reader
	used    bool // a request was answered on it
	idleAt  time.Time
	maxIdle time.Duration
}

// get returns a connection to the address, a kept one if there is a sound one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Since(c.idleAt) < c.maxIdle && c.isQuiet() {
			return c, nil
		}
		_ = c.Close() // unusable either way
	}
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	timeout := orDefault(p.DialTimeout, DefaultDialTimeout)
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: Control(orDefault(p.UserTimeout, DefaultUserTimeout))}
	began := time.Now()
	nc, err := d.DialContext(ctx, "tcp4", address)
	if p.OnDial != nil {
		p.OnDial(address, time.Since(began), err)
	}
	if err != nil {
		return nil, &Error{Address: address, Err: err, IsDial: true}
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBuffer), maxIdle: orDefault(p.MaxIdle, DefaultMaxIdle)}, nil
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(address string, c *conn) {
	c.idleAt = time.Now()
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleAt) < c.maxIdle {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // nothing is under way on it
	}
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // nothing is under way on it
	}
}

// isQuiet reports whether the connection is open and holds no bytes.
func (c *conn) isQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// abort closes the connection with a reset, so that nothing that was written on
// it arrives any more.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = c.Close() // what failed has been reported already
}

// noteKeepAlive takes over the idle timeout that an answer states.
func (c *conn) noteKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			c.maxIdle = min(c.maxIdle, max(0, time.Duration(s)*time.Second-keepAliveMargin))
		}
	}
}

// Control returns a dialer's or listener's control function that bounds how
// long sent bytes may stay unacknowledged, so that a connection to a peer that
// has fallen silent ends.
func Control(userTimeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var serr error
		err := c.Control(func(fd uintptr) {
			serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.CombineErrors(err, serr)
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
