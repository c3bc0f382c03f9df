package folder

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/oklog/ulid/v2"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Bounds of what the state remembers of intents.
const (
	// MaxIntents bounds the intents. The one with the oldest key is forgotten first.
	MaxIntents = 200_000
	// MaxKeptAnswerBytes is the largest answer that an outcome may carry.
	MaxKeptAnswerBytes = 512
	// MaxAnswerBytes bounds all answers together. The oldest is forgotten first.
	MaxAnswerBytes = 8 << 20
	// maxVoided bounds how often one key may be freed by an outcome not-run.
	maxVoided = 8
)

// IntentKey identifies a request that may not be repeated.
type IntentKey struct {
	Customer string
	// Key is the caller's ULID. Its time part orders keys by age.
	Key string
}

func (k IntentKey) compare(other IntentKey) int {
	return cmp.Or(cmp.Compare(k.Key, other.Key), cmp.Compare(k.Customer, other.Customer))
}

// Intent is the first intent of its key and what became of it.
type Intent struct {
	RecordID    string
	Position    Position
	Instance    string
	Incarnation string
	Outcome     recordv1.OutcomeKind
	// Ended is the position of the outcome.
	Ended  Position
	Answer []byte
	// Voided holds the ids of the earlier intents whose requests did not run.
	Voided []string
}

// Intents remembers which requests that may not be repeated were begun.
type Intents struct {
	// Limit replaces MaxIntents if it is not 0. All readers need the same.
	Limit int
	// Horizon is the time part of the youngest key that was forgotten. A key
	// that is not younger may have run, whatever the state says.
	Horizon string

	byKey    map[IntentKey]Intent
	oldest   intentHeap
	answers  []IntentKey // in the order of their outcomes
	answered int         // bytes of all answers
	names    map[string]string
}

// intentHeap has the oldest key first.
type intentHeap []IntentKey

func (h intentHeap) Len() int           { return len(h) }
func (h intentHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }
func (h intentHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *intentHeap) Push(x any)        { *h = append(*h, x.(IntentKey)) }

func (h *intentHeap) Pop() any {
	last := len(*h) - 1
	k := (*h)[last]
	(*h)[last] = IntentKey{}
	*h = (*h)[:last]
	return k
}

// keyTimeLen is the length of the time part of a ULID in characters.
const keyTimeLen = 10

func keyTime(key string) string {
	return key[:keyTimeLen]
}

// isKey reports whether the key is a ULID in its one canonical form.
func isKey(key string) bool {
	id, err := ulid.ParseStrict(key)
	return err == nil && id.String() == key
}

// IsForgotten reports whether an intent for the key may have been forgotten.
func (t *Intents) IsForgotten(key string) bool {
	return !isKey(key) || t.Horizon != "" && keyTime(key) <= t.Horizon
}

// Get returns the first intent for the key.
func (t *Intents) Get(k IntentKey) (Intent, bool) {
	v, ok := t.byKey[k]
	return v, ok
}

// Len returns the number of intents remembered.
func (t *Intents) Len() int {
	return len(t.byKey)
}

func (t *Intents) begin(id string, in *recordv1.Intent, at Position) string {
	k := IntentKey{t.name(in.GetCustomer()), in.GetKey()}
	if t.IsForgotten(k.Key) {
		return "key is older than what the state remembers"
	}
	old, ok := t.byKey[k]
	if ok {
		if why := old.superseded(id); why != "" {
			return why
		}
		old.Voided = append(slices.Clone(old.Voided), old.RecordID)
	} else {
		heap.Push(&t.oldest, k)
	}
	put(&t.byKey, k, Intent{
		RecordID: id, Position: at, Voided: old.Voided,
		Instance: t.name(in.GetInstance()), Incarnation: t.name(in.GetIncarnation()),
	})
	t.forgetOldest()
	return ""
}

// superseded returns why the intent with the given id does not take the place of this one.
func (in Intent) superseded(id string) string {
	switch {
	case in.Outcome != recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return "an earlier intent has the key"
	case in.RecordID == id || slices.Contains(in.Voided, id):
		return "record is a duplicate"
	case len(in.Voided) >= maxVoided:
		return "the key was freed too often"
	}
	return ""
}

// maxNames bounds the names that are shared between intents.
const maxNames = 4096

// name returns s, sharing its bytes with the intents that have it too.
func (t *Intents) name(s string) string {
	if v, ok := t.names[s]; ok {
		return v
	}
	if len(t.names) >= maxNames {
		t.names = nil
	}
	put(&t.names, s, s)
	return s
}

func (t *Intents) forgetOldest() {
	limit := t.Limit
	if limit == 0 {
		limit = MaxIntents
	}
	for len(t.byKey) > limit {
		k := heap.Pop(&t.oldest).(IntentKey)
		t.answered -= len(t.byKey[k].Answer)
		delete(t.byKey, k)
		t.Horizon = max(t.Horizon, keyTime(k.Key))
	}
}

func (t *Intents) end(o *recordv1.Outcome, at Position) string {
	k := IntentKey{o.GetCustomer(), o.GetKey()}
	in, ok := t.byKey[k]
	if !ok || in.RecordID != o.GetIntentId() {
		return "intent is not the winning one"
	}
	if in.Outcome != recordv1.OutcomeKind_OUTCOME_KIND_UNSPECIFIED {
		return "intent has an outcome"
	}
	switch o.GetKind() {
	case recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED, recordv1.OutcomeKind_OUTCOME_KIND_MAY_HAVE_RUN,
		recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
	default:
		return "unknown outcome"
	}
	in.Outcome = o.GetKind()
	in.Ended = at
	t.byKey[k] = in
	if in.Outcome == recordv1.OutcomeKind_OUTCOME_KIND_ANSWERED && len(o.GetAnswer()) <= MaxKeptAnswerBytes {
		t.keepAnswer(k, o.GetAnswer())
	}
	return ""
}

func (t *Intents) keepAnswer(k IntentKey, answer []byte) {
	if len(answer) == 0 {
		return
	}
	in := t.byKey[k]
	in.Answer = slices.Clone(answer)
	t.byKey[k] = in
	t.answers = append(t.answers, k)
	t.answered += len(answer)
	for t.answered > MaxAnswerBytes {
		t.forgetAnswer()
	}
	if len(t.answers) > 2*len(t.byKey)+16 {
		t.answers = slices.DeleteFunc(t.answers, func(k IntentKey) bool { return t.byKey[k].Answer == nil })
	}
}

func (t *Intents) forgetAnswer() {
	k := t.answers[0]
	t.answers[0] = IntentKey{}
	t.answers = t.answers[1:]
	in, ok := t.byKey[k]
	if !ok {
		return
	}
	t.answered -= len(in.Answer)
	in.Answer = nil
	t.byKey[k] = in
}
