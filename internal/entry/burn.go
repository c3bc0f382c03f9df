package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/burner"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// maxPendingLoads bounds the loads whose end has not been read yet.
const maxPendingLoads = 4096

// allLabel is the customer and the class of events that concern all customers
// and classes.
const allLabel = "all"

// Reasons of bad events, in addition to the reasons of refusals.
const (
	reasonLate       = "late"
	reasonLoadFailed = "load-failed"
)

// callerErrors holds the reasons of refusals that the caller caused. Such refusals
// use no error budget.
var callerErrors = map[verdict.Reason]bool{
	verdict.ReasonInvalid: true, verdict.ReasonNoContract: true, verdict.ReasonUnknownTarget: true,
	verdict.ReasonCanceled: true, verdict.ReasonEarlierAttempt: true, verdict.ReasonKeyTooOld: true,
}

// burnCounter counts the good and bad events of this instance for each
// service-level objective.
type burnCounter struct {
	burner.Burner
	keeper       *keeper.Keeper
	incarnation  string
	pendingLoads *lru.Cache[string, pendingLoad] // by replica
}

// pendingLoad is a load that this instance has decided and that has not ended.
type pendingLoad struct {
	model     string
	decidedAt time.Time
}

func newBurnCounter(k *keeper.Keeper, incarnation string) *burnCounter {
	pendingLoads, err := lru.New[string, pendingLoad](maxPendingLoads)
	if err != nil {
		panic(err) // fails only for a size below 1
	}
	c := &burnCounter{keeper: k, incarnation: incarnation, pendingLoads: pendingLoads}
	c.Start(time.Now())
	return c
}

// classAndWaitingTime returns the request class and the maximum waiting time of a
// customer's requests to a target, or false if the customer has no contract.
func (c *burnCounter) classAndWaitingTime(customer, target string) (class string, wait time.Duration, ok bool) {
	c.keeper.View(func(s *applier.State) {
		contract := s.Config.Contracts[customer]
		if contract == nil {
			return
		}
		ok = true
		wait = time.Duration(contract.GetWaitingTimeMs()) * time.Millisecond
		class = className(contract.GetClass())
		if m := s.Config.Models[target]; m.GetClass() != 0 {
			class = className(m.GetClass())
		}
	})
	return class, wait, ok
}

func className(c recordv1.RequestClass) string {
	switch c {
	case recordv1.RequestClass_REQUEST_CLASS_URGENT:
		return "urgent"
	case recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE:
		return "interactive"
	case recordv1.RequestClass_REQUEST_CLASS_BATCH:
		return "batch"
	}
	return "none"
}

// recordAnswer counts an answered request. took is the time to the first byte of
// the response.
func (c *burnCounter) recordAnswer(customer, target string, took time.Duration) {
	class, wait, ok := c.classAndWaitingTime(customer, target)
	if !ok {
		return
	}
	reason := ""
	if took > wait {
		reason = reasonLate
	}
	now := time.Now()
	c.Add(now, burner.Key{Customer: customer, Class: class, Objective: burner.AnsweredInTime}, reason)
	c.Add(now, burner.Key{Customer: customer, Class: class, Objective: burner.NotRefused}, "")
}

// recordRefusal counts a refused request.
func (c *burnCounter) recordRefusal(customer, target string, reason verdict.Reason) {
	class, _, ok := c.classAndWaitingTime(customer, target)
	if !ok || callerErrors[reason] {
		return
	}
	now := time.Now()
	c.Add(now, burner.Key{Customer: customer, Class: class, Objective: burner.AnsweredInTime}, string(reason))
	c.Add(now, burner.Key{Customer: customer, Class: class, Objective: burner.NotRefused}, string(reason))
}

// recordPublish counts a configuration change. took is the time until it was read
// back from the log.
func (c *burnCounter) recordPublish(took time.Duration) {
	reason := ""
	if took > burner.MaxTimeToInForce {
		reason = reasonLate
	}
	c.Add(time.Now(), burner.Key{Customer: allLabel, Class: allLabel, Objective: burner.TimeToInForce}, reason)
}

// OnEvents counts the loads that this instance has decided when they end.
func (c *burnCounter) OnEvents(events []applier.Event) {
	for _, e := range events {
		if !e.Counted || e.Writer != c.incarnation {
			continue
		}
		if d := e.Record.GetDecision(); d.GetAction() == recordv1.DecisionAction_DECISION_ACTION_LOAD {
			c.pendingLoads.Add(d.GetReplica(), pendingLoad{d.GetModel(), time.Now()})
		}
		if o := e.Record.GetObservation(); o != nil && o.GetAdapter() == "" {
			c.recordLoadEnd(o)
		}
	}
}

// recordLoadEnd counts a pending load whose end an observation reports. A load
// whose replica was unloaded before it ended is not counted.
func (c *burnCounter) recordLoadEnd(o *recordv1.Observation) {
	l, ok := c.pendingLoads.Get(o.GetReplica())
	if !ok {
		return
	}
	reason := reasonLoadFailed
	switch {
	case o.GetKind() == recordv1.ObservationKind_OBSERVATION_KIND_UNLOADED:
		c.pendingLoads.Remove(o.GetReplica())
		return
	case o.GetKind() == recordv1.ObservationKind_OBSERVATION_KIND_LOADED && time.Since(l.decidedAt) <= burner.MaxColdStart:
		reason = ""
	case o.GetKind() == recordv1.ObservationKind_OBSERVATION_KIND_LOADED:
		reason = reasonLate
	}
	c.pendingLoads.Remove(o.GetReplica())
	customer := ""
	c.keeper.View(func(s *applier.State) { customer = s.Config.Models[l.model].GetCustomer() })
	if class, _, ok := c.classAndWaitingTime(customer, l.model); ok {
		c.Add(time.Now(), burner.Key{Customer: customer, Class: class, Objective: burner.ColdStart}, reason)
	}
}

// Burn returns the counts of good and bad events of this instance.
func (q *operatorQueries) Burn(context.Context, *connect.Request[operatorv1.BurnRequest]) (*connect.Response[operatorv1.BurnResponse], error) {
	resp := q.e.burn.Snapshot(time.Now()).Message()
	resp.Instance, resp.Incarnation = q.e.Settings.Instance, q.e.Incarnation
	return connect.NewResponse(resp), nil
}
