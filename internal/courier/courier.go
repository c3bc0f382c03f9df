package courier

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxSyncWriteBytes is the size up to which a request is written before its
	// response is read; it fits into the socket buffers of both ends.
	maxSyncWriteBytes = 16 << 10
	// maxSkippedResponses bounds the responses that are skipped: those to other
	// requests, and informational ones (status 1xx).
	maxSkippedResponses = 2
	// maxSkippedBytes bounds the body of a response that is skipped.
	maxSkippedBytes = 64 << 10
)

// Request is a request as it is sent to an upstream.
type Request struct {
	Method string
	Host   string
	// Target is the request target, query included, as the client sent it.
	Target string
	// Header must hold no headers of the connection or the framing.
	Header http.Header
	Body   []byte
	// HasBody says that the request has a Content-Length header, even for an
	// empty body.
	HasBody bool
	// ID is the value that the response must carry in the pool's IDHeader.
	ID string
	// TakesProgress says that the receiver sends informational responses (status 1xx) for as long
	// as it works on the request. Otherwise a few of them are skipped.
	TakesProgress bool
	// MaySend, if set, is called when the connection is open, right before the request is
	// written. If it returns an error, no byte is sent.
	MaySend func() error
}

// Response is an upstream's response. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the response is complete, or has no length.
	Body io.ReadCloser
	// HasLength says that the framing marks the end of the response. Otherwise it ends with its connection,
	// which an upstream that crashes may close in order as well.
	HasLength bool
	// IsMatched says that the response carries the request's id.
	IsMatched bool
	// OpenedAt is when the connection was established.
	OpenedAt time.Time

	conn *conn
}

// Error is a failure to send a request or to read its response.
type Error struct {
	Address string
	Err     error
	// IsDial says that no connection was established, or that it was reset before it was used.
	IsDial bool
	// IsNew says that the connection was opened for the request, or was to be.
	IsNew bool
	// IsSent says that a byte of the request may have been sent.
	IsSent bool
}

func (e *Error) Error() string {
	when := "before the request was sent"
	if e.IsSent {
		when = "after the request was sent"
	}
	return fmt.Sprintf("upstream at %s: %s: %v", e.Address, when, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// WasSent reports whether a byte of the request may have been sent. It is true
// for an error that is not an *Error.
func WasSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.IsSent
}

// Do sends the request and returns the response once its head was read. The error
// is an *Error. When ctx ends, the connection is reset. If its deadline has passed, bytes that have
// arrived before are read first: the process may have been paused.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	if cause := context.Cause(ctx); cause != nil {
		return nil, &Error{Address: address, Err: cause} // an idle connection would be written to before it is reset
	}
	c, err := p.get(ctx, address, req.ID)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, address: address}
	x.stop = context.AfterFunc(ctx, func() { c.abortAt(context.Cause(ctx)) }) // cancels the request
	if req.MaySend != nil {
		if err := req.MaySend(); err != nil {
			x.end(true) // nothing was sent on it
			return nil, &Error{Address: address, Err: err}
		}
	}
	resp, err := x.run(req)
	if err == nil {
		return resp, nil
	}
	x.end(false)
	p.closeIfLost(address, err)
	if c.numRequests == 1 && errors.Is(err, syscall.ECONNRESET) {
		p.recordReset(address, time.Now())
	}
	if cause := context.Cause(ctx); cause != nil {
		err = errors.CombineErrors(cause, err)
	}
	return nil, &Error{Address: address, Err: err, IsNew: c.numRequests == 1, IsSent: x.isSent}
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	address string
	stop    func() bool
	isSent  bool
	once    sync.Once
	// written is closed once a request that is written while its response is read has been written, or that has
	// failed with writeErr. It is nil for a request that was written before.
	written  chan struct{}
	writeErr error
}

// endTimeout bounds how long the end of a response waits until it is known whether its request was written.
const endTimeout = 300 * time.Millisecond

// checkEnd returns an error unless the end of the connection is known to be one in order: the request was written to
// its end, and no other call was told of an error. The kernel reports the error of a socket once, to whichever call
// comes first: after a reset that a write was told of, a read sees the end of the connection as if it had been
// closed in order.
func (x *exchange) checkEnd() error {
	x.conn.peeking.Lock()
	peekErr := x.conn.peekErr
	x.conn.peeking.Unlock()
	if peekErr != nil || x.written == nil {
		return peekErr
	}
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	select {
	case <-x.written:
		return errors.Wrap(x.writeErr, "answer without a length, and the request was not written")
	case <-timer.C:
		return errors.New("answer without a length, and the request is still being written")
	}
}

