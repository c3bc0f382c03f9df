package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/endchecker"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
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

// endError says that a response which ended with its connection is not known to be whole.
type endError struct{ verdict endchecker.Verdict }

func (e endError) Error() string { return errNoLength.Error() + ": " + string(e.verdict) }

// isBreak reports whether an error of a read from an upstream says that its connection broke or its process ended.
func isBreak(err error) bool {
	var e endError
	return !errors.As(err, &e) || e.verdict.IsCrash()
}

// endBody is the body of a response that may end with its connection. The end is checked as soon as it is read from the
// upstream, however long the client takes: later nothing may be known of the process any more.
type endBody struct {
	io.ReadCloser
	check  func() error
	isRead *atomic.Bool // set when the end was read, before it is checked
	err    error        // of the end, once it was checked
}

func (b *endBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.isRead.Store(true)
		if cause := b.check(); cause != nil {
			err = cause
		}
		b.err = err
	}
	return n, err
}

// watchEnd makes the body of a response without a length end with an error unless it is known to be whole. The process
// that sends it is watched until the returned function is called.
func (c *call) watchEnd(resp *courier.Response) (stop func()) {
	c.isEndRead.Store(false)
	if resp.HasLength || resp.Status >= http.StatusMultipleChoices {
		return func() {}
	}
	if c.handOn.isRunning {
		// A peer states where its response ends.
		resp.Body = &endBody{ReadCloser: resp.Body, isRead: &c.isEndRead, check: func() error { return errNoLength }}
		return func() {}
	}
	u := c.origin.upstream
	sentAt := time.Now().Add(-c.headLatency)
	w := c.Ends.Watch(c.Pool, endchecker.Process{Incarnation: u.Incarnation(), Address: u.Address}, resp, sentAt)
	resp.Body = &endBody{ReadCloser: resp.Body, isRead: &c.isEndRead, check: func() error { return c.checkEnd(u, w) }}
	return func() {
		now := c.Upstreams.Snapshot().ByID[u.ID]
		w.Stop(now == nil || now.IsLeaving)
	}
}

// checkEnd returns an error if a response of an upstream whose connection was closed in order is not known to be whole.
// One without a length ends with its connection, but so does one whose upstream crashes.
func (c *call) checkEnd(u *registrar.Upstream, w *endchecker.Watch) error {
	began := time.Now()
	now := c.Upstreams.Snapshot().ByID[u.ID]
	hasRestarted := now != nil && now.StartedAtMs != u.StartedAtMs
	isLeaving := now == nil || now.IsLeaving && !now.IsPreempted
	var e endchecker.Evidence
	if !hasRestarted {
		// Not the context of the attempt: the response is here, also if its client leaves now.
		e = w.Collect(context.Background())
	}
	e.HasRestarted, e.IsLeaving = hasRestarted, isLeaving
	v := e.Verdict()
	c.Metrics.unframedEnds.WithLabelValues(c.admission.Service, string(v)).Inc()
	if v != endchecker.Lives {
		c.Log.Info("end of a response without a length", zap.String("request", c.requestInfo.ID), zap.String("upstream", u.ID), zap.Int64("born", u.StartedAtMs),
			zap.Bool("whole", v.IsWhole()), zap.String("verdict", string(v)), zap.String("second", string(e.Second)), zap.Bool("stated-timeout", e.HasStatedTimeout),
			zap.String("listening", string(e.Listening)), zap.Bool("leaving", isLeaving), zap.Bool("registered", now != nil), zap.Bool("stood-still", e.StoodStill), zap.Duration("took", time.Since(began)))
	}
	if !v.IsWhole() {
		return endError{v}
	}
	return nil
}
