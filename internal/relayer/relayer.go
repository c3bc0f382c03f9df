package relayer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/authenticator"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/endchecker"
	"github.com/primrosedrift/primrosedrift/internal/linkwatcher"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/queuer"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/retrier"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
	"github.com/primrosedrift/primrosedrift/internal/verifier"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const (
	// clientTimeoutMargin is how long before the client's timeout a queued
	// request is rejected, so that the rejection still reaches the client.
	clientTimeoutMargin = 150 * time.Millisecond
	// minUpstreamTime is the minimum time that a request needs at an upstream.
	minUpstreamTime = 30 * time.Millisecond
	// responseGrace is how long after the deadline to wait for the upstream's
	// own response.
	responseGrace = 150 * time.Millisecond
	// maxSends bounds the attempts for a request that reach an upstream, including those
	// that provably did not run.
	maxSends = 4
	// maxUnreachableSends bounds the attempts for a request that do not reach their
	// upstream. The next attempt after one of these is not charged to the retry budget.
	maxUnreachableSends = 8
	// maxRetryAfter bounds the Retry-After header.
	maxRetryAfter = 8 * time.Second
	// defaultMaxBodyBytes bounds request bodies if the configuration has no limit.
	defaultMaxBodyBytes = 4 << 20
)

// RequestInfo are the properties of a request that its headers state.
type RequestInfo struct {
	ID string
	// Deadline is how long the client waits, zero if it is not stated.
	Deadline       time.Duration
	Model, Adapter string
	PromptTokens   int
	// ResponseTokens is the maximum number of tokens of the response.
	ResponseTokens int
	// Key is the key of the client account, empty if there is none. KeyFault says why the
	// header that should hold it is invalid.
	Key, KeyFault string
	// Prefix identifies the part of the prompt that is shared with other requests.
	Prefix string
	// Parts are the ids of the parts of the prompt in order, without the last, which
	// belongs to this request alone.
	Parts       []string
	LastEventID string // set if the client resumes a stream
	// Resumes is the id of the request that brought the first event of that stream, empty
	// if the client does not state it.
	Resumes string
}

// Attempt holds the values that an attempt adds to the request's headers.
type Attempt struct {
	Upstream string        // id of the only upstream that may run the request
	TimeLeft time.Duration // until the deadline
	Priority int
	// HasAccounts says that the configuration has client accounts, and Account is the name
	// of the one that sent the request, empty on public routes.
	HasAccounts bool
	Account     string
	// LastEventID, if not empty, requests the events after it.
	LastEventID string
}

// ResponseInfo are the properties of a response that its headers state.
type ResponseInfo struct {
	// NotRun reports that the upstream did not run the request.
	NotRun bool
	// Upstream is the id of the upstream that responded, empty if not stated.
	Upstream string
	// IsStamped reports that the response carries the upstream's signature.
	IsStamped bool
	registrar.Notice
}

// Codec reads and writes the headers that are specific to a deployment.
type Codec struct {
	// ParseRequest parses the headers of a client's request.
	ParseRequest func(r *http.Request) (RequestInfo, error)
	// OutgoingHeader returns the headers to send to the upstream.
	OutgoingHeader func(in http.Header, a Attempt) http.Header
	// HandOnHeader returns the headers to send to a peer that serves the request in place of
	// this instance. If an event id is given, the peer continues the stream after it.
	HandOnHeader func(in http.Header, timeLeft time.Duration, lastEventID, resumes string) http.Header
	// ParseResponse parses the status and headers of an upstream's response.
	ParseResponse func(status int, h http.Header) ResponseInfo
	// IDHeader names the header that carries the request's id; a response repeats it.
	IDHeader string
}