func (x *exchange) run(req *Request) (*Response, error) {
	x.conn.recordRequest(req.ID)
	out := encodeHead(req)
	if len(out)+len(req.Body) <= maxSyncWriteBytes {
		n, err := x.conn.Write(append(out, req.Body...))
		x.isSent = n > 0
		if err != nil {
			return nil, err
		}
	} else {
		x.isSent, x.written = true, make(chan struct{})
		parts := net.Buffers{out, req.Body} // not copied into one
		go func() {
			_, x.writeErr = parts.WriteTo(x.conn.Conn)
			close(x.written)
		}()
	}
	httpResp, isMatched, err := x.readHead(req)
	if err != nil {
		return nil, err
	}
	// A response without a length ends with the connection.
	hasLength := httpResp.ContentLength >= 0 || slices.Contains(httpResp.TransferEncoding, "chunked") || req.Method == http.MethodHead
	x.conn.applyKeepAlive(httpResp.Header)
	isReusable := hasLength && !httpResp.Close && isMatched && x.written == nil
	return &Response{
		Status: httpResp.StatusCode, Header: httpResp.Header, HasLength: hasLength, IsMatched: isMatched, OpenedAt: x.conn.openedAt, conn: x.conn,
		Body: &body{ReadCloser: httpResp.Body, x: x, isReusable: isReusable, hasLength: hasLength},
	}, nil
}

// readHead reads the head of the response and reports whether it carries the
// request's id. It skips informational responses and late responses to other
// requests.
func (x *exchange) readHead(req *Request) (*http.Response, bool, error) {
	for numSkipped := 0; numSkipped <= maxSkippedResponses; numSkipped++ {
		buffered, _ := x.conn.r.Peek(x.conn.r.Buffered()) // no more than is buffered, so it does not fail
		x.conn.head.begin(buffered)
		httpResp, err := http.ReadResponse(x.conn.r, &http.Request{Method: req.Method})
		head := x.conn.head.end(x.conn.r.Buffered())
		if err == nil {
			err = checkHead(head)
		}
		if err == nil && holdsStatusLine(httpResp) {
			err = errMixedHead
		}
		if err != nil {
			return nil, false, err
		}
		if httpResp.StatusCode < http.StatusOK {
			if req.TakesProgress {
				numSkipped--
			}
			continue
		}
		id := httpResp.Header.Get(x.pool.IDHeader)
		if x.pool.IDHeader == "" || id == req.ID {
			return httpResp, true, nil
		}
		if id == "" && x.conn.numRequests == 1 {
			return httpResp, false, nil // no other request was sent on this connection
		}
		if httpResp.ContentLength < 0 && !slices.Contains(httpResp.TransferEncoding, "chunked") {
			return nil, false, errors.New("answer to another request, without a length")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, maxSkippedBytes+1))
		if err != nil {
			return nil, false, err
		}
		if n > maxSkippedBytes {
			return nil, false, errors.New("answer to another request, too long to pass over")
		}
	}
	return nil, false, errors.New("answers to other requests")
}

// end returns the connection to the pool if it can be reused, and resets it
// otherwise.
func (x *exchange) end(isReusable bool) {
	x.once.Do(func() {
		// If stop returns false, the context has ended and the connection is being reset.
		if x.stop() && isReusable {
			if x.isSent {
				x.conn.idleAt = time.Now()
			}
			x.pool.put(x.address, x.conn)
			return
		}
		x.conn.abort()
	})
}

// body is the body of a response. Reading it to its end ends the exchange.
type body struct {
	io.ReadCloser
	x                     *exchange
	isReusable, hasLength bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.hasLength {
		if cause := b.x.checkEnd(); cause != nil {
			err = errors.CombineErrors(io.ErrUnexpectedEOF, cause)
		}
	}
	if err != nil {
		b.x.end(b.isReusable && errors.Is(err, io.EOF))
		b.x.pool.closeIfLost(b.x.address, err)
	}
	return n, err
}

// Close resets the connection unless the response was read to its end.
func (b *body) Close() error {
	b.x.end(false)
	return nil
}

// encodeHead returns the head of the request as it is written to the connection.
func encodeHead(req *Request) []byte {
	var buf bytes.Buffer
	buf.Grow(min(len(req.Body), maxSyncWriteBytes) + 1024)
	buf.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&buf) // writing to a bytes.Buffer does not fail
	if req.HasBody || len(req.Body) > 0 {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}

// Reply is the whole response to a Call.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a request with a small body and returns the whole response. It is
// meant for calls of this instance, not for requests of clients.
func (p *Pool) Call(ctx context.Context, address, method, target string, h http.Header, in []byte) (Reply, error) {
	return p.CallIf(ctx, address, method, target, h, in, nil)
}

// CallIf is a Call that is sent only if maySend returns nil; see Request.MaySend.
func (p *Pool) CallIf(ctx context.Context, address, method, target string, h http.Header, in []byte, maySend func() error) (Reply, error) {
	resp, err := p.Do(ctx, address, &Request{Method: method, Host: address, Target: target, Header: h, Body: in, HasBody: in != nil, MaySend: maySend})
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxCallResponseBytes+1))
	if err == nil && len(out) > maxCallResponseBytes {
		err = errors.Newf("response of more than %d bytes", maxCallResponseBytes)
	}
	if err != nil {
		return Reply{}, &Error{Address: address, Err: err, IsSent: true}
	}
	return Reply{resp.Status, resp.Header, out}, nil
}

// maxCallResponseBytes bounds the response bodies of Call: the state of an upstream with
// all its models, adapters and runs takes some 10 kB.
const maxCallResponseBytes = 256 << 10
