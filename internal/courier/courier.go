package courier

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// syncBytes is the size up to which a request is written before its answer
	// is awaited; it fits into the buffers of both ends.
	syncBytes = 16 << 10
	// maxStrays is how many answers to other requests are passed over.
	maxStrays = 2
	// maxStrayBytes bounds the body of an answer that is passed over.
	maxStrayBytes = 64 << 10
)

// Request is a request as it goes to an upstream.
type Request struct {
	Method string
	Host   string
	// Target is the request target, query included, as the client sent it.
	Target string
	// Header holds no header of the connection or the framing.
	Header http.Header
	Body   []byte
	// HasBody says that the request states a length, even if it is zero.
	HasBody bool
	// ID is the value that the answer must bear in the pool's IDHeader.
	ID string
}

// Answer is an upstream's answer. Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is whole.
	Body io.ReadCloser
	// HasLength says that the answer's end is marked by its framing and not by
	// the end of the connection.
	HasLength bool
	// IsBound says that the answer bears the request's id.
	IsBound bool
}

// Error is a failure of the connection.
type Error struct {
	Address string
	Err     error
	// IsDial says that no connection came about.
	IsDial bool
	// Sent says that a byte of the request may have left.
	Sent bool
}

func (e *Error) Error() string {
	what := "before the request was sent"
	if e.Sent {
		what = "after the request was sent"
	}
	return fmt.Sprintf("upstream at %s: %s: %v", e.Address, what, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// WasSent reports whether a byte of the request may have left.
func WasSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// Do sends the request and returns the head of the answer. The error is an
// *Error. When ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Answer, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, address: address}
	x.stop = context.AfterFunc(ctx, c.abort) // cancels the request
	ans, err := x.run(req)
	if err == nil {
		return ans, nil
	}
	x.end(false)
	if cause := context.Cause(ctx); cause != nil {
		err = errors.CombineErrors(cause, err)
	}
	return nil, &Error{Address: address, Err: err, Sent: x.sent}
}

// exchange is one request and its answer.
type exchange struct {
	pool    *Pool
	conn    *conn
	address string
	stop    func() bool
	sent    bool
	once    sync.Once
	isLong  bool // the request is written beside the answer
}

func (x *exchange) run(req *Request) (*Answer, error) {
	out := encode(req)
	if len(out) <= syncBytes {
		n, err := x.conn.Write(out)
		x.sent = n > 0
		if err != nil {
			return nil, err
		}
	} else {
		x.sent, x.isLong = true, true
		go func() { _, _ = x.conn.Write(out) }() // a failure shows in the answer, or does not matter
	}
	resp, bound, err := x.readHead(req)
	if err != nil {
		return nil, err
	}
	// An answer without a length ends with the connection.
	framed := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
	x.conn.noteKeepAlive(resp.Header)
	reusable := framed && !resp.Close && bound && !x.isLong
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, HasLength: framed, IsBound: bound,
		Body: &body{ReadCloser: resp.Body, x: x, reusable: reusable},
	}, nil
}

// readHead reads the head of the answer. It passes over answers to other
// requests, which an upstream may send late.
func (x *exchange) readHead(req *Request) (*http.Response, bool, error) {
	for range maxStrays + 1 {
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(x.pool.IDHeader)
		if x.pool.IDHeader == "" || id == req.ID {
			return resp, true, nil
		}
		if id == "" && !x.conn.used {
			return resp, false, nil // nothing else was asked on this connection
		}
		if resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked") {
			return nil, false, errors.New("answer to another request, without a length")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1))
		if err != nil {
			return nil, false, err
		}
		if n > maxStrayBytes {
			return nil, false, errors.New("answer to another request, too long to pass over")
		}
	}
	return nil, false, errors.New("answers to other requests")
}

// end gives the connection back if it can be used again, and closes it otherwise.
func (x *exchange) end(reusable bool) {
	x.once.Do(func() {
		// A stop that comes too late means that the connection is being closed.
		if x.stop() && reusable {
			x.pool.put(x.address, x.conn)
			return
		}
		x.conn.abort()
	})
}

// body is the body of an answer. It ends the exchange at its end.
type body struct {
	io.ReadCloser
	x        *exchange
	reusable bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.x.end(b.reusable && errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the connection unless the answer was read to its end.
func (b *body) Close() error {
	b.x.end(false)
	return nil
}

// encode returns the request's bytes.
func encode(req *Request) []byte {
	var buf bytes.Buffer
	buf.Grow(len(req.Body) + 1024)
	buf.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&buf) // a bytes.Buffer does not fail
	if req.HasBody || len(req.Body) > 0 {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(req.Body)
	return buf.Bytes()
}

// Call makes a call with small bodies, outside of any request.
func (p *Pool) Call(ctx context.Context, address, method, target string, h http.Header, in []byte) (status int, out []byte, err error) {
	ans, err := p.Do(ctx, address, &Request{Method: method, Host: address, Target: target, Header: h, Body: in, HasBody: in != nil})
	if err != nil {
		return 0, nil, err
	}
	defer ans.Body.Close()
	out, err = io.ReadAll(io.LimitReader(ans.Body, maxDocument))
	if err != nil {
		return 0, nil, &Error{Address: address, Err: err, Sent: true}
	}
	return ans.Status, out, nil
}

// maxDocument bounds the answers of Call, in bytes.
const maxDocument = 4 << 20
