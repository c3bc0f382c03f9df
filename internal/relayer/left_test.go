package relayer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newConnPair returns both ends of a TCP connection.
func newConnPair(t *testing.T) (server, client *net.TCPConn) {
	listen, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listen.Close()
	c, err := net.Dial("tcp4", listen.Addr().String())
	require.NoError(t, err)
	s, err := listen.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = s.Close()
	})
	return s.(*net.TCPConn), c.(*net.TCPConn)
}

// TestIsClosedByPeer guards against a client that counts as present after it closed its connection.
func TestIsClosedByPeer(t *testing.T) {
	for name, tt := range map[string]struct {
		end  func(c *net.TCPConn) error
		sent string
		want bool
	}{
		"open":                    {},
		"open, next request":      {sent: "GET"},
		"closed":                  {end: (*net.TCPConn).Close, want: true},
		"closed, next request":    {end: (*net.TCPConn).Close, sent: "GET", want: true},
		"half closed":             {end: (*net.TCPConn).CloseWrite, want: true},
		"reset":                   {end: reset, want: true},
		"reset after the request": {end: reset, sent: "GET", want: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, c := newConnPair(t)
			_, err := c.Write([]byte(tt.sent))
			require.NoError(t, err)
			require.False(t, isClosedByPeer(s))
			if tt.end != nil {
				require.NoError(t, tt.end(c))
			}
			if tt.want {
				require.Eventually(t, func() bool { return isClosedByPeer(s) }, 10*time.Second, time.Millisecond)
			}
			require.Equal(t, tt.want, isClosedByPeer(s))
		})
	}
	require.False(t, isClosedByPeer(nil))
}

func reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}

// TestEndOfARequestStatesWhenItsClientLeft guards against log lines from which it cannot be told
// whether a request was sent before or after its client left.
func TestEndOfARequestStatesWhenItsClientLeft(t *testing.T) {
	c := &call{arrived: time.Now()}
	c.observeSend(hopUpstream)
	require.Len(t, c.presenceFields(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer c.watchClient(ctx)()
	cancel()
	require.Eventually(t, func() bool { return len(c.presenceFields()) == 2 }, 10*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, time.Duration(c.presence.leftAfter.Load()), c.presence.sentAfter)
}
