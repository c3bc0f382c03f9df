package relayer

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
)

const (
	// slowWriteDelay is how long a write to the client may take until the response is read
	// ahead. It is far below the seconds after which upstreams cut off unread responses, and
	// above the pauses of a machine with a small share of a core.
	slowWriteDelay = 100 * time.Millisecond
	// checkInterval is the time between two checks of all responses, and progressInterval that
	// between two checks of a client that is slow.
	checkInterval    = 50 * time.Millisecond
	progressInterval = 250 * time.Millisecond
	// maxCheckDelay is how late a check may be. With a seventh of a core the process waits up to
	// 86 ms for its next share of a period of 100 ms.
	maxCheckDelay = 150 * time.Millisecond
	// chunkBytes is the size of the pieces in which a response is read ahead. A piece that
	// has less than minChunkRoom left is not read into.
	chunkBytes   = 4 << 10
	minChunkRoom = 512
	// copyBytes is the size of the buffer for the rest of a plain response.
	copyBytes = 32 << 10
	// clientTimeoutFactor is how many event timeouts may pass without an acknowledged byte until
	// a client counts as stalled. A slow client acknowledges in steps, since its kernel opens
	// a closed window only when a part of the receive buffer is free.
	clientTimeoutFactor = 4
	// minClientTimeout is the least of that time for routes without an event timeout. Their clients wait until the deadline,
	// and a slow one may acknowledge nothing until its receive buffer of some 100 KB is nearly empty.
	minClientTimeout = 8 * time.Second
)

var (
	// errStreamStalled ends an attempt whose stream brings bytes at most, and no event.
	errStreamStalled = errors.New("no whole event within the event timeout")
	// errClientStalled ends a response whose client acknowledges nothing.
	errClientStalled = errors.New("the client takes nothing")
	// errMadeRoom ends the response that has made no progress for the longest when the
	// buffers are full.
	errMadeRoom = errors.New("buffers full, and longest without progress")
)

// isEndedHere reports whether this instance has ended the response because of its client.
func isEndedHere(err error) bool {
	return errors.Is(err, errClientStalled) || errors.Is(err, errMadeRoom)
}

// isTaken is the value of writeBegan when a response is read ahead.
const isTaken = -1

// readAhead reads the body of a response for the goroutine that forwards it. As long as the
// client keeps up, that goroutine reads the body itself. When a write to the client takes longer
// than slowWriteDelay, another goroutine goes on reading into chunks, to the end of the
// response. It also ends an attempt that brings no events, and a response whose client stalls.
// All responses of an instance are checked by one goroutine of the Buffers.
//
// Times are in nanoseconds since the process started.
type readAhead struct {
	c    *call
	body io.ReadCloser
	// releaseSlot releases the slot at the upstream, nil if the response is from a peer.
	releaseSlot func()
	// eventTimeout bounds the time without a whole event, 0 for no bound, and clientTimeout
	// that without an acknowledged byte.
	eventTimeout, clientTimeout time.Duration
	// cutTimeout is the bound without a whole event while the links are cut, 0 for eventTimeout.
	cutTimeout time.Duration
	watch      eventWatch // of the goroutine that reads the body
	isAhead    bool       // of the goroutine that forwards: writeBegan is isTaken
	eventAt    int64      // of the same: when it has read a whole event, until that is written
	lastEvent  atomic.Int64
	writeBegan atomic.Int64 // 0 if no write to the client runs, isTaken at the end
	progressAt atomic.Int64 // when the client last acknowledged something, if it is read ahead
	// checkAt is the time of the next check of the client, and acked is how many bytes it had
	// acknowledged at the last one. They are of the goroutine that checks.
	checkAt int64
	acked   uint64

	mu        sync.Mutex
	isClosed  bool
	ready     sync.Cond // signals chunks, readErr and endErr
	chunks    [][]byte  // read ahead
	start     int       // of the bytes in the first chunk that are not forwarded yet
	readErr   error     // after the bytes in chunks
	stallErr  error     // replaces the error of a read
	endErr    error     // why this instance has ended the response
	isReset   bool      // the connection to the client is about to be reset
	isWritten bool      // all of the response has been written
	isWaiting bool      // the client has been sent all there is
	held      int64     // reserved of the buffers
}

// now returns the time since the process started.
func now() int64 { return int64(time.Since(processStart)) }

