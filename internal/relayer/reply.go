package relayer

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// errReplyBegun is returned for a second head: the client would take it for a part of the body.
var errReplyBegun = errors.New("another response has begun")

// reply is the response to the client. Its head, its body and its end pass through here. One that
// was not declared complete is cut off, so that what ends a request need not know whether a part
// of a response was sent before.
type reply struct {
	w          http.ResponseWriter
	progress   *progress   // ends before the head
	isStopping func() bool // nil for never
	status     int         // 0 until the head is sent
	isComplete bool
}

// hasBegun reports whether the head was sent.
func (r *reply) hasBegun() bool { return r.status != 0 }

// begin sends the head of an upstream's response, with the length of its body if that is known and
// not negative.
func (r *reply) begin(status int, header http.Header, length int) error {
	if r.hasBegun() {
		return errReplyBegun
	}
	h := r.w.Header()
	copyHeader(h, header)
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	r.sendHead(status)
	return nil
}

// sendEmpty sends a whole response without a body, with the headers set before. It sends nothing if
// another response has begun.
func (r *reply) sendEmpty(status int) {
	if r.hasBegun() {
		return
	}
	h := r.w.Header()
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	r.sendHead(status)
	r.complete()
}

func (r *reply) sendHead(status int) {
	r.progress.stop()
	r.status = status
	if r.isStopping != nil && r.isStopping() {
		r.w.Header().Set("Connection", "close")
	}
	r.w.WriteHeader(status)
}

// Write sends a part of the body.
func (r *reply) Write(b []byte) (int, error) { return r.w.Write(b) }

// flush sends what was written.
func (r *reply) flush() error { return http.NewResponseController(r.w).Flush() }

// complete declares that the whole response was written.
func (r *reply) complete() { r.isComplete = true }

// end ends the response. It closes the connection unless the response is complete.
func (r *reply) end() {
	if !r.isComplete {
		panic(http.ErrAbortHandler)
	}
}
