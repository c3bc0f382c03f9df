package courier

import (
	"io"
	"net/http"

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
