package courier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndOfAResponseWhoseRequestIsStillWritten guards against a part of a response that looks whole: the error of a
// reset goes to the call that writes the request, and the one that reads sees the end of the connection. A response
// with an end of its own is whole, and so is one whose request was read.
func TestEndOfAResponseWhoseRequestIsStillWritten(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		part   = "part"
		framed = head + "Content-Length: 4\r\n\r\n" + part
	)
	for name, tt := range map[string]struct {
		out     string
		respond func(c net.Conn, r *http.Request)
		isWhole bool
	}{
		"reset after a while": {head + "\r\n" + part, func(c net.Conn, _ *http.Request) {
			time.Sleep(100 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, false},
		"reset at once": {head + "\r\n" + part, func(c net.Conn, _ *http.Request) { _ = c.(*net.TCPConn).SetLinger(0) }, false},
		"closed with a part of the request unread": {head + "\r\n" + part, func(_ net.Conn, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 200_000)
		}, false},
		"nothing more is read": {head + "\r\n" + part, func(net.Conn, *http.Request) { time.Sleep(time.Second) }, false},
		"the request is read to its end": {head + "\r\n" + part, func(_ net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
		}, true},
		"the request is read after the response has ended": {head + "\r\n" + part, func(c net.Conn, r *http.Request) {
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}, true},
		"with a length, and reset after a while": {framed, func(c net.Conn, _ *http.Request) {
			time.Sleep(100 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, size := range []int{512 << 10, 3 << 20} {
				address := serve(t, func(_ int, c net.Conn) {
					defer c.Close()
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, tt.out)
					tt.respond(c, r)
				})
				for range 10 {
					p := &Pool{IDHeader: "Id", UserTimeout: 300 * time.Millisecond}
					resp, err := p.Do(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1", Body: make([]byte, size)})
					var body []byte
					if err == nil {
						body, err = io.ReadAll(resp.Body)
						require.NoError(t, resp.Body.Close())
					}
					if tt.isWhole {
						require.NoError(t, err)
						require.Equal(t, part, string(body))
						continue
					}
					require.Error(t, err, "%d bytes", size)
					require.True(t, WasSent(err))
				}
			}
		})
	}
}

// TestEndOfAResponseAfterAPeekTookTheReset guards against a part of a response that looks whole: the error of a reset went
// to a look at what has arrived, and the read sees the end of the connection.
func TestEndOfAResponseAfterAPeekTookTheReset(t *testing.T) {
	reset := make(chan struct{})
	address := serve(t, func(_ int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n")
		}
		<-reset
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	p := &Pool{IDHeader: "Id"}
	resp, err := p.Do(t.Context(), address, &Request{Method: http.MethodPost, Target: "/", Host: "h", ID: "1"})
	require.NoError(t, err)
	defer resp.Body.Close()
	c := resp.Body.(*body).x.conn
	close(reset)
	require.Eventually(t, func() bool {
		_ = c.hasUnread()
		c.peeking.Lock()
		defer c.peeking.Unlock()
		return c.peekErr != nil
	}, 5*time.Second, time.Millisecond)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}
