package drainer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

const (
	// DefaultQuiet is how long nothing has arrived on a connection before it is closed. Callers
	// that are told to go elsewhere still use a connection for about their time between requests.
	DefaultQuiet = 500 * time.Millisecond
	// handshakeTime is how long the listener stays open after the last new connection, for
	// handshakes that have begun. It is many round trips within a region.
	handshakeTime = 50 * time.Millisecond
	checkInterval = 10 * time.Millisecond
)

// Drainer closes a server. Its zero value is ready to use; the server must call Track.
type Drainer struct {
	// Quiet is how long nothing has arrived on a connection without a request before it is
	// closed. 0 means DefaultQuiet.
	Quiet time.Duration

	mu    sync.Mutex
	conns map[net.Conn]*connState
	sleep func() // replaces the sleep between two checks in tests
	// beforeClose, if set, is called by tests before connections are closed.
	beforeClose func()
}

// connState is what is known of an open connection.
type connState struct {
	isActive  bool   // it carries a request
	isSeen    bool   // the drainer has checked it since its last change
	received  uint64 // bytes, when it was last checked
	changedAt time.Time
	isClosing bool // a request that arrives now must not be handled
}

// Track records the state of a connection. It is the ConnState function of the server. It panics with
// http.ErrAbortHandler, which ends the connection, if a request arrives that could not be answered.
func (d *Drainer) Track(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(d.conns, c)
		return
	}
	if d.conns == nil {
		d.conns = make(map[net.Conn]*connState)
	}
	st := d.conns[c]
	if st == nil {
		st = &connState{}
		d.conns[c] = st
	}
	if st.isClosing && s == http.StateActive {
		panic(http.ErrAbortHandler) // on the goroutine of the connection, before the handler
	}
	st.isActive, st.isSeen = s == http.StateActive, false
}

// Drain stops accepting connections, closes those without requests when they are quiet, and then
// the server. It returns an error if ctx has ended while requests were running, whose connections
// are closed, or if ln takes no socket filter. A listener with Multipath TCP, which is the
// default of net.ListenConfig, takes none. served must be closed when the server's Serve has returned.
func (d *Drainer) Drain(ctx context.Context, s *http.Server, ln net.Listener, served <-chan struct{}) error {
	err := d.stopAccepting(ctx, ln)
	_ = ln.Close() // the server ends with net.ErrClosed
	select {
	case <-served: // or a connection that was accepted last is not tracked yet
	case <-ctx.Done():
	}
	for ctx.Err() == nil && d.closeQuiet(time.Now()) > 0 {
		d.wait(ctx)
	}
	d.mu.Lock()
	numActive := 0
	for _, st := range d.conns {
		if st.isActive {
			numActive++
		}
	}
	d.mu.Unlock()
	_ = s.Close() // all that is left is to be cut off
	if numActive > 0 {
		err = errors.CombineErrors(errors.Wrapf(context.Cause(ctx), "%d requests are cut off", numActive), err)
	}
	return err
}

// closeQuiet closes the connections that have been quiet, and returns how many are left.
func (d *Drainer) closeQuiet(now time.Time) int {
	quiet := d.Quiet
	if quiet == 0 {
		quiet = DefaultQuiet
	}
	var old []net.Conn
	d.mu.Lock()
	n := len(d.conns)
	for c, st := range d.conns {
		if st.isActive {
			continue
		}
		received := bytesReceived(c)
		if !st.isSeen || st.received != received {
			st.isSeen, st.received, st.changedAt = true, received, now
		} else if now.Sub(st.changedAt) >= quiet {
			st.isClosing = true
			old = append(old, c)
		}
	}
	d.mu.Unlock()
	if d.beforeClose != nil && len(old) > 0 {
		d.beforeClose()
	}
	for _, c := range old {
		_ = c.Close() // the server notices it, and calls Track
	}
	return n
}

// stopAccepting makes the kernel ignore requests for new connections, and returns when the server
// has accepted the others. A client whose first packet is ignored repeats it and is refused,
// so it knows that nothing was sent.
func (d *Drainer) stopAccepting(ctx context.Context, ln net.Listener) error {
	raw, err := rawConn(ln)
	if err != nil {
		return err
	}
	var serr error
	err = raw.Control(func(fd uintptr) {
		serr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, ignoreSYN())
	})
	if err := errors.CombineErrors(err, serr); err != nil {
		return errors.Wrap(err, "attach a filter to the listener")
	}
	for began := time.Now(); ctx.Err() == nil; d.wait(ctx) {
		i := tcpInfo(raw)
		// Of a listener, Unacked is the number of connections that wait to be accepted. The wait may
		// have taken longer than handshakeTime, so the time alone does not show that there are none.
		if hasNone := i == nil || i.Unacked == 0; hasNone && time.Since(began) >= handshakeTime {
			break
		}
	}
	return nil
}

func (d *Drainer) wait(ctx context.Context) {
	if d.sleep != nil {
		d.sleep()
		return
	}
	sleeper.Sleep(ctx, checkInterval)
}

// ignoreSYN returns a socket filter that drops TCP segments with the flag SYN and without ACK. The
// accepted connections inherit the filter and are not affected by it.
func ignoreSYN() *unix.SockFprog {
	const flagsOffset, syn, ack, wholePacket = 13, 0x02, 0x10, 0xffff
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: syn, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholePacket},
	}
	return &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
}

// bytesReceived returns how many bytes have arrived on a connection, 0 if that is not known.
func bytesReceived(c net.Conn) uint64 {
	raw, err := rawConn(c)
	if err != nil {
		return 0
	}
	if i := tcpInfo(raw); i != nil {
		return i.Bytes_received
	}
	return 0
}

func rawConn(c any) (syscall.RawConn, error) {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok { // a connection with TLS
		c = w.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("%T is not a socket", c)
	}
	return sc.SyscallConn()
}

func tcpInfo(raw syscall.RawConn) *unix.TCPInfo {
	var info *unix.TCPInfo
	err := raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil {
		return nil
	}
	return info
}