// Relayer serves requests. All fields must be set.
type Relayer struct {
	Codec        Codec
	Config       func() *matcher.Config
	Upstreams    *registrar.Table
	Queue        *queuer.Queue
	Pool         *courier.Pool
	RetryBudgets *retrier.Budgets
	Losses       *losstracker.Tracker
	// Streams knows which software versions began streams.
	Streams *streamtracker.Keeper
	// Verifier finds out whether the processes of upstreams are the registered ones. Without it
	// they count as such.
	Verifier *verifier.Verifier
	// Links knows whether this instance reaches the upstreams. While it does not, requests
	// are handed on to peers.
	Links *linkwatcher.Watcher
	// Peers returns the instances to which requests may be handed on, the preferred ones
	// first, and PeerPool holds the connections to them.
	Peers    func() []Peer
	PeerPool *courier.Pool
	// PeerOf returns a peer by the name of its instance.
	PeerOf func(instance string) (Peer, bool)
	// KeyChecks knows how far this instance can check keys.
	KeyChecks KeyChecks
	// Buffers bounds what is held of responses.
	Buffers Buffers
	// Ends finds out whether responses that end with their connection are whole.
	Ends    endchecker.Checker
	Log     *zap.Logger
	Metrics *Metrics
	// MayTry, if set, reports whether this instance tries whether a part of a prompt still
	// crashes upstreams. It must return true at one instance only.
	MayTry func() bool
	// ClaimTrial, if set, claims a trial of a refused content, of which known are known. TrialDelay is
	// how much later than the instance at which MayTry holds this one does so.
	ClaimTrial func(ctx context.Context, content uint64, known int) losstracker.Claim
	TrialDelay time.Duration
	// ExchangeLosses, if set, returns when other instances know the losses that this one knows, or
	// after a while, which is short unless isSuspect says that another loss matters.
	ExchangeLosses func(ctx context.Context, isSuspect bool)
	// Quotas charges requests to the quotas of their accounts.
	Quotas Quotas
	// ViewAge returns the age of this instance's view of the upstreams.
	ViewAge func() time.Duration
	// IsStopping reports whether the instance is shutting down. Client connections
	// are then closed after a response. New requests are still accepted until
	// IsClosed reports that they are rejected.
	IsStopping, IsClosed func() bool
	// Stop is the planned stop of the instance, nil for none.
	Stop *stopper.Stop
}

// call is the state of one request in flight.
type call struct {
	*Relayer
	requestInfo RequestInfo
	route       matcher.Route
	cfg         *matcher.Config
	req         courier.Request

	clientHeader http.Header // as the client sent it

	arrived  time.Time
	deadline time.Time
	// admission is the request to the queue for a slot.
	admission   queuer.Request
	fingerprint uint64   // of the content
	parts       []uint64 // fingerprints of the parts
	tracked     *losstracker.Attempt
	trial       *losstracker.Trial // nil unless the request is one

	reply          reply
	client         *clientConn
	clientConn     *net.TCPConn // of client, nil if it is not known
	releaseSlot    func()       // of the last attempt; may be called again
	bodyHeld       buffer       // of the request's body
	origin         originState
	isEndRead      atomic.Bool // the end of a response without a length was read
	handOn         handOnState
	numMayHaveRun  int // attempts that may have run
	numSends       int
	numUnreachable int            // sends that did not reach their upstream
	isUnsent       bool           // the last attempt did not reach its upstream
	isRetryCharged bool           // the retry budget was charged for the next attempt
	fallback       *plainResponse // sent if the retry fails
	queueTime      time.Duration
	lastUpstream   string        // id of the upstream of the last attempt
	lastSoftware   string        // version of its software
	choice         queuer.Choice // by what it was chosen
	lastFailure    string        // reason why the last attempt failed
	stream         streamState
	headLatency    time.Duration          // from the start of the last attempt to the head of its response
	account        *authenticator.Account // that sent the request, nil if none is needed
	isKeyStale     bool                   // another instance has to check the key
	isWithheld     bool                   // the last attempt was not sent, because the key has to be checked or the quota charged again
	quota          quotaState
	presence       presence
	stop           stopState
	cancel         context.CancelFunc // ends the context of the request
}

// ServeHTTP implements http.Handler.
func (h *Relayer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Relayer: h, reply: reply{w: w, isStopping: h.IsStopping}, arrived: time.Now(), clientHeader: r.Header, client: clientConnOf(r.Context()), bodyHeld: buffer{of: &h.Buffers, isBody: true}}
	c.clientConn = c.client.TCPConn
	c.client.restoreTimeout()
	defer c.bodyHeld.release()
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	c.cancel = func() { cancel(nil) }
	defer c.watchClient(r.Context())()
	defer h.Stop.OnEnd(func() { cancel(stopper.ErrEnded) })()
	err := c.prepare(r)
	if err == nil {
		c.startProgress(ctx)
		defer c.reply.progress.stop()
		defer func() { c.trial.End() }()
		err = c.serve(ctx)
	}
	if err == nil {
		c.recordStreamEnd()
	}
	c.refundQuota()
	c.stop.hasEnded = stopper.HasEnded(ctx)
	if err != nil && c.stop.hasEnded {
		err = c.endedByStop(err)
	}
	if err != nil && (ctx.Err() == nil || c.stop.hasEnded) && c.sendFallback() {
		err = nil
	}
	c.finish(r, err)
	c.reply.end()
}

