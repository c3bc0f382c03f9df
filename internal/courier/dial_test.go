package courier

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestDialDoesNotBlameTheOtherEnd guards against a connection that counts as failed because this process
// was late, paused or without processor time, before it sent the first segment.
func TestDialDoesNotBlameTheOtherEnd(t *testing.T) {
	const timeout, pause = 10 * time.Millisecond, 250 * time.Millisecond
	address := serve(t, func(_ int, c net.Conn) { _ = c.Close() })
	c, err := DialContext(timeout, func(string, string, syscall.RawConn) error {
		<-time.After(pause)
		return nil
	})(t.Context(), "tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.Close())
}

// TestDialEndsIfTheOtherEndIsSilent guards against an attempt to connect that is extended although
// its timeout has passed without a response.
func TestDialEndsIfTheOtherEndIsSilent(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer func() { _ = unix.Close(fd) }()
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*unix.SockaddrInet4).Port}).String()
	p := &Pool{DialTimeout: 50 * time.Millisecond}
	for { // until the queue of connections that wait for being accepted is full
		c, err := p.connect(t.Context(), address)
		if err != nil {
			require.True(t, os.IsTimeout(errors.UnwrapAll(err)), "%v", err)
			require.NotErrorIs(t, err, context.Canceled, "it counts as a failure of the link")
			return
		}
		defer c.Close()
	}
}
