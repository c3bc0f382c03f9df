package relayer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
)

// maxBufferedBytes is the size up to which a plain response is read completely
// before any of it is forwarded, so that the request can still be retried if the
// response is truncated.
const maxBufferedBytes = 256 << 10

// minReadBytes is the size of the buffer that a plain response is first read into.
const minReadBytes = 2 << 10

// errNoLength says that a response ended with its connection and is not complete.
var errNoLength = errors.New("answer without a length")

// noResponseTimeout is the time after which an attempt without any response
// counts against the upstream even if the client has disconnected. Responses
// usually begin within about 100 ms.
const noResponseTimeout = time.Second

// attemptResult describes how an attempt ended.
type attemptResult struct {
	isForwarded bool  // a response was forwarded to the client
	err         error // ends the request
	hasFailed   bool  // counts as a failure of the upstream
	isNotRun    bool  // the upstream provably did not run the request
	isUnsent    bool  // no byte of the request reached the upstream
	isRefused   bool  // the upstream refused it because it is full or busy with an order
	hasNoRoom   bool  // the upstream lives and takes no new connections
	isComplete  bool  // the upstream's response was complete
	isBroken    bool  // the connection was refused or broke
	isPeerCut   bool  // the peer to which it was handed on has lost its links, too
	isWithheld  bool  // not sent, because the key has to be checked or the quota charged again
	// misdirected is the response of an upstream that refused the request as misdirected.
	misdirected *ResponseInfo
	reason      string // why the attempt failed, for the log
}

// attempt sends the request once. It reports done if a response was forwarded,
// and returns an error if the request must end.
func (c *call) attempt(ctx context.Context, slot *queuer.Slot) (done bool, err error) {
	u := slot.Upstream
	c.lastUpstream, c.lastSoftware = u.ID, u.Software
	began := time.Now()
	c.headLatency, c.isRetryCharged = 0, false
	eventsBefore := c.stream.numEvents
	c.choice = slot.Choice
	c.recordOrigin(u)
	c.releaseSlot = sync.OnceFunc(slot.Release)
	res := c.exchange(ctx, slot, began)
	isCanceled := ctx.Err() != nil
	ending := c.ending(res, isCanceled, time.Since(began))
	c.tracked.End(ending, time.Now())
	if res.misdirected != nil {
		// After the end of the attempt, which would be lost with the upstream otherwise.
		c.recordMisdirected(u, *res.misdirected)
	}
	if res.isRefused || res.hasNoRoom {
		slot.Shed()
	}
	c.releaseSlot()
	c.lastFailure = res.reason
	if c.isWithheld = res.isWithheld; c.isWithheld {
		c.isUnsent = false
		return false, nil
	}
	if !res.isNotRun {
		c.numMayHaveRun++
	}
	if c.isUnsent = res.isUnsent; c.isUnsent {
		c.numUnreachable++
	}
	if !res.isRefused {
		c.admission.Tried[u.ID] = true
	}
	if isCanceled && c.headLatency == 0 && time.Since(began) > noResponseTimeout {
		slot.RecordOutcome(queuer.Outcome{IsUnanswered: true, Began: began})
	}
	if !isCanceled {
		if res.isBroken && !c.Links.IsDoubtful() {
			c.Upstreams.RecordBroken(u, time.Now())
		}
		if slot.RecordOutcome(queuer.Outcome{Failed: res.hasFailed, IsBroken: res.isBroken, FirstEventAfter: c.headLatency, Began: began}) {
			c.Log.Warn("upstream kept from requests", zap.String("upstream", u.ID), zap.String("why", res.reason))
		}
	}
	c.recordDuration(res, began)
	if res.isForwarded || res.err != nil {
		return res.isForwarded, res.err
	}
	c.Metrics.attempts.WithLabelValues(c.admission.Service, "failed").Inc()
	c.Log.Info("attempt failed", zap.String("request", c.requestInfo.ID), zap.String("upstream", u.ID), zap.String("software", u.Software),
		zap.String("content", losstracker.FormatFingerprint(c.fingerprint)), zap.Int("known-losses", c.tracked.KnownLosses()), zap.Int64("born", u.StartedAtMs), zap.Int64("orders", u.NumOrders),
		zap.Bool("not-run", res.isNotRun), zap.Bool("left", isCanceled && !stopper.HasEnded(ctx)),
		zap.Strings("parts", c.loggedParts()), zap.Int("events", c.stream.numEvents-eventsBefore), zap.Duration("since-event", c.stream.sinceEvent()), zap.String("why", res.reason), zap.Duration("took", time.Since(began)))
	if ending == losstracker.Broken && c.ExchangeLosses != nil {
		c.ExchangeLosses(ctx, c.Losses.IsSuspect(c.fingerprint, c.parts))
	}
	if isCanceled || res.isNotRun || c.route.MayRetry() || c.route.IsStream && c.route.IsResumable {
		return false, nil
	}
	return false, c.withEarlierAttempts(incompleteReply("%s", res.reason))
}

