package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

type callerQueries struct{ e *Entry }

// Locate names the entry instances for a target. The holder of the model's
// shard ranks first, since the same hashing chooses both.
func (q *callerQueries) Locate(_ context.Context, req *connect.Request[callerv1.LocateRequest]) (*connect.Response[callerv1.LocateResponse], error) {
	resp := &callerv1.LocateResponse{KeepMs: uint32(q.e.Settings.Timing.LocateKeep.Milliseconds())}
	addresses := make(map[string]string)
	var cands []locator.Candidate
	for _, m := range q.e.watcher.Members() {
		if m.IsUsable() && m.CallerAddress != "" {
			cands = append(cands, locator.Candidate{Name: m.Name, DataCentre: m.DataCentre})
			addresses[m.Name] = m.CallerAddress
		}
	}
	for _, c := range locator.Rank(locateKey(req.Msg.GetTarget()), cands) {
		resp.Addresses = append(resp.Addresses, addresses[c.Name])
	}
	if len(resp.GetAddresses()) == 0 {
		return nil, verdict.Refuse(verdict.ReasonStopping, time.Second, "no entry instance is in use").ToConnect("")
	}
	return connect.NewResponse(resp), nil
}

func locateKey(target string) string {
	return shardKey(folder.ShardOf(target))
}

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
