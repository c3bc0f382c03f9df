package relayer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/primrosedrift/primrosedrift/internal/stopper"
)

// The connections on which a request is sent on, as labels of metrics.
const (
	hopUpstream = "upstream"
	hopPeer     = "peer"
)

// errClientLeft is the cause of an attempt that was not sent because its client has left.
var errClientLeft = errors.New("the client left before the request was sent")

// presence records when a request was sent on and when its client left.
type presence struct {
	sentAfter time.Duration // from the request's arrival to the last send, 0 if there was none
	leftAfter atomic.Int64  // nanoseconds from its arrival until its context ended, 0 before
	// closeAge is how long the close of its client had been in the socket then, in nanoseconds, -1
	// if that is not known.
	closeAge atomic.Int64
	hasLeft  bool // its client was found to have left right before a send
}

// age returns how long the client's close had been in the socket when it was noticed. It reports false
// if the client has not closed, or that is not known.
func (p *presence) age() (time.Duration, bool) {
	age := time.Duration(p.closeAge.Load())
	return age, p.leftAfter.Load() != 0 && age >= 0
}

// watchClient records when the context of the client's request ends. The result stops it.
func (c *call) watchClient(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		c.presence.closeAge.Store(int64(closeAge(c.clientConn)))
		c.presence.leftAfter.Store(int64(max(1, time.Since(c.arrived))))
	})
}

// checkPresence is called right before each send. It returns errClientLeft if the client, or the
// peer that handed the request on, has closed the connection, and stopper.ErrEnded if the stop of this
// instance has ended the request. The end of the context alone does not
// show that in time: it follows only when the goroutine that reads the connection has run.
func (c *call) checkPresence(ctx context.Context, hop string) error {
	if ctx.Err() == nil && !isClosedByPeer(c.clientConn) {
		c.presence.sentAfter = max(1, time.Since(c.arrived))
		return nil
	}
	if stopper.HasEnded(ctx) {
		return stopper.ErrEnded
	}
	c.presence.hasLeft = true
	c.Metrics.withheldSends.WithLabelValues(c.admission.Service, hop).Inc()
	c.Log.Info("request not sent, its client has left", zap.String("request", c.requestInfo.ID), zap.String("hop", hop), zap.Bool("handed-on", c.handOn.isReceived),
		zap.Bool("noticed", c.presence.leftAfter.Load() != 0), zap.Duration("after", time.Since(c.arrived)))
	return errClientLeft
}

// isGone reports whether the client has left.
func (c *call) isGone(r *http.Request) bool { return r.Context().Err() != nil || c.presence.hasLeft }

// presenceFields returns the fields of the log line about the end of a request.
func (c *call) presenceFields() []zap.Field {
	fields := []zap.Field{zap.Duration("sent", c.presence.sentAfter)}
	if left := c.presence.leftAfter.Load(); left != 0 {
		fields = append(fields, zap.Duration("left", time.Duration(left)))
		if age, ok := c.presence.age(); ok {
			fields = append(fields, zap.Duration("close-age", age))
		}
	}
	return fields
}

// isClosedByPeer reports whether the other end of a connection has closed or reset it. The kernel
// knows that before the goroutine that reads the connection has run. It reports false for a
// connection that is nil.
func isClosedByPeer(conn *net.TCPConn) bool {
	isClosed := false
	control(conn, func(fd int) {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err != nil:
			isClosed = !errors.IsAny(err, unix.EAGAIN, unix.EINTR)
		case n == 0:
			isClosed = true
		default: // the bytes of a next request, which hide the end of the connection
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			isClosed = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
		}
	})
	return isClosed
}

// closeAge returns how long ago the other end of a connection closed it: the time since its last
// segment arrived. It is negative if the connection is not closed, or was reset.
func closeAge(conn *net.TCPConn) time.Duration {
	age := time.Duration(-1)
	control(conn, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT {
			age = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return age
}
