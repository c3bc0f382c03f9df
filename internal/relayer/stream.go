package relayer

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const (
	// streamReadBytes is the size of the buffer for one read of a stream.
	streamReadBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// survivalDelay is how long an upstream must go on after its first event until the
	// request counts as one that does not crash it.
	survivalDelay = 50 * time.Millisecond
)

// streamState is the progress of forwarding a stream of events.
type streamState struct {
	ids         eventIDs // of the forwarded events
	numEvents   int
	lastEventAt time.Time // when events were last forwarded
	longestGap  time.Duration
}

// incompleteReply returns a refusal for a request that may have run.
func incompleteReply(format string, args ...any) verdict.Refusal {
	return verdict.RefuseMayHaveRun(verdict.ReasonIncompleteReply, 0, format, args...)
}

// forwardStream forwards a stream in whole events. No part of an incomplete event
// is sent, so that the stream can be resumed at another upstream. The slot is nil if a peer
// sends the stream.
func (c *call) forwardStream(ctx context.Context, slot *queuer.Slot, resp *courier.Response) attemptResult {
	var pending []byte
	var finder eventFinder
	held := buffer{of: &c.Buffers}
	defer held.release()
	buf := make([]byte, streamReadBytes)
	var firstEventAt time.Time
	var pauses pauseWindow
	// Until the first event has shown it, the response may be something else than the rest.
	before, isRest := c.eventsBefore()
	ahead := c.readAhead(resp, true, false)
	defer ahead.close()
	for {
		n, rerr := ahead.Read(buf)
		readAt := time.Now()
		pending = append(pending, buf[:n]...)
		end := finder.find(pending)
		if end > 0 && isRest {
			id, ok := firstEvent(pending[:end])
			if err := before.checkNext(id); ok && err != nil {
				return attemptResult{hasFailed: true, reason: err.Error()}
			}
			if ok && !c.hasOriginVersion(ctx) {
				return attemptResult{reason: "the upstream is not known to be of the version that began the stream"}
			}
			if isRest = !ok; isRest {
				end = 0 // only comments so far
			}
		}
		if end > 0 {
			if !resp.HasLength && firstEventAt.IsZero() && isChunked(pending) {
				return c.interrupted(ctx, errLostFraming)
			}
			if !c.reply.hasBegun() {
				// This waits, but not for the client.
				if err := c.bindToOrigin(ctx); err != nil {
					return attemptResult{err: err}
				}
			}
			numBefore := c.stream.numEvents
			ahead.startWrite()
			err := c.forwardEvents(resp, pending[:end])
			ahead.endWrite()
			if err != nil {
				return attemptResult{err: truncatedError{ahead.causeOf(err)}}
			}
			if mean, ok := pauses.add(c.stream.numEvents-numBefore, readAt, time.Now()); ok && slot != nil {
				slot.RecordPause(mean)
			}
			pending = append(pending[:0], pending[end:]...)
			if now := time.Now(); firstEventAt.IsZero() {
				firstEventAt = now
			} else if now.Sub(firstEventAt) >= survivalDelay && !c.handOn.isRunning {
				c.tracked.RecordSurvival(now)
			}
		}
		if err := held.resize(cap(pending)); err != nil {
			return c.interrupted(ctx, err)
		}
		switch {
		case isEndedHere(rerr):
			return attemptResult{err: truncatedError{rerr}}
		case errors.Is(rerr, io.EOF) && !c.reply.hasBegun():
			return attemptResult{hasFailed: true, reason: "stream without an event"}
		case errors.Is(rerr, io.EOF) && isRest:
			return attemptResult{hasFailed: true, reason: errNoContinuation.Error() + ": no event"}
		case errors.Is(rerr, io.EOF) && !resp.HasLength && len(pending) > 0:
			return c.interrupted(ctx, errNoLength)
		case errors.Is(rerr, io.EOF) && len(pending) == 0:
			if err := ahead.finish(); err != nil {
				return attemptResult{err: truncatedError{err}}
			}
			c.reply.complete()
			return attemptResult{isForwarded: true}
		case errors.Is(rerr, io.EOF):
			return attemptResult{hasFailed: true, reason: "stream ended within an event"}
		case rerr != nil:
			res := c.interrupted(ctx, rerr)
			res.hasFailed = res.hasFailed && isBreak(rerr)
			res.isBroken = res.hasFailed
			return res
		case len(pending) > maxEventBytes:
			return c.interrupted(ctx, errors.New("event too long"))
		}
	}
}

