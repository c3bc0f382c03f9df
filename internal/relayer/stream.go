package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const (
	// streamBuffer is what is read of a stream at once, in bytes.
	streamBuffer = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// stream is what was passed on of a stream of events.
type stream struct {
	started bool
	lastID  string // of the last event that was passed on
	events  int
	last    time.Time     // when it was passed on
	gap     time.Duration // the longest pause between two of them
}

func doubt(format string, args ...any) verdict.Refusal {
	return verdict.Doubt(verdict.ReasonIncompleteReply, 0, format, args...)
}

// passStream passes a stream on in whole events. An event that breaks off is
// never begun, so that the stream can go on elsewhere.
func (c *call) passStream(ctx context.Context, ans *courier.Answer) fate {
	out := http.NewResponseController(c.w)
	var pending []byte
	buf := make([]byte, streamBuffer)
	for {
		n, rerr := ans.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		whole := lastEnd(pending)
		if whole > 0 {
			if err := c.passEvents(out, ans, pending[:whole]); err != nil {
				return fate{err: brokenError{err}}
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(rerr, io.EOF) && !c.stream.started:
			return fate{failed: true, why: "stream without an event"}
		case errors.Is(rerr, io.EOF) && len(pending) == 0:
			return fate{done: true}
		case errors.Is(rerr, io.EOF):
			return fate{failed: true, why: "stream ended within an event"}
		case rerr != nil:
			return c.broken(ctx, rerr)
		case len(pending) > maxEvent:
			return fate{failed: true, err: brokenError{errors.New("event too long")}}
		}
	}
}

// broken returns the fate of a stream that broke off.
func (c *call) broken(ctx context.Context, err error) fate {
	f := fate{failed: ctx.Err() == nil, why: "stream broke off: " + err.Error()}
	if c.stream.started && !c.route.IsResumable {
		f.err = brokenError{errors.New(f.why)}
	}
	return f
}

// passEvents writes whole events and remembers the id of the last one.
func (c *call) passEvents(out *http.ResponseController, ans *courier.Answer, events []byte) error {
	if !c.stream.started {
		c.stream.started = true
		// Until here the answer may still become one of the instance's own.
		copyHeader(c.w.Header(), ans.Header)
		c.begin(ans.Status)
	}
	if id := lastEventID(events); id != "" {
		c.stream.lastID = id
	}
	c.stream.events += bytes.Count(events, eventEnd)
	now := time.Now()
	if !c.stream.last.IsZero() {
		c.stream.gap = max(c.stream.gap, now.Sub(c.stream.last))
	}
	c.stream.last = now
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return out.Flush()
}

var eventEnd = []byte("\n\n")

// lastEnd returns where the last whole event ends.
func lastEnd(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if j := bytes.LastIndex(b, []byte("\r\n\r\n")); j >= 0 && j+4 > i+2 {
		return j + 4
	}
	if i < 0 {
		return 0
	}
	return i + 2
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		i += len("\nid:")
	case bytes.HasPrefix(events, []byte("id:")):
		i = len("id:")
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events[i:], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
