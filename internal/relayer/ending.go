package relayer

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/endchecker"
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

// watchEnd begins to watch the process that sends a response without a length. The returned function ends that.
func (c *call) watchEnd(resp *courier.Response) (stop func()) {
	c.endWatch = nil
	if resp.HasLength || resp.Status >= http.StatusMultipleChoices || c.handOn.isRunning {
		return func() {}
	}
	u := c.origin.upstream
	w := c.Ends.Watch(c.Pool, endchecker.Process{Incarnation: u.Incarnation(), Address: u.Address}, resp)
	c.endWatch = w
	return func() {
		now := c.Upstreams.Snapshot().ByID[u.ID]
		w.Stop(now == nil || now.IsLeaving)
	}
}

// checkEnd returns an error if a response whose connection was closed in order is not known to be whole. One
// without a length ends with its connection, but so does one whose upstream crashes.
func (c *call) checkEnd(resp *courier.Response) error {
	if resp.HasLength || resp.Status >= http.StatusMultipleChoices {
		return nil
	}
	if c.handOn.isRunning {
		return errNoLength // a peer states where its response ends
	}
	began := time.Now()
	u := c.origin.upstream
	now := c.Upstreams.Snapshot().ByID[u.ID]
	hasRestarted := now != nil && now.StartedAtMs != u.StartedAtMs
	isLeaving := now == nil || now.IsLeaving && !now.IsPreempted
	var e endchecker.Evidence
	if !hasRestarted && !isLeaving {
		// Not the context of the attempt: the response is here, also if its client leaves now.
		e = c.endWatch.Collect(context.Background())
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
