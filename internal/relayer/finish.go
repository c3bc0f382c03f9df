package relayer

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// finish responds to a request that was not served, and logs how it ended.
func (c *call) finish(r *http.Request, err error) {
	outcome := "served"
	var statusErr statusError
	var refusal verdict.Refusal
	switch {
	case err == nil:
	case isEndedHere(err): // which has canceled the context
		outcome = "broken"
	case c.isGone(r) && !c.stop.hasEnded:
		outcome = "left"
	case c.reply.hasBegun():
		outcome = "broken"
	case errors.As(err, &statusErr):
		outcome = "rejected"
		c.writeStatus(statusErr.status, statusErr.retryAfter)
	case errors.As(err, &refusal):
		outcome = refusal.Ran.String()
		c.markStopping(refusal)
		c.writeStatus(c.statusOf(refusal), refusal.RetryAfter)
	default:
		outcome = "may-have-run"
		c.writeStatus(http.StatusBadGateway, 0)
	}
	took := time.Since(c.arrived)
	c.Metrics.observe(c, outcome, took)
	fields := []zap.Field{
		zap.String("request", c.requestInfo.ID), zap.String("route", c.route.Name), zap.String("account", c.accountName()), zap.String("outcome", outcome),
		zap.Int("status", c.reply.status), zap.String("service", c.admission.Service), zap.String("model", c.requestInfo.Model),
		zap.String("adapter", c.requestInfo.Adapter), zap.String("upstream", c.lastUpstream), zap.String("software", c.lastSoftware), zap.Int("attempts", c.numSends),
		zap.Duration("view-age", c.ViewAge()), zap.Duration("waited", c.queueTime), zap.Duration("first", c.headLatency), zap.Duration("took", took),
		zap.Duration("objective", c.route.Objective),
	}
	fields = append(fields, c.presenceFields()...)
	if c.stream.numEvents > 0 {
		fields = append(fields, zap.Int("events", c.stream.numEvents), zap.Duration("longest-pause", c.stream.longestGap), zap.Duration("most-pause", c.route.MaxEventGap))
	}
	if c.choice.Compared > 0 {
		fields = append(fields, zap.Duration("expected-first", c.choice.First), zap.Duration("expected-pause", c.choice.Pause),
			zap.Float64("expected-late", c.choice.Late), zap.Float64("slowdown", c.choice.Slowdown), zap.Duration("slowdown-age", c.choice.SlowdownAge),
			zap.Float64("assumed-running", c.choice.Running), zap.Int("tokens-in-front", c.choice.TokensInFront), zap.Int("compared", c.choice.Compared))
	}
	if len(c.requestInfo.Parts) > 0 {
		fields = append(fields, zap.Strings("parts", c.loggedParts()))
	}
	if c.handOn.peer != "" {
		fields = append(fields, zap.String("handed-on-to", c.handOn.peer))
	}
	if c.handOn.isReceived {
		fields = append(fields, zap.String("handed-on-by", r.RemoteAddr))
	}
	if c.requestInfo.LastEventID != "" {
		fields = append(fields, zap.String("resumes", c.requestInfo.Resumes), zap.String("after-event", c.requestInfo.LastEventID))
	}
	if c.cfg != nil {
		fields = append(fields, zap.Int64("config", c.cfg.Version))
	}
	if err != nil && c.fingerprint != 0 {
		fields = append(fields, zap.String("content", losstracker.FormatFingerprint(c.fingerprint)))
	}
	if err != nil {
		fields = append(fields, zap.String("why", err.Error()))
	}
	c.Log.Info("request ended", fields...)
	c.recordStop(err, outcome, took)
}

// statusOf returns the status for a refusal: 429 if the request is over a quota, and 503 if
// it did not run for another reason. If it may have run, 504 if its deadline has passed and
// 502 otherwise.
func (c *call) statusOf(r verdict.Refusal) int {
	switch {
	case r.Ran == verdict.NotRun && r.Reason == verdict.ReasonOverQuota:
		return http.StatusTooManyRequests
	case r.Ran == verdict.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// writeStatus sends an empty response with the status. retryAfter is used with
// status 503 and 429 only.
func (c *call) writeStatus(status int, retryAfter time.Duration) {
	h := c.reply.w.Header()
	if c.requestInfo.ID != "" {
		h.Set(c.Codec.IDHeader, c.requestInfo.ID)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		retryAfter = min(max(verdict.JitteredRetryDelay(c.requestInfo.ID, retryAfter/2), minRetryAfter), maxRetryAfter)
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(retryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	c.reply.sendEmpty(status)
}
