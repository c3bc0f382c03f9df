package courier

import (
	"io"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the bytes that are read for the head of a response.
const maxHeadBytes = 16 << 10

// errLongHead is returned for a head of more than maxHeadBytes.
var errLongHead = errors.New("head of the response is too long")

// headLimiter bounds what is read while the head of a response is parsed. http.ReadResponse
// has no bound of its own.
type headLimiter struct {
	r        io.Reader
	isInHead bool
	left     int // bytes, while isInHead is set
}

// begin is called before a head is parsed.
func (l *headLimiter) begin() { l.isInHead, l.left = true, maxHeadBytes }

// end is called after a head was parsed.
func (l *headLimiter) end() { l.isInHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.isInHead {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, errLongHead
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
