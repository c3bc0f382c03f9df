package courier

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve listens on a local port, runs the handler for each connection, and
// returns the address.
func serve(t *testing.T, handle func(n int, c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(n, c)
		}
	}()
	return ln.Addr().String()
}

func call(t *testing.T, p *Pool, address string) (int, error) {
	t.Helper()
	r, err := p.Call(t.Context(), address, http.MethodGet, "/", nil, nil)
	return r.Status, err
}

const emptyOK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// The bytes of a canceled call must not arrive later, when a network partition
// heals. A reset drops them; an orderly close would still deliver them.
func TestCanceledCallResetsItsConnection(t *testing.T) {
	readErr := make(chan error, 1)
	began := make(chan struct{})
	address := serve(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		close(began)
		_, err := c.Read(make([]byte, 1))
		readErr <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	_, err := (&Pool{}).Call(ctx, address, http.MethodPost, "/", nil, []byte("x"))
	require.ErrorIs(t, err, context.Canceled)
	require.True(t, WasSent(err))
	require.ErrorIs(t, <-readErr, syscall.ECONNRESET)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	_, err = call(t, &Pool{}, address)
	var e *Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.IsDial)
	require.False(t, WasSent(err))
}

func TestIdleConnectionsAreReused(t *testing.T) {
	conns := make(chan int, 8)
	address := serve(t, func(n int, c net.Conn) {
		conns <- n
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, emptyOK)
		}
	})
	p := &Pool{}
	for range 3 {
		_, err := call(t, p, address)
		require.NoError(t, err)
	}
	require.Len(t, conns, 1)
	p.Sweep(time.Now().Add(time.Hour))
	_, err := call(t, p, address)
	require.NoError(t, err)
	require.Len(t, conns, 2)
}

func TestConnectionsThatAreNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"closing":          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"no length":        "HTTP/1.1 200 OK\r\n\r\n",
		"short-lived":      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n",
		"unexpected bytes": emptyOK + emptyOK,
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan int, 8)
			address := serve(t, func(n int, c net.Conn) {
				conns <- n
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, response)
				if name == "no length" {
					_ = c.Close()
				}
			})
			p := &Pool{}
			for range 2 {
				status, err := call(t, p, address)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			}
			require.Len(t, conns, 2)
		})
	}
}

func TestResetResponseIsIncomplete(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := call(t, &Pool{}, address)
	require.Error(t, err)
	require.False(t, errors.Is(err, io.EOF))
}

// TestIdleConnectionsOfABrokenUpstreamAreNotReused guards against a request that is sent, and may
// have run, on an idle connection of an upstream that has just crashed.
func TestIdleConnectionsOfABrokenUpstreamAreNotReused(t *testing.T) {
	crash := make(chan struct{})
	address := serve(t, func(n int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		if n == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			<-crash
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, emptyOK)
		_, _ = c.Read(make([]byte, 1)) // its own end is not noticed yet
	})
	var numDials int
	p := &Pool{OnDial: func(string, time.Duration, error) { numDials++ }}
	resp, err := p.Do(t.Context(), address, &Request{Method: http.MethodGet, Target: "/"})
	require.NoError(t, err)
	defer resp.Body.Close()
	status, err := call(t, p, address)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 2, numDials)
	close(crash)
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second) // the other connection is never answered
	defer cancel()
	_, err = p.Call(ctx, address, http.MethodGet, "/", nil, nil)
	require.NoError(t, err)
	require.Equal(t, 3, numDials, "not on the idle connection")
}
