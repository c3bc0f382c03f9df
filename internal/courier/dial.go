package courier

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// maxDialGraces bounds how often an attempt to connect that the other end does not hold up is given arrivedGrace
// more.
const maxDialGraces = 10

// DialContext returns a function that opens connections for an http.Transport. The timeout bounds how long the
// other end may take, not this process.
func DialContext(timeout time.Duration, control func(network, address string, c syscall.RawConn) error) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialWithin(ctx, timeout, network, address, control)
	}
}

// dialWithin opens a connection. The timeout bounds how long the other end may take: an attempt that waits for
// the process itself goes on.
func dialWithin(ctx context.Context, timeout time.Duration, network, address string, control func(network, address string, c syscall.RawConn) error) (net.Conn, error) {
	dctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var socket atomic.Pointer[syscall.RawConn]
	d := net.Dialer{KeepAlive: -1, Control: func(network, address string, c syscall.RawConn) error {
		socket.Store(&c)
		return control(network, address, c)
	}}
	go func() {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		for numGraces := 0; ; numGraces++ {
			select {
			case <-dctx.Done():
				return
			case <-timer.C:
			}
			if numGraces == maxDialGraces || isUnanswered(socket.Load()) {
				cancel(os.ErrDeadlineExceeded)
				return
			}
			timer.Reset(arrivedGrace)
		}
	}()
	c, err := d.DialContext(dctx, network, address)
	if err != nil && errors.Is(context.Cause(dctx), os.ErrDeadlineExceeded) {
		err = errors.Wrapf(os.ErrDeadlineExceeded, "dial %s", address) // not the cancellation
	}
	return c, err
}

// isUnanswered reports whether the other end has not responded to the first segment of a socket, which may be
// nil before that is sent.
func isUnanswered(socket *syscall.RawConn) bool {
	if socket == nil {
		return false
	}
	isUnanswered := true // also if the state cannot be read
	_ = (*socket).Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isUnanswered = err != nil || info.State == unix.BPF_TCP_SYN_SENT
	})
	return isUnanswered
}
