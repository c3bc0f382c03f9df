package relayer

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// firstBodyBytes is the size up to which the buffer of a request body is allocated before the
// body has arrived.
const firstBodyBytes = 32 << 10

// readBody reads the body of the request. It is held until the request has ended, since it may
// have to be sent again, and counts against the bound of the buffers, with what the socket of a
// slow upstream holds of it.
func (c *call) readBody(r *http.Request, limit int64) ([]byte, error) {
	in := http.MaxBytesReader(c.reply.w, r.Body, limit)
	size := int64(bytesWithoutLength)
	if r.ContentLength >= 0 {
		size = min(r.ContentLength+1, limit+1) // the last byte is for the end to be noticed
	}
	first := min(size, firstBodyBytes)
	if c.bodyHeld.resize(int(first)) != nil {
		return nil, refuseBody()
	}
	body := make([]byte, 0, first)
	for {
		if len(body) == cap(body) {
			grown := int64(2 * cap(body))
			if r.ContentLength >= 0 {
				grown = min(grown, max(size, int64(cap(body)+1)))
			}
			inSocket := int64(0)
			if grown > firstBodyBytes {
				inSocket = upstreamSocketBytes
			}
			if c.bodyHeld.resize(int(grown+inSocket)) != nil {
				return nil, refuseBody()
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, bodyError(err)
		}
	}
}

// bytesWithoutLength is the first size of the buffer for a body of unknown length.
const bytesWithoutLength = 512

// refuseBody returns the refusal of a request for whose body there is no room.
func refuseBody() error {
	return verdict.Refuse(verdict.ReasonQueueFull, time.Second, "no memory for the body of the request: %v", errBuffersFull)
}

// bodyError returns the rejection of a request whose body was not read.
func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return statusError{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	return statusError{status: http.StatusBadRequest, reason: "body not read: " + err.Error()}
}