// truncatedError means that a response ended early after a part of it was forwarded.
type truncatedError struct{ cause error }

func (e truncatedError) Error() string { return "answer broken off: " + e.cause.Error() }

func (e truncatedError) Unwrap() error { return e.cause }

// statusError rejects a request with an HTTP status, before any attempt.
type statusError struct {
	status     int
	retryAfter time.Duration
	reason     string
}

func (e statusError) Error() string { return e.reason }

// prepare reads the request and finds its route.
func (c *call) prepare(r *http.Request) error {
	requestInfo, err := c.Codec.ParseRequest(r)
	c.requestInfo = requestInfo
	if err != nil {
		return statusError{status: http.StatusBadRequest, reason: err.Error()}
	}
	c.cfg = c.Config()
	if c.cfg == nil {
		return verdict.Refuse(verdict.ReasonNotReady, time.Second, "no configuration is known yet")
	}
	route, ok := c.cfg.Match(r.Host, r.RequestURI)
	if !ok {
		return statusError{status: http.StatusNotFound, reason: "no route"}
	}
	c.route = route
	if err := c.checkKey(r.Context()); err != nil {
		return err
	}
	if err := c.receiveHandedOn(r); err != nil {
		return statusError{status: http.StatusBadRequest, reason: err.Error()}
	}
	limit := c.cfg.Limits.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := c.readBody(r, limit)
	if err != nil {
		return err
	}
	c.req = courier.Request{
		Method: r.Method, Host: r.Host, Target: r.RequestURI, Body: body, ID: requestInfo.ID,
		HasBody: r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != "",
	}
	c.prepareAdmission()
	if c.client.isLast.Load() {
		c.reply.w.Header().Set("Connection", "close")
		return c.refuse(verdict.ReasonCanceled, minRetryAfter, "the connection is closed, since its client has not taken the response before")
	}
	if c.IsClosed() {
		return c.refuseStopped("the instance is stopping")
	}
	return nil
}

// minRetryAfter is the retry delay where another instance can serve the request
// immediately.
const minRetryAfter = 50 * time.Millisecond

// prepareAdmission sets the request's deadline and its request to the queue.
func (c *call) prepareAdmission() {
	remaining, limitedBy := c.route.Timeout, c.deadlineLimit()
	if limitedBy == queuer.LimitDeadline {
		remaining = c.requestInfo.Deadline
	}
	c.deadline = c.arrived.Add(remaining)
	limit := c.deadline.Add(-minUpstreamTime)
	if c.route.EventTimeout > 0 {
		if p := c.arrived.Add(c.route.EventTimeout - clientTimeoutMargin); p.Before(limit) {
			limit, limitedBy = p, queuer.LimitEventTimeout
		}
	}
	c.admission = queuer.Request{
		Takes: c.Stop.Expect(c.route.Name), Deadline: c.deadline,
		Service: c.route.Service(c.requestInfo.ID), Model: c.requestInfo.Model, Adapter: c.requestInfo.Adapter,
		Priority: c.route.Priority, Objective: c.arrived.Add(c.route.Objective), StartBy: limit, StartByLimit: limitedBy,
		Prefix: c.requestInfo.Prefix, Tokens: c.requestInfo.PromptTokens, ResponseTokens: c.requestInfo.ResponseTokens, Tried: make(map[string]bool),
		MaxPause: c.route.MaxEventGap, ID: c.requestInfo.ID, IsHandedOn: c.handOn.isReceived, Account: c.accountName(),
	}
	c.fingerprint, c.parts = fingerprint(c), partFingerprints(c.requestInfo.Parts)
	c.Queue.Arrive(c.admission)
	if !c.handOn.isReceived { // the instance that has handed it on counts it
		c.retryBudget().Deposit()
	}
}

// deadlineLimit returns the limit that the deadline of the request comes from.
func (c *call) deadlineLimit() queuer.Limit {
	if c.requestInfo.Deadline > 0 && (c.route.Timeout == 0 || c.requestInfo.Deadline < c.route.Timeout) {
		return queuer.LimitDeadline
	}
	return queuer.LimitRouteTimeout
}

