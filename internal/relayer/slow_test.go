package relayer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/primrosedrift/primrosedrift/internal/courier"
)

// TestSlowClientOfAPlainResponseHasUntilItsDeadline guards against a client that reads slowly and steadily and is reset:
// its kernel may acknowledge nothing for many seconds, which looks like a client that takes nothing.
func TestSlowClientOfAPlainResponseHasUntilItsDeadline(t *testing.T) {
	for name, tt := range map[string]struct {
		size  int
		pause time.Duration // until the client's kernel has room again
	}{
		"read ahead":           {256 << 10, minClientTimeout + 2*time.Second},
		"fits into the socket": {40 << 10, 4 * shortUserTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := strings.Repeat("x", tt.size-1)
			up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, body), false })
			g := newSlowFixture(t, 0, up)
			g.listen(t, shortUserTimeout)
			c := g.open("/once/", "slow")
			time.Sleep(tt.pause) // is what is tested
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.True(t, string(got) == body, "unchanged")
		})
	}
}

// shortUserTimeout is a user timeout for clients that are not reachable.
const shortUserTimeout = time.Second

// TestTimeoutOfAReachableClientIsRestored guards against a later request on the connection of a slow client whose end is
// noticed as late as that of a slow one.
func TestTimeoutOfAReachableClientIsRestored(t *testing.T) {
	body := strings.Repeat("x", 256<<10-1)
	up := newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) { return response(r, 200, stamped, body), false })
	g := newSlowFixture(t, 0, up)
	conns := g.listen(t, shortUserTimeout)
	c := g.open("/once/", "slow")
	server := <-conns
	userTimeout := func() (out time.Duration) {
		control(server, func(fd int) {
			ms, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			require.NoError(t, err)
			out = time.Duration(ms) * time.Millisecond
		})
		return out
	}
	require.Eventually(t, func() bool { return userTimeout() > shortUserTimeout }, 10*time.Second, time.Millisecond)
	in := bufio.NewReader(c)
	for _, id := range []string{"", "next"} {
		if id != "" {
			_, err := io.WriteString(c, "POST /other/ HTTP/1.1\r\nHost: h.example\r\n"+hID+": next\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
		}
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
	}
	require.Equal(t, shortUserTimeout, userTimeout())
}

// listen makes the relayer listen with a user timeout, and returns the connections that it accepts.
func (g *slowFixture) listen(t *testing.T, userTimeout time.Duration) <-chan *net.TCPConn {
	lc := net.ListenConfig{Control: courier.SocketControl(userTimeout, testSocketBytes)}
	ln, err := lc.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	conns := make(chan *net.TCPConn, 8)
	s := &http.Server{Handler: g.Relayer, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns <- c.(*net.TCPConn)
		}
	}, ConnContext: WithClientConn}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	g.address = ln.Addr().String()
	return conns
}
