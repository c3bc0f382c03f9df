package relayer

import "bytes"

// eventWatch recognizes the ends of events in the pieces of a stream. Comments and empty lines are
// no events: an upstream that sends only these keeps the connection open and brings nothing.
type eventWatch struct {
	isInLine bool
	hasField bool // the event that is being read has a field
}

// observe reports whether an event ends in the next piece.
func (w *eventWatch) observe(b []byte) bool {
	hasEvent := false
	for len(b) > 0 {
		if !w.isInLine {
			switch b[0] {
			case '\r':
				b = b[1:]
				continue
			case '\n':
				hasEvent = hasEvent || w.hasField
				w.hasField = false
				b = b[1:]
				continue
			case ':':
			default:
				w.hasField = true
			}
			w.isInLine = true
		}
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			return hasEvent
		}
		b, w.isInLine = b[i+1:], false
	}
	return hasEvent
}
