package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

type callerQueries struct{ e *Entry }

type callerCommands struct{ e *Entry }

// Generate serves one request to a model.
func (c *callerCommands) Generate(ctx context.Context, req *connect.Request[callerv1.GenerateRequest], stream *connect.ServerStream[callerv1.GenerateResponse]) error {
	m := req.Msg
	if m.GetRequestId() == "" {
		m.RequestId = ulid.Make().String()
	}
	if err := c.e.checkReady(m.GetRequestId()); err != nil {
		return err
	}
	if address, ok := c.e.forwardAddress(m.GetModel(), m.GetForwarded()); ok {
		if err := c.e.dispatcher.RefuseGenerateForStop(m); err != nil {
			return c.e.refuse("generate", m.GetRequestId(), m.GetCustomer(), m.GetModel(), err)
		}
		err := c.e.forwarder.generate(ctx, address, m, c.e.forwardTimeout(m.GetCustomer(), m.GetDeadlineMs()), stream.Send)
		if !errors.Is(err, errNotForwarded) {
			err = endedByStop(ctx, err)
			return streamError(err, c.e.recordForwarded("generate", m.GetRequestId(), err))
		}
	}
	start := time.Now()
	isFirst := true
	var firstTokenAfter time.Duration
	n, err := c.e.dispatcher.Generate(ctx, m, func(i uint32, token, software string) error {
		if isFirst {
			firstTokenAfter = time.Since(start)
			c.e.metrics.wait.WithLabelValues("generate").Observe(firstTokenAfter.Seconds())
			isFirst = false
		}
		return stream.Send(&callerv1.GenerateResponse{RequestId: m.GetRequestId(), Index: i, Token: token, Software: software})
	})
	if err != nil {
		err = endedByStop(ctx, err)
		return streamError(err, c.e.refuse("generate", m.GetRequestId(), m.GetCustomer(), m.GetModel(), err))
	}
	c.e.burn.recordAnswer(m.GetCustomer(), m.GetModel(), firstTokenAfter)
	c.e.recordAnswer("generate", m.GetRequestId(), m.GetCustomer(), m.GetModel())
	return stream.Send(&callerv1.GenerateResponse{RequestId: m.GetRequestId(), Index: n, End: true, Count: n})
}

// Call serves one request to a plain service.
func (c *callerCommands) Call(ctx context.Context, req *connect.Request[callerv1.CallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	m := req.Msg
	if m.GetRequestId() == "" {
		m.RequestId = ulid.Make().String()
	}
	if err := c.e.checkReady(m.GetRequestId()); err != nil {
		return nil, err
	}
	if address, ok := c.e.forwardAddress(m.GetService(), m.GetForwarded()); ok {
		timeout := c.e.forwardTimeout(m.GetCustomer(), m.GetDeadlineMs())
		if err := c.e.dispatcher.RefuseCallForStop(m, timeout); err != nil {
			return nil, c.e.refuse("call", m.GetRequestId(), m.GetCustomer(), m.GetService(), err)
		}
		resp, err := c.e.forwarder.call(ctx, address, m, timeout)
		if !errors.Is(err, errNotForwarded) {
			return connect.NewResponse(resp), c.e.recordForwarded("call", m.GetRequestId(), endedByStop(ctx, err))
		}
	}
	start := time.Now()
	resp, err := c.e.dispatcher.Call(ctx, m)
	if err != nil {
		return nil, c.e.refuse("call", m.GetRequestId(), m.GetCustomer(), m.GetService(), endedByStop(ctx, err))
	}
	c.e.metrics.wait.WithLabelValues("call").Observe(time.Since(start).Seconds())
	c.e.burn.recordAnswer(m.GetCustomer(), m.GetService(), time.Since(start))
	c.e.recordAnswer("call", m.GetRequestId(), m.GetCustomer(), m.GetService())
	return connect.NewResponse(&callerv1.CallResponse{RequestId: m.GetRequestId(), Body: resp.Body, Earlier: resp.IsReplay}), nil
}

// checkReady refuses requests until the instance has a state to serve from, and when it accepts no more.
func (e *Entry) checkReady(requestID string) error {
	if err := e.checkAccepts(); err != nil {
		return verdict.FromError(err).ToConnect(requestID)
	}
	if e.tailer.HasState() {
		return nil
	}
	return verdict.Refuse(verdict.ReasonNotReady, time.Second, "this entry instance has not read the log yet").ToConnect(requestID)
}

// recordForwarded counts a forwarded request and returns the error for the
// caller. The other instance has counted and explained the request's outcome.
func (e *Entry) recordForwarded(kind, requestID string, err error) error {
	e.metrics.requests.WithLabelValues(kind, "forwarded", "").Inc()
	if err != nil {
		return verdict.FromError(err).ToConnect(requestID)
	}
	return nil
}

// refuse counts, logs and explains a refusal and returns the error for the caller.
func (e *Entry) refuse(kind, requestID, customer, target string, err error) error {
	r := verdict.FromError(err)
	e.burn.recordRefusal(customer, target, r.Reason)
	e.metrics.requests.WithLabelValues(kind, r.Ran.String(), string(r.Reason)).Inc()
	e.Log.Named("caller").Info("request refused", zap.String("request-id", requestID), zap.String("customer", customer),
		zap.String("target", target), zap.String("reason", string(r.Reason)), zap.Stringer("ran", r.Ran))
	e.explainer.AddRequestEnd(&operatorv1.Explanation{
		Actor: e.Settings.Instance, Event: "refused " + r.Ran.String(), Subject: requestID,
		Grounds: string(r.Reason) + ": " + r.Detail, Counted: true,
	}, requestID, customer, target)
	return r.ToConnect(requestID)
}

// recordAnswer counts and explains an answered request.
func (e *Entry) recordAnswer(kind, requestID, customer, target string) {
	e.metrics.requests.WithLabelValues(kind, "answered", "").Inc()
	e.explainer.AddRequestEnd(&operatorv1.Explanation{
		Actor: e.Settings.Instance, Event: "answered", Subject: requestID, Grounds: target, Counted: true,
	}, requestID, customer, target)
}
