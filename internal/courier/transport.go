package courier

import (
	"io"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrLongBody is returned by the body of a response that is longer than permitted.
var ErrLongBody = errors.New("body of the response is too long")

// MaxTransportHeadBytes bounds the head of a response where net/http reads it.
const MaxTransportHeadBytes = 64 << 10

// LimitedTransport bounds the bodies of responses. A body that is longer ends with
// ErrLongBody, never with io.EOF.
type LimitedTransport struct {
	http.RoundTripper
	MaxBodyBytes int64
}

// RoundTrip implements http.RoundTripper.
func (l LimitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{resp.Body, l.MaxBodyBytes}
	return resp, nil
}

type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		n, err = int(b.left), ErrLongBody
	}
	b.left -= int64(n)
	return n, err
}

// FramedClient returns a copy of a client whose responses end with io.EOF only if their framing marks the
// end. net/http takes the end of the connection for the end of a response without a length, and a part of
// a message of protocol buffers may be a message as well.
func FramedClient(c *http.Client) *http.Client {
	out := *c
	out.Transport = framedTransport{c.Transport}
	return &out
}

type framedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t framedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.RoundTripper
	if base == nil {
		base = http.DefaultTransport
	}
	resp, err := base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	// Compressed bodies and those of HTTP/2 have an end of their own.
	hasEnd := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") || resp.Uncompressed || resp.ProtoMajor != 1 || resp.Body == http.NoBody
	if !hasEnd {
		resp.Body = unframedBody{resp.Body}
	}
	return resp, nil
}

// unframedBody is a body whose end cannot be told from the end of its connection.
type unframedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
