package relayer

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// What a stop does with a request, as labels of metrics.
const (
	actionRefused  = "refused"  // it did not run
	actionAnswered = "answered" // it may have run
	actionCut      = "cut"      // a part of its response was sent
)

// stopState is what a stop of the instance means for a request.
type stopState struct {
	fit      stopper.Fit // of the last send that was refused
	hasEnded bool        // the time of the stop was over before the request was
}

// recordDuration records how long a request of the route runs, if the attempt shows it.
func (c *call) recordDuration(res attemptResult, began time.Time) {
	isWhole := c.requestInfo.LastEventID == "" && c.numMayHaveRun <= 1
	if isWhole && (res.isForwarded && c.reply.status < http.StatusMultipleChoices || !res.isNotRun && time.Now().After(c.deadline)) {
		c.Stop.Record(c.route.Name, time.Since(began))
	}
}

// refuseIfStopping refuses to send a request that is not expected to end before the stop does.
func (c *call) refuseIfStopping() error {
	plan, ok := c.Stop.Schedule()
	if !ok {
		return nil
	}
	f := plan.Fit(c.admission.Takes, time.Now(), c.deadline)
	if f.Fits {
		return nil
	}
	c.stop.fit = f
	return c.refuseStopped("the instance stops in %v, and the request is expected to take %v", f.Left.Round(time.Millisecond), f.Expected.Round(time.Millisecond))
}

func (c *call) refuseStopped(format string, args ...any) error {
	return c.refuse(verdict.ReasonStopping, minRetryAfter, format, args...)
}

// endedByStop returns the error of a request that the stop has ended, in place of the one that this caused.
func (c *call) endedByStop(err error) error {
	var status statusError
	var broken truncatedError
	if errors.As(err, &status) || errors.As(err, &broken) && isEndedHere(err) {
		return err
	}
	return c.refuseStopped("the instance has stopped: %v", err)
}

// markStopping tells a peer that has handed a request on that another peer may serve it.
func (c *call) markStopping(r verdict.Refusal) {
	if c.handOn.isReceived && r.Reason == verdict.ReasonStopping && r.Ran == verdict.NotRun {
		c.reply.w.Header().Set(headerCutOff, "1")
	}
}

// recordStop logs and counts a request that a stop has refused, answered or cut.
func (c *call) recordStop(err error, outcome string, took time.Duration) {
	plan, ok := c.Stop.Schedule()
	var refusal verdict.Refusal
	if !ok || !errors.As(err, &refusal) || refusal.Reason != verdict.ReasonStopping {
		return
	}
	action := actionRefused
	switch {
	case !c.reply.isComplete:
		action = actionCut
	case refusal.Ran != verdict.NotRun:
		action = actionAnswered
	}
	f := c.stop.fit
	if f.Expected == 0 { // it was not refused here: as of its arrival
		f = plan.Fit(c.admission.Takes, c.arrived, c.deadline)
	}
	c.Metrics.stopped.WithLabelValues(c.admission.Service, action).Inc()
	c.Log.Info("stop ended a request", zap.String("request", c.requestInfo.ID), zap.String("route", c.route.Name), zap.String("action", action),
		zap.String("outcome", outcome), zap.Int("status", c.reply.status), zap.Int("attempts", c.numSends), zap.Int("may-have-run", c.numMayHaveRun),
		zap.Bool("handed-on", c.handOn.isReceived), zap.String("handed-on-to", c.handOn.peer),
		zap.Duration("expected", f.Expected), zap.Bool("measured", f.IsMeasured), zap.Duration("left", f.Left),
		zap.Duration("since-signal", time.Since(plan.Signaled)), zap.Duration("until-answer", time.Until(plan.Answer)),
		zap.Duration("until-deadline", time.Until(c.deadline)), zap.Duration("waited", c.queueTime), zap.Duration("took", took),
		zap.Int("events", c.stream.numEvents), zap.String("upstream", c.lastUpstream), logger.Error(err))
}
