package relayer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// HeaderHandedOn is the header of a request that a peer has handed on. It holds the number of
// attempts that may run. Such a request is not handed on again.
const HeaderHandedOn = "Primrosedrift-Handed-On"

// headerCutOff is in the refusal of a peer that has lost its own links to the upstreams, or stops:
// another peer may serve the request.
const headerCutOff = "Primrosedrift-Cut-Off"

// maxPeersTried bounds the peers to which a request is sent, each after the one before
// provably did not receive it or refused it.
const maxPeersTried = 3

// homeRetryAfter is the retry delay while the instances that send requests to a brittle service cannot be reached.
const homeRetryAfter = 500 * time.Millisecond

// handOnState says whether a request comes from a peer or goes to one.
type handOnState struct {
	isReceived bool // from a peer
	// takesProgress says that the peer takes informational responses.
	takesProgress bool
	isRunning     bool   // an exchange with a peer runs
	peer          string // address of the last peer to which it was sent
	hasGivenUp    bool   // no peer has received it
}

// receiveHandedOn applies what a peer says about a request that it has handed on.
func (c *call) receiveHandedOn(r *http.Request) error {
	v := r.Header.Get(HeaderHandedOn)
	if v == "" {
		return nil
	}
	attempts, err := strconv.Atoi(v)
	if err != nil || attempts < 1 {
		return errors.Newf("malformed header %s: %q", HeaderHandedOn, v)
	}
	r.Header.Del(HeaderHandedOn) // not for the upstream
	c.handOn.isReceived, c.handOn.takesProgress = true, r.Header.Get(headerProgress) != ""
	r.Header.Del(headerProgress)
	c.route.MaxAttempts = min(max(c.route.MaxAttempts, 1), attempts)
	return nil
}

// peersToTry returns the peers that should serve the request: those that send such requests
// if the upstreams are brittle, in their order, and any if the links of this instance to the upstreams are cut or
// it cannot check the key.
func (c *call) peersToTry() []string {
	if c.handOn.isReceived || c.handOn.peer != "" || c.handOn.hasGivenUp || c.attemptsLeft() <= 0 {
		return nil
	}
	var out []string
	for _, home := range c.Queue.Homes(c.admission) {
		if p, ok := c.PeerOf(home); ok && (p.KnowsAccounts || !c.needsKey()) {
			out = append(out, p.Address)
		}
		if len(out) == maxPeersTried {
			break
		}
	}
	if c.Links.IsCut() || c.isKeyStale {
		out = append(out, c.handOnPeers()...)
	}
	return out
}

func (c *call) attemptsLeft() int { return max(c.route.MaxAttempts, 1) - c.numMayHaveRun }

// tryPeers hands the request on. It reports done if a response was forwarded, and neither done
// nor an error if no peer has received it.
func (c *call) tryPeers(ctx context.Context, peers []string) (done bool, err error) {
	for _, address := range peers[:min(len(peers), maxPeersTried)] {
		if ctx.Err() != nil || time.Until(c.deadline) < minUpstreamTime {
			break
		}
		began := time.Now()
		res, refusal := c.exchangeWithPeer(ctx, address)
		c.lastFailure = res.reason
		c.recordDuration(res, began)
		if !res.isNotRun {
			c.numMayHaveRun++
		}
		c.Log.Info("request handed on", zap.String("request", c.requestInfo.ID), zap.String("peer", address), zap.Bool("forwarded", res.isForwarded),
			zap.Bool("not-run", res.isNotRun), zap.Bool("left", ctx.Err() != nil && !stopper.HasEnded(ctx)), zap.String("why", res.reason), zap.Duration("since-event", c.stream.sinceEvent()), zap.Duration("took", time.Since(began)), logger.Error(res.err))
		c.Metrics.handedOn.WithLabelValues(c.admission.Service, handOnOutcome(res)).Inc()
		switch {
		case res.isForwarded || res.err != nil:
			return res.isForwarded, res.err
		case res.isPeerCut:
			c.handOn.peer = ""
			continue
		case refusal != nil:
			return false, c.withEarlierAttempts(*refusal)
		case res.isUnsent:
			continue
		case c.reply.hasBegun() && c.mayContinue() && c.attemptsLeft() > 0 && c.retryBudget().TryWithdraw():
			return false, nil // the rest, from wherever it can be served now
		}
		return false, c.withEarlierAttempts(incompleteReply("%s", res.reason))
	}
	if ctx.Err() != nil {
		return false, c.refuse(verdict.ReasonCanceled, 0, "the client left")
	}
	c.handOn.hasGivenUp = true
	if len(c.Queue.Homes(c.admission)) >= maxPeersTried {
		// If each instance sent requests whose home it cannot reach, brittle upstreams would fall over.
		return false, c.refuse(verdict.ReasonNoUpstream, homeRetryAfter, "the upstreams are brittle, and none of the instances that should send the request can be reached")
	}
	c.admission.IgnoresCut, c.admission.IsHandedOn = true, true
	return false, nil
}

