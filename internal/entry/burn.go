package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/primrosedrift/primrosedrift/internal/burner"
	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// maxLoads bounds the loads whose end is awaited.
const maxLoads = 4096

// everybody names what concerns all customers and classes.
const everybody = "all"

// Reasons of bad events besides those of refusals.
const (
	reasonLate       = "late"
	reasonLoadFailed = "load-failed"
)

// callersOwn holds the reasons that are the caller's doing. They burn no budget.
var callersOwn = map[verdict.Reason]bool{
	verdict.ReasonInvalid: true, verdict.ReasonNoContract: true, verdict.ReasonUnknownTarget: true,
	verdict.ReasonCanceled: true, verdict.ReasonEarlierAttempt: true, verdict.ReasonKeyTooOld: true,
}

// burnCounter counts the events of this instance against the objectives.
type burnCounter struct {
	burner.Burner
	keeper      *keeper.Keeper
	incarnation string
	loads       *lru.Cache[string, load] // by replica
}

type load struct {
	model   string
	decided time.Time
}

func newBurnCounter(k *keeper.Keeper, incarnation string) *burnCounter {
	loads, err := lru.New[string, load](maxLoads)
	if err != nil {
		panic(err) // only a size below 1 fails
	}
	c := &burnCounter{keeper: k, incarnation: incarnation, loads: loads}
	c.Start(time.Now())
	return c
}

// limits returns the class and the waiting time of a customer's requests to a target.
func (c *burnCounter) limits(customer, target string) (class string, wait time.Duration, ok bool) {
	c.keeper.View(func(s *folder.State) {
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

// answered counts a request whose first byte took the given time.
func (c *burnCounter) answered(customer, target string, took time.Duration) {
	class, wait, ok := c.limits(customer, target)
	if !ok {
		return
	}
	reason := ""
	if took > wait {
		reason = reasonLate
	}
	now := time.Now()
	c.Add(now, burner.Key{Customer: customer, Class: class, Objective: burner.AnsweredInTime}, reason)
	c.Add(now, burner.Key{Customer: customer, Class: class, Objective: burner.Refusals}, "")
}

// refused counts a refusal.
func (c *burnCounter) refused(customer, target string, reason verdict.Reason) {
	class, _, ok := c.limits(customer, target)
	if !ok || callersOwn[reason] {
		return
	}
	now := time.Now()
	c.Add(now, burner.Key{Customer: customer, Class: class, Objective: burner.AnsweredInTime}, string(reason))
	c.Add(now, burner.Key{Customer: customer, Class: class, Objective: burner.Refusals}, string(reason))
}

// published counts a publish that was read back after the given time.
func (c *burnCounter) published(took time.Duration) {
	reason := ""
	if took > burner.MaxInForce {
		reason = reasonLate
	}
	c.Add(time.Now(), burner.Key{Customer: everybody, Class: everybody, Objective: burner.InForce}, reason)
}

// OnEvents counts the loads that this instance decided.
func (c *burnCounter) OnEvents(events []folder.Event) {
	for _, e := range events {
		if !e.Counted || e.Writer != c.incarnation {
			continue
		}
		if d := e.Record.GetDecision(); d.GetAction() == recordv1.DecisionAction_DECISION_ACTION_LOAD {
			c.loads.Add(d.GetReplica(), load{d.GetModel(), time.Now()})
		}
		if o := e.Record.GetObservation(); o != nil && o.GetAdapter() == "" {
			c.observed(o)
		}
	}
}

func (c *burnCounter) observed(o *recordv1.Observation) {
	l, ok := c.loads.Get(o.GetReplica())
	if !ok {
		return
	}
	reason := reasonLoadFailed
	switch {
	case o.GetKind() == recordv1.ObservationKind_OBSERVATION_KIND_UNLOADED:
		c.loads.Remove(o.GetReplica())
		return
	case o.GetKind() == recordv1.ObservationKind_OBSERVATION_KIND_LOADED && time.Since(l.decided) <= burner.MaxColdStart:
		reason = ""
	case o.GetKind() == recordv1.ObservationKind_OBSERVATION_KIND_LOADED:
		reason = reasonLate
	}
	c.loads.Remove(o.GetReplica())
	customer := ""
	c.keeper.View(func(s *folder.State) { customer = s.Config.Models[l.model].GetCustomer() })
	if class, _, ok := c.limits(customer, l.model); ok {
		c.Add(time.Now(), burner.Key{Customer: customer, Class: class, Objective: burner.ColdStart}, reason)
	}
}

// Burn tells how this instance kept the objectives.
func (q *operatorQueries) Burn(context.Context, *connect.Request[operatorv1.BurnRequest]) (*connect.Response[operatorv1.BurnResponse], error) {
	resp := q.e.burn.Snapshot(time.Now()).Message()
	resp.Instance, resp.Incarnation = q.e.Settings.Instance, q.e.Incarnation
	return connect.NewResponse(resp), nil
}
