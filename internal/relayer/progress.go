package relayer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// headerProgress is in a request that is handed on by an instance that takes informational
	// responses. It applies to the connection alone, so that peers without it drop it.
	headerProgress = "Primrosedrift-Progress"
	// progressResponseInterval is the time between two informational responses.
	progressResponseInterval = 200 * time.Millisecond
	// progressTimeout is how long they may stay unacknowledged.
	progressTimeout = time.Second

	progressResponse = "HTTP/1.1 102 Processing\r\n\r\n"
)

// progress sends informational responses to the instance that handed a request on, until the
// response begins. A reset says only once that the request is canceled; if it is lost, or the
// instance has ended, the next informational response shows it, since its own kernel answers with a
// reset or does not acknowledge.
type progress struct {
	mu     sync.Mutex
	isOver bool // the response begins, nothing else may be written
	ended  chan struct{}
}

// askForProgress adds the header to a request that is handed on.
func askForProgress(h http.Header) {
	h.Set("Connection", headerProgress)
	h.Set(headerProgress, "1")
}

// startProgress begins to send informational responses if the peer takes them.
func (c *call) startProgress(ctx context.Context) {
	if !c.handOn.takesProgress || c.clientConn == nil {
		return
	}
	control(c.clientConn, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(progressTimeout.Milliseconds())) // the longer one stays in force
	})
	c.reply.progress = &progress{ended: make(chan struct{})}
	go c.reply.progress.run(ctx, c.clientConn, c.cancel)
}

func (p *progress) run(ctx context.Context, conn io.Writer, cancel context.CancelFunc) {
	tick := time.NewTicker(progressResponseInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.ended:
			return
		case <-tick.C:
		}
		if !p.write(conn) {
			cancel()
			return
		}
	}
}

// write sends one informational response, unless the response has begun. It reports false if the
// connection is broken.
func (p *progress) write(conn io.Writer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isOver {
		return true
	}
	_, err := io.WriteString(conn, progressResponse)
	return err == nil
}

// stop ends the informational responses. It must be called before the response begins, and may
// be called again. A nil progress has none.
func (p *progress) stop() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOver {
		p.isOver = true
		close(p.ended)
	}
}
