package courier

import (
	"bufio"
	"context"
	"io"
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
	// DefaultDialTimeout bounds the time to open a connection. It allows several
	// round trips within a region.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultUserTimeout is how long sent bytes may stay unacknowledged.
	DefaultUserTimeout = 2 * time.Second
	// DefaultMaxIdle is how long an idle connection is kept if the upstream
	// states no keep-alive timeout.
	DefaultMaxIdle = 4 * time.Second
	// keepAliveMargin is how long before its keep-alive timeout a connection is
	// closed, so that no request is sent while the upstream closes it.
	keepAliveMargin = 700 * time.Millisecond
	// DefaultRoomTime is how long a new connection to an upstream that has reset another one within resetTTL has to stay
	// open until a request is sent on it. It is looked at each peekInterval.
	DefaultRoomTime = 10 * time.Millisecond
	resetTTL        = 2 * time.Second
	peekInterval    = time.Millisecond
	// readBufferBytes is enough for the head of a response and a few events.
	readBufferBytes = 4 << 10
)

// Pool reuses idle connections to upstreams. Its zero value is ready to use and
// has the default timeouts.
type Pool struct {
	DialTimeout time.Duration
	UserTimeout time.Duration
	MaxIdle     time.Duration
	RoomTime    time.Duration
	// SocketBytes, if set, is the size of the send and the receive buffer of connections. The
	// kernel doubles it.
	SocketBytes int
	// IDHeader names the header in which a response repeats the request's id. If
	// it is empty, responses are not matched.
	IDHeader string
	// OnDial, if set, is called after each attempt to open a connection.
	OnDial func(address string, took time.Duration, err error)

	mu      sync.Mutex
	idle    map[string][]*conn
	resetAt map[string]time.Time // when a new connection to an address was last reset
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	head        *headLimiter
	r           *bufio.Reader // reads from head
	numRequests int           // that were written on it
	ids         []uint64      // hashes of the ids of these requests
	openedAt    time.Time
	idleAt      time.Time
	maxIdle     time.Duration
	// hasStatedTimeout says that the upstream has stated its keep-alive timeout.
	hasStatedTimeout bool

	// peekErr is the error of the socket that hasUnread was told of, so that no read will be.
	peeking sync.Mutex
	peekErr error
}

// get returns an idle connection to the address if one exists that the request with the id can
// use, and a new one otherwise.
func (p *Pool) get(ctx context.Context, address, id string) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.dialWithRoom(ctx, address)
		}
		isUsable := time.Since(c.idleAt) < c.maxIdle && c.isOpenAndEmpty() && (p.IDHeader == "" || c.canMatch(id))
		if isUsable {
			return c, nil
		}
		_ = c.Close() // not reused, so the error does not matter
		if p.IDHeader != "" && id == "" {
			return p.dialWithRoom(ctx, address) // the others cannot be used either, and are kept for other requests
		}
	}
}

func (p *Pool) popIdle(address string) *conn {
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
	began := time.Now()
	nc, err := p.connect(ctx, address)
	if p.OnDial != nil {
		p.OnDial(address, time.Since(began), err)
	}
	if err != nil {
		return nil, &Error{Address: address, Err: err, IsDial: true, IsNew: true}
	}
	return p.newConn(nc), nil
}

// dialWithRoom opens a connection for a request. An upstream without room may accept a connection and then reset it. If it
// has just done so, the connection is watched for RoomTime first, so that the request is known not to have been sent.
func (p *Pool) dialWithRoom(ctx context.Context, address string) (*conn, error) {
	c, err := p.dial(ctx, address)
	if err != nil || !p.hasReset(address, time.Now()) {
		return c, err
	}
	for end := time.Now().Add(orDefault(p.RoomTime, DefaultRoomTime)); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, peekInterval) {
		if c.peek() == HeldEnded {
			_ = c.Close() // nothing was sent on it
			p.recordReset(address, time.Now())
			return nil, &Error{Address: address, Err: errors.Wrap(syscall.ECONNRESET, "new connection"), IsDial: true, IsNew: true}
		}
	}
	return c, nil
}

// recordReset records that a new connection to an address was reset.
func (p *Pool) recordReset(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resetAt == nil {
		p.resetAt = make(map[string]time.Time)
	}
	p.resetAt[address] = now
}

// hasReset reports whether a new connection to an address was reset within resetTTL.
func (p *Pool) hasReset(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.resetAt[address]
	return ok && now.Sub(at) < resetTTL
}

func (p *Pool) newConn(nc net.Conn) *conn {
	head := &headLimiter{r: nc}
	now := time.Now()
	return &conn{Conn: nc, head: head, r: bufio.NewReaderSize(head, readBufferBytes), openedAt: now, idleAt: now, maxIdle: orDefault(p.MaxIdle, DefaultMaxIdle)}
}

// TryConnect opens a connection to an address and closes it. It does not call OnDial.
func (p *Pool) TryConnect(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	control := SocketControl(orDefault(p.UserTimeout, DefaultUserTimeout), p.SocketBytes)
	return dialWithin(ctx, orDefault(p.DialTimeout, DefaultDialTimeout), "tcp4", address, control)
}

// put adds a connection to the idle ones whose response was read to its end, or that was not used.
func (p *Pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes the connections that have exceeded their idle time.
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
	for address, at := range p.resetAt {
		if now.Sub(at) >= resetTTL {
			delete(p.resetAt, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // no request is in flight on it
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close() // no request is in flight on it
	}
}

// closeIfLost closes the idle connections to an address after an error that shows that the
// upstream may have ended. Their own end may not have arrived yet, and a request that is sent
// on one of them may have run.
func (p *Pool) closeIfLost(address string, err error) {
	if errors.IsAny(err, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE) {
		p.CloseIdle(address)
	}
}

// isOpenAndEmpty reports whether the connection is open and no unread bytes are
// pending on it.
func (c *conn) isOpenAndEmpty() bool { return c.peek() == HeldOpen }

// abort closes the connection with a TCP reset, so that written bytes that have
// not arrived yet are dropped.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Close() // the caller has reported the failure already
}

// applyKeepAlive shortens maxIdle to the keep-alive timeout that a response states.
func (c *conn) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			c.maxIdle = min(c.maxIdle, max(0, time.Duration(s)*time.Second-keepAliveMargin))
			c.hasStatedTimeout = true
		}
	}
}

// UserTimeoutControl returns a control function for a dialer or listener that
// bounds how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT), so that
// a connection to an unreachable peer ends.
func UserTimeoutControl(userTimeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return SocketControl(userTimeout, 0)
}

// SocketControl is a UserTimeoutControl that also sets the size of the send and the receive
// buffer, if it is not 0. Otherwise the kernel lets them grow to several megabytes.
func SocketControl(userTimeout time.Duration, bufferBytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var serr error
		err := c.Control(func(fd uintptr) {
			serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			if bufferBytes > 0 {
				serr = errors.CombineErrors(serr, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes))
				serr = errors.CombineErrors(serr, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes))
			}
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
