// Package explainer keeps the newest events and their reasons in bounded memory.
//
// Events are the records of the log, also those that do not count because they
// change no state, changes of the membership, and the ends of requests at this
// instance. They can be looked up by subject: a model, a replica, an upstream, a
// customer, a request key, a request id or a member.
package explainer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// DefaultCapacity is the default of Explainer.Capacity.
const DefaultCapacity = 20_000

// DefaultLimit is the default limit of Explain.
const DefaultLimit = 50

// Explainer keeps events. Its zero value is ready to use.
type Explainer struct {
	// Capacity is the maximum number of events kept in each of two buffers: one for
	// the log and the membership, one for the ends of requests. 0 means
	// DefaultCapacity.
	Capacity int

	mu sync.Mutex
	// controlEvents holds events of the log and the membership, requestEnds the ends
	// of requests. They are separate so that many requests don't evict decisions.
	controlEvents, requestEnds ring
	// instances maps incarnations to instances, models maps replicas to models.
	instances, models nameCache
}

// nameCache is an LRU cache of names. Its zero value is ready to use.
type nameCache struct {
	*lru.Cache[string, string]
}

func (n *nameCache) put(key, name string) {
	if key == "" || name == "" {
		return
	}
	if n.Cache == nil {
		n.Cache, _ = lru.New[string, string](maxCachedNames) // fails only for a size below 1
	}
	n.Add(key, name)
}

// get returns the name for a key, "" if it is not cached.
func (n *nameCache) get(key string) string {
	if n.Cache == nil {
		return ""
	}
	name, _ := n.Get(key)
	return name
}

// ring is a ring buffer of the newest events.
type ring struct {
	events []event
	next   int // index of the oldest event once the ring is full
}

// add adds an event. It overwrites the oldest one if the ring holds limit events.
func (r *ring) add(v event, limit int) {
	if len(r.events) < limit {
		r.events = append(r.events, v)
		return
	}
	r.events[r.next] = v
	r.next = (r.next + 1) % limit
}

// about returns the newest events about the subject, or of all subjects if it is
// empty, newest first and at most limit.
func (r *ring) about(subject string, limit int) []*operatorv1.Explanation {
	var out []*operatorv1.Explanation
	for i := len(r.events) - 1; i >= 0 && len(out) < limit; i-- {
		v := r.events[(r.next+i)%len(r.events)]
		if subject == "" || slices.Contains(v.subjects, subject) {
			out = append(out, v.explanation)
		}
	}
	return out
}

// maxCachedNames bounds the entries of each name cache.
const maxCachedNames = 4096

// cacheInstance caches the instance of an incarnation.
func (x *Explainer) cacheInstance(incarnation, instance string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.instances.put(incarnation, instance)
}

// cacheNames caches the names in a record.
func (x *Explainer) cacheNames(r *recordv1.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.instances.put(r.GetClaim().GetIncarnation(), r.GetClaim().GetInstance())
	x.instances.put(r.GetIntent().GetIncarnation(), r.GetIntent().GetInstance())
	x.models.put(r.GetDecision().GetReplica(), r.GetDecision().GetModel())
}

// actor returns the instance of a writer, which is an incarnation, or the writer
// itself if its instance is not cached.
func (x *Explainer) actor(writer string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return cmp.Or(x.instances.get(writer), writer)
}

// observedModel returns the model of the replica that an observation is about, ""
// if it is not cached or the record is no observation.
func (x *Explainer) observedModel(r *recordv1.Record) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.models.get(r.GetObservation().GetReplica())
}

// event is an explanation and the subjects that it is found under.
type event struct {
	subjects    []string
	explanation *operatorv1.Explanation
}

// AddEvent adds an event of the log or the membership under its subjects, and sets
// its time.
func (x *Explainer) AddEvent(e *operatorv1.Explanation, subjects ...string) {
	x.addTo(&x.controlEvents, e, subjects)
}

// AddRequestEnd adds the end of a request under its subjects, and sets its time.
func (x *Explainer) AddRequestEnd(e *operatorv1.Explanation, subjects ...string) {
	x.addTo(&x.requestEnds, e, subjects)
}

func (x *Explainer) addTo(r *ring, e *operatorv1.Explanation, subjects []string) {
	e.UnixMs = time.Now().UnixMilli()
	x.mu.Lock()
	defer x.mu.Unlock()
	r.add(event{subjects, e}, cmp.Or(x.Capacity, DefaultCapacity))
}

// Explain returns the newest events about the subject, oldest first: at most limit
// events of the log and the membership, and at most limit ends of requests. An empty
// subject selects all events, and a limit of 0 means DefaultLimit.
func (x *Explainer) Explain(subject string, limit int) []*operatorv1.Explanation {
	if limit <= 0 {
		limit = DefaultLimit
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.controlEvents.about(subject, limit)
	slices.Reverse(out)
	ends := x.requestEnds.about(subject, limit)
	slices.Reverse(ends)
	out = append(out, ends...)
	slices.SortStableFunc(out, func(a, b *operatorv1.Explanation) int { return cmp.Compare(a.GetUnixMs(), b.GetUnixMs()) })
	return out
}

// OnEvents adds an event for each record of a batch that has a subject.
func (x *Explainer) OnEvents(events []applier.Event) {
	for _, e := range events {
		x.cacheNames(e.Record)
		v := &operatorv1.Explanation{Position: uint64(e.Position), Actor: x.actor(e.Writer), Counted: e.Counted}
		subjects := describe(v, e.Record)
		if len(subjects) == 0 {
			continue
		}
		if m := x.observedModel(e.Record); m != "" {
			subjects = append(subjects, m)
		}
		if !e.Counted {
			v.Grounds += " (does not count: " + e.Reason + ")"
		}
		x.AddEvent(v, subjects...)
	}
}

// describe sets the event, the subject and the grounds of v from a record. It
// returns the subjects under which the event is found, nil for records that are not
// explained.
func describe(v *operatorv1.Explanation, r *recordv1.Record) []string {
	switch k := r.GetKind().(type) {
	case *recordv1.Record_ConfigChange:
		v.Event, v.Subject, v.Grounds = "publish", k.ConfigChange.GetOperator(), "operator's change"
		subjects := []string{"config", k.ConfigChange.GetOperator()}
		for _, o := range k.ConfigChange.GetUpserts() {
			subjects = append(subjects, applier.ObjectKey(o).GetName())
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
