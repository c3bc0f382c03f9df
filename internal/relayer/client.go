package relayer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the origin of times that are kept as integers.
var processStart = time.Now()

type clientConnKey struct{}

// clientConn is the connection of a client.
type clientConn struct {
	*net.TCPConn
	// isLast says that the response on it is the last one: requests that follow are refused.
	isLast atomic.Bool
	// userTimeoutMs is the user timeout that it had before allowSlow changed that, 0 if it did not.
	userTimeoutMs atomic.Int64
}

// WithClientConn returns a context that holds the connection of a client. It is the ConnContext
// function of a server whose handler is a Relayer. Without it, only whole writes count as
// progress of a client.
func WithClientConn(ctx context.Context, c net.Conn) context.Context {
	tcp, _ := c.(*net.TCPConn)
	return context.WithValue(ctx, clientConnKey{}, &clientConn{TCPConn: tcp})
}

// clientConnOf returns the connection of the client. Its TCPConn is nil if that is not known.
func clientConnOf(ctx context.Context) *clientConn {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		return c
	}
	return &clientConn{}
}

// resetClient ends the connection to the client with a reset, so that the kernel drops what the
// client has not taken. It ends a write that is blocked.
func (c *call) resetClient() {
	if c.clientConn == nil {
		_ = http.NewResponseController(c.reply.w).SetWriteDeadline(time.Now()) // all that can be done
		return
	}
	_ = c.clientConn.SetLinger(0) // fails only if the connection is closed already
	_ = c.clientConn.Close()
}

const (
	// watchedFactor times the timeout of a slow client is how long the kernel waits for one that this instance
	// watches. The instance ends it much earlier, unless its process is paused: the kernel counts that time.
	watchedFactor = 10
	// unwatchedMargin is added to the timeout when the client is not watched any more, while the end of its
	// response is in the socket.
	unwatchedMargin = time.Second
)

// allowSlow sets how long the kernel waits for a client that acknowledges nothing. Otherwise the user timeout of the
// connection, which is meant for clients that are not reachable, ends slow ones first: the kernel counts it also while
// it waits for the client's window.
func (c *clientConn) allowSlow(timeout time.Duration) {
	control(c.TCPConn, func(fd int) {
		if before, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err == nil {
			c.userTimeoutMs.CompareAndSwap(0, int64(before))
		}
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())) // the shorter one stays in force
	})
}

// restoreTimeout undoes allowSlow for the next request, unless bytes of an earlier response are still in the socket.
func (c *clientConn) restoreTimeout() {
	if c.userTimeoutMs.Load() == 0 {
		return
	}
	control(c.TCPConn, func(fd int) {
		if pending, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err != nil || pending > 0 {
			return
		}
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.userTimeoutMs.Swap(0))) // the longer one stays in force
	})
}

// hasUnsent reports whether bytes in the socket have not been sent, for instance because the client's window is closed.
func (c *clientConn) hasUnsent() bool {
	hasUnsent := false
	control(c.TCPConn, func(fd int) {
		i, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		hasUnsent = err == nil && i.Notsent_bytes > 0
	})
	return hasUnsent
}

// bytesAcked returns how many bytes the client has acknowledged, 0 if that is not known.
func bytesAcked(c *net.TCPConn) uint64 {
	acked := uint64(0)
	control(c, func(fd int) {
		if i, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acked = i.Bytes_acked
		}
	})
	return acked
}

func control(c *net.TCPConn, f func(fd int)) {
	if c == nil {
		return
	}
	var raw syscall.RawConn
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails only if the connection is closed
}