// refuseIfCut refuses a request that a peer has handed on, if this instance has lost its links
// as well. The peer then tries another one.
func (c *call) refuseIfCut() error {
	if !c.handOn.isReceived || !c.Links.IsCut() || c.reply.hasBegun() {
		return nil
	}
	c.reply.w.Header().Set(headerCutOff, "1")
	return c.refuse(verdict.ReasonNoUpstream, minRetryAfter, "the links to the upstreams are cut")
}

// handOnOutcome returns the result of an exchange with a peer, for metrics.
func handOnOutcome(res attemptResult) string {
	switch {
	case res.isForwarded:
		return "forwarded"
	case res.isNotRun:
		return "not-run"
	}
	return "failed"
}

// exchangeWithPeer sends the request to a peer once and forwards its response. It returns a
// refusal if the peer has refused the request.
func (c *call) exchangeWithPeer(ctx context.Context, address string) (attemptResult, *verdict.Refusal) {
	c.handOn.isRunning = true
	defer func() { c.handOn.isRunning = false }()
	left := time.Until(c.deadline)
	actx, cancel := context.WithTimeout(ctx, left+2*responseGrace)
	defer cancel()
	resumes := c.requestInfo.Resumes
	if resumes == "" && c.reply.hasBegun() {
		resumes = c.requestInfo.ID
	}
	req := c.req
	req.Header = c.Codec.HandOnHeader(c.clientHeader, left, c.stream.ids.last, resumes)
	req.Header.Set(HeaderHandedOn, strconv.Itoa(c.attemptsLeft()))
	askForProgress(req.Header)
	req.TakesProgress = true
	req.MaySend = func() error { return c.checkPresence(ctx, hopPeer) }
	resp, err := c.PeerPool.Do(actx, address, &req)
	if err != nil {
		if errors.Is(err, errClientLeft) {
			c.cancel()
		}
		unsent := !courier.WasSent(err)
		return attemptResult{isNotRun: unsent, isUnsent: unsent, reason: "peer: " + err.Error()}, nil
	}
	defer resp.Body.Close()
	c.handOn.peer = address
	r := c.Codec.ParseResponse(resp.Status, resp.Header)
	switch {
	case !resp.IsMatched:
		return attemptResult{reason: "peer: answer without the request's id"}, nil
	case r.IsStamped:
		return c.forward(actx, nil, resp), nil
	case resp.Status == http.StatusServiceUnavailable && resp.Header.Get(headerCutOff) != "":
		return attemptResult{isNotRun: true, isPeerCut: true, reason: "peer: cut off as well, or stopping"}, nil
	case resp.Status == http.StatusServiceUnavailable:
		refusal := verdict.Refuse(verdict.ReasonNoUpstream, retryAfterOf(resp.Header), "refused by the peer at %s", address)
		return attemptResult{isNotRun: true, reason: "peer: refused"}, &refusal
	case resp.Status == http.StatusTooManyRequests:
		refusal := verdict.Refuse(verdict.ReasonOverQuota, retryAfterOf(resp.Header), "refused by the peer at %s", address)
		return attemptResult{isNotRun: true, reason: "peer: refused"}, &refusal
	case resp.Status >= http.StatusBadRequest && resp.Status < http.StatusInternalServerError:
		return attemptResult{isNotRun: true, err: statusError{status: resp.Status, reason: "rejected by the peer at " + address}}, nil
	}
	return attemptResult{reason: "peer: status " + strconv.Itoa(resp.Status)}, nil
}

// retryAfterOf returns the retry delay that a peer states.
func retryAfterOf(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s < 0 {
		return minRetryAfter
	}
	return min(time.Duration(s*float64(time.Second)), maxRetryAfter)
}