// readAhead returns the reader for a response. isComplete says that its body was read to the end.
func (c *call) readAhead(resp *courier.Response, isStream, isComplete bool) *readAhead {
	a := &readAhead{c: c, body: resp.Body, clientTimeout: clientTimeoutFactor * c.route.EventTimeout}
	if !c.handOn.isRunning {
		a.releaseSlot = c.releaseSlot
	}
	a.ready.L = &a.mu
	a.lastEvent.Store(now())
	if a.clientTimeout == 0 {
		a.clientTimeout = max(minClientTimeout, time.Until(c.deadline))
	}
	if isComplete {
		a.readErr = io.EOF
	}
	if isStream {
		a.eventTimeout = c.route.EventTimeout
	}
	if c.route.IsResumable {
		// In time to send the rest from another upstream before the client gives up.
		a.eventTimeout -= min(clientTimeoutMargin, a.eventTimeout/8)
		if !c.handOn.isRunning {
			a.cutTimeout = max(cutTimeout, cutEventGaps*c.route.MaxEventGap)
		}
	}
	c.Buffers.watch(a)
	return a
}

// Read implements io.Reader.
func (a *readAhead) Read(p []byte) (int, error) {
	if a.isAhead {
		return a.readChunk(p)
	}
	n, err := a.body.Read(p)
	a.observe(p[:n])
	if err != nil {
		err = a.readError(err)
	}
	return n, err
}

func (a *readAhead) observe(b []byte) {
	if a.eventTimeout > 0 && a.watch.observe(b) {
		a.eventAt = now()
		a.lastEvent.Store(a.eventAt)
	}
}

// readError returns the error of a read, with the cause if it was ended here.
func (a *readAhead) readError(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stallErr != nil {
		return a.stallErr
	}
	return err
}

// startWrite must be called before a write to the client, and endWrite after it.
func (a *readAhead) startWrite() {
	if a.isAhead {
		return
	}
	at := a.eventAt // the clock is read once for an event that is written at once
	if at == 0 {
		at = now()
	}
	a.eventAt = 0
	a.writeBegan.Store(at)
}

func (a *readAhead) endWrite() {
	switch {
	case a.isAhead:
		a.progressAt.Store(now())
	case a.writeBegan.Swap(0) == isTaken:
		a.isAhead = true
		a.writeBegan.Store(isTaken)
	}
}

// write writes bytes to the client.
func (a *readAhead) write(b []byte) error {
	a.startWrite()
	_, err := a.c.reply.Write(b)
	a.endWrite()
	if err != nil {
		return a.causeOf(err)
	}
	return nil
}

