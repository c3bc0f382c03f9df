// Package explainer remembers what happened and why, in bounded memory.
//
// It hears the fate of every record of the log and the verdicts of this
// instance, and answers questions about a model, a replica, an upstream, a
// customer, a request key or a request id.
package explainer

import (
	"slices"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// DefaultCapacity is how many events an Explainer remembers.
const DefaultCapacity = 20_000

// Explainer remembers events. Its zero value is ready to use.
type Explainer struct {
	Capacity int

	mu   sync.Mutex
	ring []entry
	next int
}

type entry struct {
	subjects []string
	e        *operatorv1.Explanation
}

// Add remembers an event under its subjects.
func (x *Explainer) Add(e *operatorv1.Explanation, subjects ...string) {
	e.UnixMs = time.Now().UnixMilli()
	x.mu.Lock()
	defer x.mu.Unlock()
	limit := x.Capacity
	if limit == 0 {
		limit = DefaultCapacity
	}
	if len(x.ring) < limit {
		x.ring = append(x.ring, entry{subjects, e})
		return
	}
	x.ring[x.next] = entry{subjects, e}
	x.next = (x.next + 1) % limit
}

// Explain returns the newest events about the subject, oldest first.
func (x *Explainer) Explain(subject string, limit int) []*operatorv1.Explanation {
	if limit <= 0 {
		limit = 50
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []*operatorv1.Explanation
	for i := len(x.ring) - 1; i >= 0 && len(out) < limit; i-- {
		v := x.ring[(x.next+i)%len(x.ring)]
		if subject == "" || slices.Contains(v.subjects, subject) {
			out = append(out, v.e)
		}
	}
	slices.Reverse(out)
	return out
}

// OnEvents remembers the events of a batch.
func (x *Explainer) OnEvents(events []folder.Event) {
	for _, e := range events {
		v := &operatorv1.Explanation{Position: uint64(e.Position), Actor: e.Writer, Counted: e.Counted}
		subjects := describe(v, e.Record)
		if len(subjects) == 0 {
			continue
		}
		if !e.Counted {
			v.Grounds += " (does not count: " + e.Why + ")"
		}
		x.Add(v, subjects...)
	}
}

// describe fills in the event and returns the subjects it is about.
func describe(v *operatorv1.Explanation, r *recordv1.Record) []string {
	switch k := r.GetKind().(type) {
	case *recordv1.Record_ConfigChange:
		v.Event, v.Subject, v.Grounds = "publish", k.ConfigChange.GetOperator(), "operator's change"
		subjects := []string{"config", k.ConfigChange.GetOperator()}
		for _, o := range k.ConfigChange.GetUpserts() {
			subjects = append(subjects, folder.ObjectKey(o).GetName())
		}
		return subjects
	case *recordv1.Record_Claim:
		v.Event, v.Subject, v.Grounds = "claim", k.Claim.GetInstance(), k.Claim.GetReason()
		return []string{k.Claim.GetInstance(), "claims"}
	case *recordv1.Record_Decision:
		d := k.Decision
		v.Event, v.Subject, v.Grounds = decisionNames[d.GetAction()], d.GetReplica(), d.GetReason()
		return []string{d.GetReplica(), d.GetModel(), d.GetAdapter(), d.GetUpstream()}
	case *recordv1.Record_Observation:
		o := k.Observation
		v.Event, v.Subject, v.Grounds = observationNames[o.GetKind()], o.GetReplica(), o.GetDetail()
		return []string{o.GetReplica(), o.GetAdapter()}
	case *recordv1.Record_Intent:
		v.Event, v.Subject, v.Grounds = "intent", k.Intent.GetKey(), "sent once to "+k.Intent.GetUpstream()
		return []string{k.Intent.GetKey(), k.Intent.GetCustomer()}
	case *recordv1.Record_Outcome:
		v.Event, v.Subject, v.Grounds = outcomeNames[k.Outcome.GetKind()], k.Outcome.GetKey(), "outcome of the intent"
		return []string{k.Outcome.GetKey(), k.Outcome.GetCustomer()}
	}
	return nil
}

var decisionNames = map[recordv1.DecisionAction]string{
	recordv1.DecisionAction_DECISION_ACTION_LOAD:           "load",
	recordv1.DecisionAction_DECISION_ACTION_UNLOAD:         "unload",
	recordv1.DecisionAction_DECISION_ACTION_LOAD_ADAPTER:   "load-adapter",
	recordv1.DecisionAction_DECISION_ACTION_UNLOAD_ADAPTER: "unload-adapter",
}

var observationNames = map[recordv1.ObservationKind]string{
	recordv1.ObservationKind_OBSERVATION_KIND_LOADED:        "loaded",
	recordv1.ObservationKind_OBSERVATION_KIND_UNLOADED:      "unloaded",
	recordv1.ObservationKind_OBSERVATION_KIND_FAILED:        "failed",
	recordv1.ObservationKind_OBSERVATION_KIND_UPSTREAM_GONE: "upstream-gone",
}

var outcomeNames = map[recordv1.OutcomeKind]string{
	recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED:     "answered",
	recordv1.OutcomeKind_OUTCOME_KIND_MAY_HAVE_RUN: "may-have-run",
	recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:      "not-run",
}
