package courier

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// arrivedGrace is how long what has arrived may stay unread after a deadline. After a pause of the process, timers
// fire before the goroutines run for which something has arrived meanwhile. The kernel knows what has arrived.
const arrivedGrace = 100 * time.Millisecond

// hasUnread reports whether bytes have arrived on the connection and were not read from its socket. It may be
// called while another goroutine reads.
func (c *conn) hasUnread() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	hasUnread := false
	c.peeking.Lock()
	defer c.peeking.Unlock()
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hasUnread = err == nil && n > 0
		if err != nil && !errors.Is(err, unix.EAGAIN) {
			c.peekErr = err
		}
	})
	return err == nil && hasUnread
}

// abortAt is an abort after the end of a context with the cause. If a deadline has passed, it waits for
// arrivedGrace while there are bytes that have arrived and were not read.
func (c *conn) abortAt(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) && c.hasUnread() {
		time.AfterFunc(arrivedGrace, c.abort)
		return
	}
	c.abort()
}
