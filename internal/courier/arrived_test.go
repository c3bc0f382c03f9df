package courier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// pausedCallEnv holds the address that a child process of a test calls.
	pausedCallEnv   = "COURIER_TEST_PAUSED_CALL"
	pausedDeadline  = 500 * time.Millisecond
	pausedExtraTime = 300 * time.Millisecond
)

// TestMain makes a call and prints the response if it runs in a child process.
func TestMain(m *testing.M) {
	address := os.Getenv(pausedCallEnv)
	if address == "" {
		os.Exit(m.Run())
	}
	ctx, cancel := context.WithTimeout(context.Background(), pausedDeadline)
	defer cancel()
	r, err := new(Pool).Call(ctx, address, http.MethodGet, "/", nil, nil)
	if err != nil {
		_, _ = os.Stdout.WriteString(err.Error())
		return
	}
	_, _ = os.Stdout.Write(r.Body)
}

// TestResponseThatArrivesDuringAPauseIsRead guards against a process that stood still and then ends a call
// at its deadline, although the response had arrived before.
func TestResponseThatArrivesDuringAPauseIsRead(t *testing.T) {
	for range 3 {
		requests := make(chan net.Conn)
		address := serve(t, func(_ int, c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				requests <- c
			}
		})
		child := exec.CommandContext(t.Context(), os.Args[0])
		child.Env = append(os.Environ(), pausedCallEnv+"="+address, "GOMAXPROCS=1")
		out, err := child.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, child.Start())
		c := <-requests
		began := time.Now()
		require.NoError(t, child.Process.Signal(syscall.SIGSTOP))
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		require.NoError(t, err)
		<-time.After(time.Until(began.Add(pausedDeadline + pausedExtraTime))) // the length of the pause
		require.NoError(t, child.Process.Signal(syscall.SIGCONT))
		got, err := io.ReadAll(out)
		require.NoError(t, err)
		require.NoError(t, child.Wait())
		_ = c.Close()
		require.Equal(t, "whole", string(got))
	}
}

// TestCanceledRequestReadsNothing guards against a request that goes on after its client has left because
// a part of the response has arrived, and against one that goes on without end after its deadline.
func TestCanceledRequestReadsNothing(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn) { _, _ = io.WriteString(c, "part") })
	for cause, isRead := range map[error]bool{context.Canceled: false, context.DeadlineExceeded: true} {
		c, err := new(Pool).dial(t.Context(), address)
		require.NoError(t, err)
		require.Eventually(t, c.hasUnread, time.Minute, time.Millisecond)
		c.abortAt(cause)
		_, err = io.ReadFull(c, make([]byte, len("part")))
		require.Equal(t, isRead, err == nil)
		_, err = c.Read(make([]byte, 1))
		require.Error(t, err, "at the latest after the grace")
	}
}
