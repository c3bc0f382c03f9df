package courier

import (
	"bytes"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the bytes that are read for the head of a response.
const maxHeadBytes = 16 << 10

// errLongHead is returned for a head of more than maxHeadBytes.
var errLongHead = errors.New("head of the response is too long")

// headLimiter bounds what is read while the head of a response is parsed. http.ReadResponse
// has no bound of its own.
//
// It keeps what it has read, so that the head can be checked as it was sent.
type headLimiter struct {
	r        io.Reader
	isInHead bool
	left     int    // bytes, while isInHead is set
	kept     []byte // that were read since begin
}

// begin is called before a head is parsed, with the bytes that the parser has buffered.
func (l *headLimiter) begin(buffered []byte) {
	l.isInHead, l.left, l.kept = true, maxHeadBytes, append(l.kept[:0], buffered...)
}

// end is called after a head was parsed, with the number of bytes that the parser has buffered behind it. It returns
// the head, which is valid until the next call of begin.
func (l *headLimiter) end(numBuffered int) []byte {
	l.isInHead = false
	return l.kept[:len(l.kept)-numBuffered]
}

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
	l.kept = append(l.kept, p[:n]...)
	return n, err
}

// checkHead returns an error unless a head that http.ReadResponse has taken follows the grammar of RFC 9112. Package
// http passes over a blank within the name of a field and joins folded lines, so that a field that states the
// length may be lost or made up, and it takes any three digits for a status.
func checkHead(head []byte) error {
	var isFramed, isChunked, isInformational bool
	for n := 0; len(head) > 0; n++ {
		line, rest, ok := bytes.Cut(head, []byte("\n"))
		if !ok {
			return errors.New("head of the response has no end")
		}
		head, line = rest, bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case n == 0:
			if !isStatusLine(line) {
				return errors.Newf("malformed status line: %q", line[:min(len(line), maxLoggedBytes)])
			}
			isInformational = line[len("HTTP/1.1 ")] == '1'
			if bytes.HasPrefix(line[len("HTTP/1.1 "):], []byte("101")) {
				return errors.New("the protocol was switched, which no request asks for")
			}
			continue
		case len(line) == 0:
			if isInformational && (isFramed || isChunked) || isFramed && isChunked {
				return errors.New("head of the response states two lengths, or one of an informational response")
			}
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || slices.ContainsFunc(value, isControl) {
			return errors.Newf("malformed field in the head of the response: %q", line[:min(len(line), maxLoggedBytes)])
		}
		isFramed = isFramed || bytes.EqualFold(name, []byte("Content-Length"))
		isChunked = isChunked || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return errors.New("head of the response has no end")
}

// maxLoggedBytes bounds what an error quotes of a head.
const maxLoggedBytes = 64

// isStatusLine reports whether a line is a status line with a status from 100 to 599.
func isStatusLine(line []byte) bool {
	const version, status = len("HTTP/1."), len("HTTP/1.1 200")
	if len(line) < status || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[version] != '0' && line[version] != '1' || line[version+1] != ' ' {
		return false
	}
	digits, reason := line[version+2:status], line[status:]
	return digits[0] >= '1' && digits[0] <= '5' && isDigit(digits[1]) && isDigit(digits[2]) &&
		(len(reason) == 0 || reason[0] == ' ') && !slices.ContainsFunc(reason, isControl)
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isControl reports whether a byte may not stand in the value of a field.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// isToken reports whether a text is the name of a field.
func isToken(text []byte) bool {
	return len(text) > 0 && !slices.ContainsFunc(text, func(b byte) bool {
		return !isDigit(b) && (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b))
	})
}
