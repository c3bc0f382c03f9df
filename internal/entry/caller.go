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
	if address, ok := c.e.forwardTo(m.GetModel(), m.GetForwarded()); ok {
		err := c.e.forwarder.generate(ctx, address, m, c.e.forwardLimit(m.GetCustomer(), m.GetDeadlineMs()), stream.Send)
		if !errors.Is(err, errNotForwarded) {
			return c.e.forwarded("generate", m.GetRequestId(), m.GetCustomer(), m.GetModel(), err)
		}
	}
	start := time.Now()
	first := true
	var took time.Duration
	n, err := c.e.dispatcher.Generate(ctx, m, func(i uint32, token string) error {
		if first {
			took = time.Since(start)
			c.e.metrics.wait.WithLabelValues("generate").Observe(took.Seconds())
			first = false
		}
		return stream.Send(&callerv1.GenerateResponse{RequestId: m.GetRequestId(), Index: i, Token: token})
	})
	if err != nil {
		return c.e.refuse("generate", m.GetRequestId(), m.GetCustomer(), m.GetModel(), err)
	}
	c.e.burn.answered(m.GetCustomer(), m.GetModel(), took)
	c.e.answered("generate", m.GetRequestId(), m.GetCustomer(), m.GetModel())
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
	if address, ok := c.e.forwardTo(m.GetService(), m.GetForwarded()); ok {
		resp, err := c.e.forwarder.call(ctx, address, m, c.e.forwardLimit(m.GetCustomer(), m.GetDeadlineMs()))
		if !errors.Is(err, errNotForwarded) {
			return connect.NewResponse(resp), c.e.forwarded("call", m.GetRequestId(), m.GetCustomer(), m.GetService(), err)
		}
	}
	start := time.Now()
	a, err := c.e.dispatcher.Call(ctx, m)
	if err != nil {
		return nil, c.e.refuse("call", m.GetRequestId(), m.GetCustomer(), m.GetService(), err)
	}
	c.e.metrics.wait.WithLabelValues("call").Observe(time.Since(start).Seconds())
	c.e.burn.answered(m.GetCustomer(), m.GetService(), time.Since(start))
	c.e.answered("call", m.GetRequestId(), m.GetCustomer(), m.GetService())
	return connect.NewResponse(&callerv1.CallResponse{RequestId: m.GetRequestId(), Body: a.Body, Earlier: a.Earlier}), nil
}

// checkReady refuses while the state has not caught up with the log once.
func (e *Entry) checkReady(requestID string) error {
	if e.tailer.HasState() {
		return nil
	}
	return verdict.Refuse(verdict.ReasonNotReady, time.Second, "this entry instance has not read the log yet").ToConnect(requestID)
}

// forwarded counts a request that another instance has decided on.
func (e *Entry) forwarded(kind, requestID, customer, target string, err error) error {
	if err != nil {
		return e.refuse(kind, requestID, customer, target, err)
	}
	e.metrics.requests.WithLabelValues(kind, "forwarded", "").Inc()
	return nil
}

// refuse counts, explains and returns the caller's error.
func (e *Entry) refuse(kind, requestID, customer, target string, err error) error {
	r := verdict.Of(err)
	e.burn.refused(customer, target, r.Reason)
	e.metrics.requests.WithLabelValues(kind, r.Ran.String(), string(r.Reason)).Inc()
	e.Log.Named("caller").Info("request refused", zap.String("request-id", requestID), zap.String("customer", customer),
		zap.String("target", target), zap.String("reason", string(r.Reason)), zap.Stringer("ran", r.Ran))
	e.explainer.AddEnd(&operatorv1.Explanation{
		Actor: e.Settings.Instance, Event: "refused " + r.Ran.String(), Subject: requestID,
		Grounds: string(r.Reason) + ": " + r.Detail, Counted: true,
	}, requestID, customer, target)
	return r.ToConnect(requestID)
}

func (e *Entry) answered(kind, requestID, customer, target string) {
	e.metrics.requests.WithLabelValues(kind, "answered", "").Inc()
	e.explainer.AddEnd(&operatorv1.Explanation{
		Actor: e.Settings.Instance, Event: "answered", Subject: requestID, Grounds: target, Counted: true,
	}, requestID, customer, target)
}