// ending returns what the end of an attempt says about its upstream.
func (c *call) ending(res attemptResult, isCanceled bool, took time.Duration) losstracker.Ending {
	switch {
	case res.isForwarded && !res.hasFailed && c.reply.status < http.StatusMultipleChoices:
		return losstracker.Succeeded
	case res.isUnsent || res.isWithheld:
		return losstracker.Unsent
	case res.isNotRun || res.isComplete || res.isForwarded && !res.hasFailed:
		return losstracker.Completed
	case isCanceled || !res.hasFailed:
		if c.headLatency == 0 && took > noResponseTimeout {
			return losstracker.Abandoned
		}
		return losstracker.Left
	}
	return losstracker.Broken
}

// exchange sends the request to the upstream and forwards the response.
func (c *call) exchange(ctx context.Context, slot *queuer.Slot, began time.Time) attemptResult {
	u := slot.Upstream
	remaining := time.Until(c.deadline)
	tctx, cancelTimeout := context.WithTimeout(ctx, remaining+responseGrace)
	defer cancelTimeout()
	actx, cancel := context.WithCancelCause(tctx)
	defer cancel(nil)
	req := c.req
	req.Header = c.Codec.OutgoingHeader(c.clientHeader, Attempt{
		Upstream: u.ID, TimeLeft: remaining, Priority: c.route.Priority, LastEventID: c.stream.ids.last,
		HasAccounts: !c.Config().Accounts.IsEmpty(), Account: c.accountName(),
	})
	req.MaySend = func() error { return c.maySend(ctx) }
	cut := c.watchCut(remaining, cancel)
	resp, err := c.Pool.Do(actx, u.Address, &req)
	cut.stop()
	if err != nil {
		if errors.Is(err, errClientLeft) {
			c.cancel() // not earlier, which would reset a connection that can be used again
		}
		if errors.Is(err, errWithheld) {
			return attemptResult{isNotRun: true, isWithheld: true, reason: err.Error()}
		}
		unsent := !courier.WasSent(err)
		if c.hasNoRoom(u, err) {
			return attemptResult{hasNoRoom: true, isNotRun: unsent, isUnsent: unsent, reason: "the upstream takes no new connections: " + err.Error()}
		}
		var e *courier.Error
		if errors.As(err, &e) && e.IsDial && ctx.Err() == nil {
			c.Pool.CloseIdle(u.Address)
		}
		return attemptResult{hasFailed: !errors.Is(err, errLinksCut), isNotRun: unsent, isUnsent: unsent, isBroken: actx.Err() == nil, reason: err.Error()}
	}
	defer resp.Body.Close()
	slot.RecordPrefill()
	c.headLatency = time.Since(began)
	c.origin.upstream, c.origin.openedAt = u, resp.OpenedAt
	r := c.Codec.ParseResponse(resp.Status, resp.Header)
	if r.IsLimited {
		c.Metrics.limited.WithLabelValues(c.admission.Service).Inc()
	}
	// A misdirected request may have reached another upstream at the same address.
	if r.Upstream == u.ID || r.Upstream == "" && resp.Status != http.StatusMisdirectedRequest {
		r.SentAt, r.IsAuthentic = began, resp.IsMatched && (r.IsStamped || r.NotRun)
		c.Upstreams.ApplyNotice(u.ID, u.StartedAtMs, r.Notice, time.Now())
		if r.HasLoad {
			slot.RecordLoad(r.Load)
		}
		if resp.IsMatched && r.IsStamped && resp.Status < http.StatusMultipleChoices {
			slot.RecordFirst(c.headLatency)
		}
	}
	if c.requestInfo.Model != "" && resp.IsMatched && r.IsStamped && resp.Status < http.StatusMultipleChoices {
		c.Upstreams.RecordServed(u, began, time.Now())
	}
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		return attemptResult{isNotRun: true, misdirected: &r, reason: "misdirected"}
	case r.NotRun: // an unmatched response comes only on a new connection, so it is to this request
		return attemptResult{isNotRun: true, isRefused: true, reason: "upstream refused with status " + strconv.Itoa(resp.Status)}
	case !resp.IsMatched:
		return attemptResult{hasFailed: true, reason: "answer without the request's id"}
	case resp.Header.Get("Content-Encoding") != "":
		return attemptResult{hasFailed: true, reason: "encoded answer"}
	case resp.Status < http.StatusMultipleChoices && !r.IsStamped:
		return attemptResult{hasFailed: true, reason: "success without a stamp"}
	case isPromise(resp.Status) && !r.IsStamped: // the client would take it for a request that did not run
		return attemptResult{hasFailed: true, reason: "refusal that does not say that the request did not run, with status " + strconv.Itoa(resp.Status)}
	}
	slot.RecordAccepted()
	return c.forward(actx, slot, resp)
}

