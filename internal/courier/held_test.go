package courier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeldConnectionShowsItsEnd guards against a second connection that still counts as open after the other end has
// closed it, also when it is asked more than once.
func TestHeldConnectionShowsItsEnd(t *testing.T) {
	for name, tt := range map[string]struct {
		end  func(c net.Conn)
		want HeldState
	}{
		"open":   {func(net.Conn) {}, HeldOpen},
		"closed": {func(c net.Conn) { _ = c.Close() }, HeldEnded},
		"reset":  {func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, HeldEnded},
		"bytes":  {func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 408 X\r\n\r\n"); _ = c.Close() }, HeldUnusable},
	} {
		t.Run(name, func(t *testing.T) {
			mayEnd := make(chan struct{})
			address := serve(t, func(_ int, c net.Conn) {
				<-mayEnd
				tt.end(c)
			})
			h, err := (&Pool{}).Hold(t.Context(), address, time.Now())
			require.NoError(t, err)
			defer h.Close()
			require.Equal(t, HeldOpen, h.State())
			close(mayEnd)
			require.Eventually(t, func() bool { return h.State() == tt.want }, 5*time.Second, time.Millisecond)
			require.Equal(t, tt.want, h.State())
		})
	}
}

// TestHoldTakesIdleConnectionsThatAreRecentEnough guards against an idle connection to an earlier process of the
// address that counts as one to the present process.
func TestHoldTakesIdleConnectionsThatAreRecentEnough(t *testing.T) {
	numConns := make(chan int, 8)
	address := serve(t, func(n int, c net.Conn) {
		numConns <- n + 1
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, emptyOK)
		}
	})
	p := &Pool{}
	before := time.Now()
	_, err := call(t, p, address)
	require.NoError(t, err)
	h, err := p.Hold(t.Context(), address, before)
	require.NoError(t, err)
	h.Release()
	h, err = p.Hold(t.Context(), address, time.Now())
	require.NoError(t, err)
	h.Release()
	_, err = call(t, p, address)
	require.NoError(t, err)
	require.Equal(t, 1, <-numConns)
	require.Equal(t, 2, <-numConns)
	require.Empty(t, numConns, "a connection that was released is used for requests")
}

// TestListeningOfEachPeer guards against an upstream that has no room for new connections and is taken for one that has
// ended, and the reverse.
func TestListeningOfEachPeer(t *testing.T) {
	reset := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	t.Run("listens", func(t *testing.T) {
		address := serve(t, func(_ int, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
		require.Equal(t, ListeningOpens, (&Pool{}).TryListening(t.Context(), address))
	})
	t.Run("has no room", func(t *testing.T) {
		address := serve(t, func(_ int, c net.Conn) { reset(c) })
		require.Equal(t, ListeningResets, (&Pool{}).TryListening(t.Context(), address))
	})
	t.Run("has room again", func(t *testing.T) {
		address := serve(t, func(n int, c net.Conn) {
			if n == 0 {
				reset(c)
			}
		})
		require.Equal(t, ListeningOpens, (&Pool{}).TryListening(t.Context(), address))
	})
	t.Run("has ended", func(t *testing.T) {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, ln.Close())
		require.Equal(t, ListeningRefused, (&Pool{}).TryListening(t.Context(), ln.Addr().String()))
	})
	t.Run("is ending", func(t *testing.T) {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		time.AfterFunc(10*time.Millisecond, func() { _ = ln.Close() })
		require.Equal(t, ListeningRefused, (&Pool{}).TryListening(t.Context(), ln.Addr().String()))
	})
	t.Run("not reached", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		address := serve(t, func(int, net.Conn) {})
		require.Equal(t, ListeningUnknown, (&Pool{}).TryListening(ctx, address))
	})
}

// TestNewConnectionIsWatchedAfterAReset guards against a request that is sent on a connection which the upstream is about
// to reset for want of room, as the one before, and against a delay at an upstream that resets none.
func TestNewConnectionIsWatchedAfterAReset(t *testing.T) {
	var isFull atomic.Bool
	isFull.Store(true)
	address := serve(t, func(_ int, c net.Conn) {
		if isFull.Load() {
			time.Sleep(2 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		}
		_ = c.Close()
	})
	p := &Pool{RoomTime: time.Second}
	_, err := call(t, p, address)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.True(t, WasSent(err))
	for range 5 {
		_, err = call(t, p, address)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.False(t, WasSent(err))
	}
	isFull.Store(false)
	_, err = call(t, p, address)
	require.NoError(t, err)
	require.True(t, p.hasReset(address, time.Now()))
	require.False(t, p.hasReset(address, time.Now().Add(resetTTL)))
	p.Sweep(time.Now().Add(resetTTL))
	require.Empty(t, p.resetAt)
}
