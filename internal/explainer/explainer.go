// Package explainer remembers what happened and why, in bounded memory.
//
// It hears the fate of every record of the log and the verdicts of this
// instance, and answers questions about a model, a replica, an upstream, a
// customer, a request key or a request id.
package explainer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// DefaultCapacity is how many events an Explainer remembers.
const DefaultCapacity = 20_000

// DefaultLimit is how many events of each kind Explain returns at most.
const DefaultLimit = 50

// Explainer remembers events. Its zero value is ready to use.
type Explainer struct {
	// Capacity is how many events of each of the two kinds are remembered.
	Capacity int

	mu sync.Mutex
	// decided holds what the log and the membership say, ended how requests
	// ended. They are apart so that many requests do not crowd out decisions.
	decided, ended ring
	// instances holds the instance of an incarnation, models the model of a replica.
	instances, models names
}

// names holds the newest names that something is known by.
type names struct {
	*lru.Cache[string, string]
}

func (n *names) put(key, name string) {
	if key == "" || name == "" {
		return
	}
	if n.Cache == nil {
		n.Cache, _ = lru.New[string, string](maxNames) // fails only at a size below 1
	}
	n.Add(key, name)
}

func (n *names) get(key string) string {
	if n.Cache == nil {
		return ""
	}
	name, _ := n.Get(key)
	return name
}

// ring holds the newest events.
type ring struct {
	events []entry
	next   int
}

func (r *ring) add(v entry, limit int) {
	if len(r.events) < limit {
		r.events = append(r.events, v)
		return
	}
	r.events[r.next] = v
	r.next = (r.next + 1) % limit
}

// about returns the newest events about the subject, newest first.
func (r *ring) about(subject string, limit int) []*operatorv1.Explanation {
	var out []*operatorv1.Explanation
	for i := len(r.events) - 1; i >= 0 && len(out) < limit; i-- {
		v := r.events[(r.next+i)%len(r.events)]
		if subject == "" || slices.Contains(v.subjects, subject) {
			out = append(out, v.e)
		}
	}
	return out
}

// maxNames bounds the names that are remembered of each kind.
const maxNames = 4096

// name remembers the instance of an incarnation.
func (x *Explainer) name(incarnation, instance string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.instances.put(incarnation, instance)
}

// learn remembers the names that a record tells.
func (x *Explainer) learn(r *recordv1.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.instances.put(r.GetClaim().GetIncarnation(), r.GetClaim().GetInstance())
	x.instances.put(r.GetIntent().GetIncarnation(), r.GetIntent().GetInstance())
	x.models.put(r.GetDecision().GetReplica(), r.GetDecision().GetModel())
}

// actor returns the instance of a writer, or the writer if that is unknown.
func (x *Explainer) actor(writer string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return cmp.Or(x.instances.get(writer), writer)
}

// model returns the model of an observed replica, "" if that is unknown.
func (x *Explainer) model(r *recordv1.Record) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.models.get(r.GetObservation().GetReplica())
}

type entry struct {
	subjects []string
	e        *operatorv1.Explanation
}

// Add remembers an event of the log or the membership under its subjects.
func (x *Explainer) Add(e *operatorv1.Explanation, subjects ...string) {
	x.addTo(&x.decided, e, subjects)
}

// AddEnd remembers how a request ended under its subjects.
func (x *Explainer) AddEnd(e *operatorv1.Explanation, subjects ...string) {
	x.addTo(&x.ended, e, subjects)
}

func (x *Explainer) addTo(r *ring, e *operatorv1.Explanation, subjects []string) {
	e.UnixMs = time.Now().UnixMilli()
	x.mu.Lock()
	defer x.mu.Unlock()
	r.add(entry{subjects, e}, cmp.Or(x.Capacity, DefaultCapacity))
}

// Explain returns the newest events about the subject, oldest first: at most
// limit decisions and at most limit ends of requests.
func (x *Explainer) Explain(subject string, limit int) []*operatorv1.Explanation {
	if limit <= 0 {
		limit = DefaultLimit
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.decided.about(subject, limit)
	slices.Reverse(out)
	ended := x.ended.about(subject, limit)
	slices.Reverse(ended)
	out = append(out, ended...)
	slices.SortStableFunc(out, func(a, b *operatorv1.Explanation) int { return cmp.Compare(a.GetUnixMs(), b.GetUnixMs()) })
	return out
}

// OnEvents remembers the events of a batch.
func (x *Explainer) OnEvents(events []folder.Event) {
	for _, e := range events {
		x.learn(e.Record)
		v := &operatorv1.Explanation{Position: uint64(e.Position), Actor: x.actor(e.Writer), Counted: e.Counted}
		subjects := describe(v, e.Record)
		if len(subjects) == 0 {
			continue
		}
		if m := x.model(e.Record); m != "" {
			subjects = append(subjects, m)
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
