package relayer

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/courier"
)

// errLostFraming says that a response without a length is encoded in chunks.
var errLostFraming = errors.New("answer in chunks whose head does not say so")

// isChunked reports whether a body, or the beginning of one, is encoded in chunks. A header that decides the framing
// may have been lost.
func isChunked(body []byte) bool {
	line, rest, ok := bytes.Cut(body, []byte("\r\n"))
	size, err := strconv.ParseUint(string(line), 16, 32)
	return ok && err == nil && (uint64(len(rest)) <= size || bytes.HasPrefix(rest[size:], []byte("\r\n")))
}

// endCheckTimeout bounds how long the end of a response waits until it is known whether its upstream lives.
const endCheckTimeout = 300 * time.Millisecond

// checkEnd returns an error if a response whose connection was closed in order is not known to be whole. One
// without a length ends with its connection, but so does one whose upstream crashes.
func (c *call) checkEnd(resp *courier.Response) error {
	if resp.HasLength || resp.Status >= http.StatusMultipleChoices {
		return nil
	}
	if c.handOn.isRunning {
		return errNoLength // a peer states where its response ends
	}
	u := c.origin.upstream
	switch now := c.Upstreams.Snapshot().ByID[u.ID]; {
	case now == nil || now.IsLeaving && !now.IsPreempted:
		return nil // it may have closed its listener before it ends the response
	case now.StartedAtMs != u.StartedAtMs:
		return errors.Wrap(errNoLength, "the upstream has restarted")
	}
	// Not the context of the attempt: the response is here, also if its client leaves now.
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	return errors.Wrap(c.Pool.CheckListening(ctx, u.Address), errNoLength.Error())
}
