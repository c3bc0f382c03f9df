package relayer

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
)

// errNoContinuation is the cause of an attempt whose response is not the rest of the stream.
var errNoContinuation = errors.New("not the rest of the stream")

// eventIDs is what is known of the ids of a stream's events. Ids increase; whether by a constant step is
// taken from the events themselves. The zero value knows no event.
type eventIDs struct {
	last     string // of the last event that has an id
	number   int64  // of that id
	isNumber bool
	// step is the difference between two ids that follow each other, 0 if it is not known or not
	// constant.
	step        int64
	isIrregular bool
}

// eventIDsAfter returns what is known of a stream from the id of its last event alone.
func eventIDsAfter(last string) eventIDs {
	n, err := strconv.ParseInt(last, 10, 64)
	return eventIDs{last: last, number: n, isNumber: err == nil}
}

// withEvents returns the ids with those of whole events added.
func (e eventIDs) withEvents(events []byte) eventIDs {
	id := lastEventID(events)
	if id == "" {
		return e
	}
	next, from, num := eventIDsAfter(id), e, bytes.Count(events, eventEnd)
	if e.last == "" { // no event came before these
		first, _ := firstEvent(events)
		from, num = eventIDsAfter(first), num-1
	}
	next.step, next.isIrregular = e.step, e.isIrregular
	if !next.isNumber || !from.isNumber || num < 1 {
		return next
	}
	step, rest := (next.number-from.number)/int64(num), (next.number-from.number)%int64(num)
	if next.isIrregular = e.isIrregular || rest != 0 || step <= 0 || e.step != 0 && step != e.step; next.isIrregular {
		step = 0
	}
	next.step = step
	return next
}

// checkNext returns an error if an event with the id cannot be the next one. A smaller step than that between the events
// before leaves nothing out: ids may count tokens, and the first event of a run may hold fewer than the others.
func (e eventIDs) checkNext(id string) error {
	next := eventIDsAfter(id)
	if id == "" || next.isNumber != e.isNumber || id == e.last || e.isNumber && (next.number < e.number || e.step != 0 && next.number-e.number > e.step) {
		return errors.Wrapf(errNoContinuation, "first event %q after %q", id, e.last)
	}
	return nil
}

// mayContinue reports whether another attempt may send the rest of the response, or all of it if none
// of it was sent.
func (c *call) mayContinue() bool {
	return !c.reply.hasBegun() || c.isResumable() && c.stream.ids.last != ""
}

// eventsBefore returns what is known of the events before those that a response should begin with. It
// reports false if the stream begins.
func (c *call) eventsBefore() (eventIDs, bool) {
	switch {
	case c.reply.hasBegun():
		return c.stream.ids, true
	case c.isResumable() && c.requestInfo.LastEventID != "":
		return eventIDsAfter(c.requestInfo.LastEventID), true
	}
	return eventIDs{}, false
}

// checkContinuation returns an error if a response cannot be the rest of the one that has begun: it
// needs the same status and type, and only a stream is sent in several parts.
func (c *call) checkContinuation(resp *courier.Response) error {
	if !c.reply.hasBegun() {
		return nil
	}
	kind := resp.Header.Get("Content-Type")
	if begun := c.reply.w.Header().Get("Content-Type"); resp.Status != c.reply.status || kind != begun || !c.route.IsStream {
		return errors.Wrapf(errNoContinuation, "status %d of type %q", resp.Status, kind)
	}
	return nil
}

// forward forwards the response of an upstream, or of one that a peer has sent the request to. The
// slot is nil for a peer.
func (c *call) forward(ctx context.Context, slot *queuer.Slot, resp *courier.Response) attemptResult {
	if err := c.checkContinuation(resp); err != nil {
		return attemptResult{hasFailed: true, reason: err.Error()}
	}
	defer c.watchEnd(resp)()
	if resp.Status < http.StatusMultipleChoices && c.route.IsStream {
		return c.forwardStream(ctx, slot, resp)
	}
	return c.forwardPlain(resp)
}

// firstEvent returns the id of the first of some whole events, which may be empty. Comments and
// empty lines are no events; it reports false if there is nothing else.
func firstEvent(events []byte) (id string, ok bool) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0 && ok:
			return id, true
		case len(line) == 0 || line[0] == ':':
		default:
			ok = true
			if v, isID := bytes.CutPrefix(line, []byte("id:")); isID {
				id = string(bytes.TrimSpace(v))
			}
		}
	}
	return id, ok
}