// pauseWindow measures the mean pause between events of a stream.
type pauseWindow struct {
	began   time.Time
	events  int
	writing time.Duration // spent on forwarding events
}

const (
	// minPauseWindow is the least time over which pauses are averaged.
	minPauseWindow = 250 * time.Millisecond
	// maxWritingShare is the share of a window above which it does not count: the client reads
	// slowly, and events that came meanwhile are read without a pause.
	maxWritingShare = 0.1
)

// add records events that were read and then forwarded. If a window has ended it returns the
// mean pause in it.
func (p *pauseWindow) add(events int, readAt, forwardedAt time.Time) (mean time.Duration, ok bool) {
	if p.began.IsZero() {
		p.began = readAt
		return 0, false
	}
	p.events += events
	took := readAt.Sub(p.began)
	if took < minPauseWindow {
		p.writing += forwardedAt.Sub(readAt)
		return 0, false
	}
	mean, ok = took/time.Duration(max(p.events, 1)), p.events > 0 && float64(p.writing) <= maxWritingShare*float64(took)
	*p = pauseWindow{began: readAt, writing: forwardedAt.Sub(readAt)}
	return mean, ok
}

// sinceEvent returns the time since events were last forwarded, 0 if none were.
func (s *streamState) sinceEvent() time.Duration {
	if s.lastEventAt.IsZero() {
		return 0
	}
	return time.Since(s.lastEventAt)
}

// interrupted returns the result of an attempt whose stream was interrupted.
func (c *call) interrupted(ctx context.Context, err error) attemptResult {
	res := attemptResult{hasFailed: ctx.Err() == nil && !errors.Is(err, errLinksCut), reason: "stream broke off: " + err.Error()}
	if c.reply.hasBegun() && !c.route.IsResumable {
		res.err = truncatedError{errors.New(res.reason)}
	}
	return res
}

// forwardEvents writes whole events and records the id of the last one.
func (c *call) forwardEvents(resp *courier.Response, events []byte) error {
	if !c.reply.hasBegun() {
		// Only now: until the first event this instance may still reply with an error
		// status of its own.
		if err := c.reply.begin(resp.Status, resp.Header, -1); err != nil {
			return err
		}
	}
	c.stream.ids = c.stream.ids.withEvents(events)
	c.stream.numEvents += bytes.Count(events, eventEnd)
	now := time.Now()
	if !c.stream.lastEventAt.IsZero() {
		c.stream.longestGap = max(c.stream.longestGap, now.Sub(c.stream.lastEventAt))
	}
	c.stream.lastEventAt = now
	if _, err := c.reply.Write(events); err != nil {
		return err
	}
	return c.reply.flush()
}

var eventEnd = []byte("\n\n")

// eventFinder finds the last whole event in bytes that grow at their end and are cut at
// their start after each event. It searches each byte once.
type eventFinder struct{ searched int }

// find returns the index after the last whole event, 0 if there is none.
func (f *eventFinder) find(b []byte) int {
	// The end of an event may have begun before the new bytes.
	from := max(0, min(f.searched, len(b))-len("\r\n\r"))
	end := lastEventEnd(b[from:])
	if end > 0 {
		end += from
	}
	f.searched = len(b) - end
	return end
}

// lastEventEnd returns the index after the last whole event, 0 if there is none.
func lastEventEnd(b []byte) int {
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