// copyRest forwards the rest of a plain response.
func (a *readAhead) copyRest() error {
	buf := make([]byte, copyBytes)
	for {
		n, rerr := a.Read(buf)
		if n > 0 {
			if err := a.write(buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(rerr, io.EOF):
			return nil
		case rerr != nil:
			return rerr
		}
	}
}

// causeOf returns why a write failed.
func (a *readAhead) causeOf(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.endErr != nil {
		return a.endErr
	}
	return err
}

// finish is close once all of the response has been written. It returns why the response must not be completed: the
// connection is about to be reset, and another request on it would be passed on and get no answer. If the client has
// taken the response after it was ended and before the reset, it is completed, as the last one of its connection.
func (a *readAhead) finish() error {
	a.mu.Lock()
	if a.isReset {
		a.mu.Unlock()
		a.close()
		return a.endErr
	}
	a.isWritten = true
	if a.endErr != nil {
		a.c.client.isLast.Store(true)
	}
	a.mu.Unlock()
	a.close()
	if !a.isAhead && a.c.client.hasUnsent() {
		a.c.client.allowSlow(a.clientTimeout + unwatchedMargin) // a response that fits into the socket
	}
	return nil
}

// close releases what is held. The body is closed by the caller.
func (a *readAhead) close() {
	a.mu.Lock()
	wasClosed := a.isClosed
	a.isClosed = true
	a.releaseLocked()
	a.mu.Unlock()
	a.c.Buffers.unwatch(a)
	if a.isAhead && !wasClosed {
		a.c.client.allowSlow(a.clientTimeout + unwatchedMargin)
	}
}

func (a *readAhead) releaseLocked() {
	a.c.Buffers.used.Add(-a.held)
	a.held, a.chunks, a.start = 0, nil, 0
}

// check runs on the goroutine that checks all responses.
func (a *readAhead) check(at int64) {
	began := a.writeBegan.Load()
	switch {
	case began == isTaken:
		a.checkEvent(at)
		a.checkClient(at)
	case began == 0:
		a.checkEvent(at)
	case at-began >= int64(slowWriteDelay):
		a.progressAt.Store(began)
		a.acked = bytesAcked(a.c.clientConn)
		if a.writeBegan.CompareAndSwap(began, isTaken) {
			go a.run()
		}
	}
}

// checkEvent ends the attempt if its upstream has sent no whole event for too long.
func (a *readAhead) checkEvent(at int64) {
	pause := time.Duration(at - a.lastEvent.Load())
	why := errStreamStalled
	switch {
	case a.eventTimeout == 0 || a.c.isEndRead.Load():
		return
	case pause >= a.eventTimeout:
	case a.cutTimeout > 0 && pause >= a.cutTimeout && a.c.Links.IsCut():
		why = errLinksCut
	default:
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readErr == nil && a.stallErr == nil && !a.isClosed {
		a.stallErr = why
		_ = a.body.Close() // resets the connection, which ends the read
	}
}

// checkClient records progress of the client, and ends the response if it has stalled.
func (a *readAhead) checkClient(at int64) {
	if at < a.checkAt {
		return
	}
	a.checkAt = at + int64(progressInterval)
	acked := bytesAcked(a.c.clientConn)
	a.mu.Lock()
	hasProgress := acked != a.acked || a.isWaiting
	a.mu.Unlock()
	a.acked = acked
	if hasProgress {
		a.progressAt.Store(at)
	}
	if at-a.progressAt.Load() >= int64(a.clientTimeout) {
		a.end(errClientStalled)
	}
}

// run reads the response ahead until its end.
func (a *readAhead) run() {
	a.c.client.allowSlow(watchedFactor * a.clientTimeout)
	if err := a.reserve(clientSocketBytes); err != nil {
		a.end(errMadeRoom)
		return
	}
	a.c.Buffers.markSlow(a)
	for {
		a.mu.Lock()
		if a.isClosed || a.endErr != nil || a.readErr != nil {
			a.mu.Unlock()
			return
		}
		var room []byte // behind the last chunk, where the goroutine that forwards does not read
		if n := len(a.chunks); n > 0 {
			last := a.chunks[n-1]
			room = last[len(last):cap(last)]
		}
		a.mu.Unlock()
		if len(room) < minChunkRoom {
			if a.reserve(chunkBytes) != nil {
				a.end(errMadeRoom)
				return
			}
			chunk := make([]byte, 0, chunkBytes)
			a.mu.Lock()
			a.chunks = append(a.chunks, chunk)
			a.mu.Unlock()
			room = chunk[:chunkBytes]
		}
		n, err := a.body.Read(room)
		a.observe(room[:n])
		if err != nil {
			err = a.readError(err)
		}
		a.mu.Lock()
		if last := len(a.chunks) - 1; last >= 0 { // none if it has ended
			a.chunks[last] = a.chunks[last][:len(a.chunks[last])+n]
		}
		a.readErr = err
		a.ready.Broadcast()
		a.mu.Unlock()
		if (errors.Is(err, io.EOF) || a.c.isEndRead.Load()) && a.releaseSlot != nil {
			a.releaseSlot() // the upstream has done its work, however long the client takes
		}
	}
}

// readChunk reads what was read ahead.
func (a *readAhead) readChunk(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.endErr != nil {
			return 0, a.endErr
		}
		if len(a.chunks) > 0 && a.start < len(a.chunks[0]) {
			n := copy(p, a.chunks[0][a.start:])
			a.start += n
			return n, nil
		}
		if len(a.chunks) > 1 {
			a.chunks[0] = nil // or the array keeps it
			a.chunks, a.start = a.chunks[1:], 0
			a.held -= chunkBytes
			a.c.Buffers.used.Add(-chunkBytes)
			continue
		}
		if a.readErr != nil {
			return 0, a.readErr
		}
		a.isWaiting = true
		a.ready.Wait()
		a.isWaiting = false
	}
}

// heldBytes returns how many bytes of the buffers the response holds.
func (a *readAhead) heldBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// reserve reserves bytes of the buffers.
func (a *readAhead) reserve(n int64) error {
	if err := a.c.Buffers.reserve(n); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed || a.endErr != nil {
		a.c.Buffers.used.Add(-n)
		return nil // the loop in run ends
	}
	a.held += n
	return nil
}

// end ends the response: it resets the connections to the upstream and to the client.
func (a *readAhead) end(why error) {
	a.mu.Lock()
	if a.endErr != nil || a.isClosed {
		a.mu.Unlock()
		return
	}
	held, isRead := a.held, a.readErr != nil
	a.endErr = why
	a.releaseLocked()
	a.ready.Broadcast()
	a.mu.Unlock()
	a.c.Buffers.unwatch(a)
	c := a.c
	c.Log.Warn("slow response ended", zap.String("request", c.requestInfo.ID), zap.String("route", c.route.Name), zap.NamedError("why", why),
		zap.Duration("without-progress", time.Duration(now()-a.progressAt.Load())), zap.Duration("limit", a.clientTimeout),
		zap.Int64("held", held), zap.Int64("held-by-all", c.Buffers.used.Load()), zap.Int64("bound", c.Buffers.limit()),
		zap.Int("slow", c.Buffers.numSlow()), zap.Bool("read-to-end", isRead))
	c.Metrics.recordEnded(why)
	_ = a.body.Close()
	a.mu.Lock()
	a.isReset = !a.isWritten
	isReset := a.isReset
	a.mu.Unlock()
	if isReset {
		c.resetClient()
	}
}