// isPromise reports whether a status tells a client that its request did not run and will not.
func isPromise(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// recordMisdirected records why the upstream refused a misdirected request: the
// address now belongs to another upstream, or the model or adapter is not loaded, for
// instance because the upstream's process has restarted.
func (c *call) recordMisdirected(u *registrar.Upstream, r ResponseInfo) {
	if r.Upstream != "" && r.Upstream != u.ID {
		c.Upstreams.RecordGone(u.ID, u.StartedAtMs, "its address answers as another upstream")
		return
	}
	c.Upstreams.RecordMisdirected(u, c.requestInfo.Model, c.requestInfo.Adapter, time.Now())
}

// forwardPlain forwards a response that is not a stream.
func (c *call) forwardPlain(resp *courier.Response) attemptResult {
	// An idempotent request that failed with status 500 is retried at another upstream.
	canRetry := resp.Status == http.StatusInternalServerError && c.route.MayRetry() && !c.handOn.isRunning && c.numMayHaveRun+1 < c.route.MaxAttempts &&
		time.Until(c.deadline) > minUpstreamTime
	held := buffer{of: &c.Buffers}
	defer held.release()
	body, err := readHeld(resp.Body, &held)
	isComplete := errors.Is(err, io.EOF)
	switch {
	case !resp.HasLength && resp.Status < http.StatusMultipleChoices && isChunked(body):
		return attemptResult{hasFailed: true, reason: errLostFraming.Error()}
	case isComplete || errors.Is(err, errBuffersFull):
		err = nil
	}
	switch {
	case err != nil:
		return attemptResult{hasFailed: isBreak(err), isBroken: isBreak(err), reason: "answer broke off: " + err.Error()}
	case canRetry && isComplete && c.retryBudget().TryWithdraw():
		c.isRetryCharged, c.fallback = true, &plainResponse{resp.Status, resp.Header, body}
		return attemptResult{hasFailed: true, isComplete: true, reason: "status 500"}
	}
	length := -1
	if isComplete && c.req.Method != http.MethodHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		length = len(body)
	}
	if err := c.reply.begin(resp.Status, resp.Header, length); err != nil {
		return attemptResult{hasFailed: true, reason: err.Error()}
	}
	failed := resp.Status >= http.StatusInternalServerError
	ahead := c.readAhead(resp, false, isComplete)
	defer ahead.close()
	if err := ahead.write(body); err != nil {
		return attemptResult{isForwarded: true, hasFailed: failed, isComplete: isComplete, err: truncatedError{err}}
	}
	if !isComplete {
		if err := ahead.copyRest(); err != nil {
			return attemptResult{hasFailed: !isEndedHere(err) && isBreak(err), err: truncatedError{err}}
		}
	}
	if err := ahead.finish(); err != nil {
		return attemptResult{isForwarded: true, hasFailed: failed, isComplete: true, err: truncatedError{err}}
	}
	c.reply.complete()
	return attemptResult{isForwarded: true, hasFailed: failed, isComplete: true}
}

// readHeld reads a body until it has ended with io.EOF, or failed, or until no more of it
// can be held: then the error is errBuffersFull.
func readHeld(r io.Reader, held *buffer) ([]byte, error) {
	body := make([]byte, 0, minReadBytes)
	for {
		if len(body) == cap(body) {
			grown := min(2*cap(body), maxBufferedBytes)
			if grown == cap(body) || held.resize(grown) != nil {
				return body, errBuffersFull
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
	}
}

// plainResponse is a complete response that is kept while the request is retried.
type plainResponse struct {
	status int
	header http.Header
	body   []byte
}

// sendFallback sends the kept response to the client. It reports false if there
// is none, or if another response has begun.
func (c *call) sendFallback() bool {
	if c.fallback == nil || c.reply.begin(c.fallback.status, c.fallback.header, len(c.fallback.body)) != nil {
		return false
	}
	_, _ = c.reply.Write(c.fallback.body) // fails only if the client has disconnected
	c.reply.complete()
	return true
}

// connectionHeaders are the headers that apply to a single connection (hop by hop).
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// copyHeader copies the headers that apply end to end, without those that the
// Connection header names.
func copyHeader(to, from http.Header) {
	named := make(map[string]bool)
	for _, v := range from["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, v := range from {
		if !connectionHeaders[k] && !named[k] {
			to[k] = v
		}
	}
}

// Forwardable returns the headers that are forwarded to an upstream.
func Forwardable(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	copyHeader(to, from)
	return to
}