// serve makes attempts until a response is forwarded or no further attempt is
// allowed.
func (c *call) serve(ctx context.Context) error {
	if err := c.resolveOrigin(ctx); err != nil {
		return err
	}
	for {
		if err := c.checkKey(ctx); err != nil {
			return err
		}
		if err := c.refusePoison(ctx); err != nil {
			return err
		}
		if c.reply.hasBegun() {
			// The events so far arrived in time; only the deadline applies now.
			c.admission.StartBy = c.deadline
			c.admission.StartByLimit = c.deadlineLimit()
		}
		if err := c.refuseIfStopping(); err != nil {
			return err
		}
		if err := c.proveOrigin(ctx); err != nil {
			return c.withEarlierAttempts(verdict.FromError(err))
		}
		if err := c.refuseIfCut(); err != nil {
			return err
		}
		if peers := c.peersToTry(); len(peers) > 0 {
			c.refundQuota() // the peer charges the request
			if done, err := c.tryPeers(ctx, peers); done || err != nil {
				return err
			}
		}
		if c.isKeyStale {
			return c.refuseStaleKey()
		}
		if err := c.resolveOriginAtPeer(ctx); err != nil {
			return c.withEarlierAttempts(verdict.FromError(err))
		}
		if err := c.chargeQuota(ctx); err != nil {
			return c.withEarlierAttempts(verdict.FromError(err))
		}
		c.probe(ctx)
		admission, err := c.startAdmission(ctx)
		if err != nil {
			return c.withEarlierAttempts(verdict.FromError(err))
		}
		began := time.Now()
		slot, err := c.Queue.Acquire(ctx, admission)
		c.queueTime += time.Since(began)
		if err != nil {
			if ctx.Err() == nil && len(c.peersToTry()) > 0 {
				continue // the links were cut meanwhile, or the upstreams have become brittle
			}
			return c.withEarlierAttempts(verdict.FromError(err))
		}
		if err := c.refuseIfStopping(); err != nil { // after the wait
			slot.Release()
			return err
		}
		if err := c.renewQuota(ctx); err != nil {
			slot.Release()
			return c.withEarlierAttempts(verdict.FromError(err))
		}
		// More losses may have become known while the request waited.
		var found losstracker.Finding
		if c.tracked, found = c.Losses.TryBeginTrial(slot.Upstream.Incarnation(), c.fingerprint, c.parts, c.mayTry(), c.trial, time.Now()); c.tracked == nil {
			slot.Release()
			return c.refuseFinding(found)
		}
		if c.admission.Software != nil {
			c.tracked.MarkContinuation()
		}
		c.numSends++
		done, err := c.attempt(ctx, slot)
		if done || err != nil {
			return err
		}
		if c.isWithheld {
			continue
		}
		if c.isUnsent {
			c.Links.Settle(ctx)
		}
		if err := c.checkRetry(ctx); err != nil {
			return err
		}
	}
}

// checkRetry returns nil if the request may be sent again, and a refusal otherwise.
func (c *call) checkRetry(ctx context.Context) error {
	remaining := time.Until(c.deadline)
	switch {
	case ctx.Err() != nil:
		return c.refuse(verdict.ReasonCanceled, 0, "the client left")
	case remaining < minUpstreamTime:
		return c.refuse(verdict.ReasonDeadline, 0, "no time left after %d attempts: %s", c.numSends, c.lastFailure)
	case !c.mayContinue():
		return c.refuse(verdict.ReasonIncompleteReply, 0, "the stream cannot be resumed: %s", c.lastFailure)
	case c.isUnsent && c.numUnreachable < maxUnreachableSends:
	case c.isUnsent || c.numSends-c.numUnreachable >= maxSends || c.numMayHaveRun >= max(c.route.MaxAttempts, 1):
		return c.refuse(verdict.ReasonUpstreamFailed, minRetryAfter, "%d attempts: %s", c.numSends, c.lastFailure)
	case !c.isRetryCharged && !c.retryBudget().TryWithdraw():
		return c.refuse(verdict.ReasonUpstreamFailed, time.Second, "retry budget used up: %s", c.lastFailure)
	}
	return nil
}

// retryBudget returns the budget of the service that the request is for.
func (c *call) retryBudget() *retrier.Budget { return c.RetryBudgets.Of(c.admission.Service) }

func (c *call) refuse(reason verdict.Reason, retryAfter time.Duration, format string, args ...any) error {
	return c.withEarlierAttempts(verdict.Refuse(reason, retryAfter, format, args...))
}

// withEarlierAttempts marks the refusal as may-have-run if an earlier attempt may
// have run. If a part of a stream was forwarded, the error truncates the stream.
func (c *call) withEarlierAttempts(r verdict.Refusal) error {
	if c.numMayHaveRun > 0 {
		r = r.AfterAttempts(verdict.MayHaveRun)
	}
	if c.reply.hasBegun() {
		return truncatedError{r}
	}
	return r
}
