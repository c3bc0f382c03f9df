package applier

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/oklog/ulid/v2"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Limits of the intents in the state.
const (
	// MaxIntents limits the number of intents; they take about 30 MB. The intent
	// with the oldest key is dropped first.
	MaxIntents = 65_536
	// MaxKeptAnswerBytes is the size of the largest answer that is kept with an
	// outcome.
	MaxKeptAnswerBytes = 512
	// MaxAnswerBytes limits the total size of all answers. The oldest is dropped
	// first.
	MaxAnswerBytes = 8 << 20
	// maxVoidedIntents limits how many intents of one key may end with the
	// outcome not-run.
	maxVoidedIntents = 8
)

// IntentKey identifies a non-idempotent request.
type IntentKey struct {
	Customer string
	// Key is a ULID chosen by the caller. Its time part orders keys by age.
	Key string
}

func (k IntentKey) compare(other IntentKey) int {
	return cmp.Or(cmp.Compare(k.Key, other.Key), cmp.Compare(k.Customer, other.Customer))
}

// Intent is the intent that counts for its key, with its outcome.
type Intent struct {
	RecordID    string
	Position    Position
	Instance    string
	Incarnation string
	Outcome     recordv1.OutcomeKind
	// EndedAt is the position of the outcome.
	EndedAt Position
	Answer  []byte
	// VoidedIDs holds the record ids of the earlier intents of the key, whose
	// requests did not run.
	VoidedIDs []string
}

// Intents holds the intents of non-idempotent requests.
type Intents struct {
	// Limit replaces MaxIntents if it is not 0. It must be the same for all readers.
	Limit int
	// Horizon is the time part of the newest key that was dropped. The request
	// of a key that is not newer may have run although the state has no intent
	// for it.
	Horizon string

	byKey       map[IntentKey]Intent
	byAge       intentHeap
	answerKeys  []IntentKey // keys with an answer, in the order of their outcomes
	answerBytes int         // total size of the answers
	interned    map[string]string
}

// intentHeap is a heap of keys, the oldest first.
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

// isKey reports whether the key is a ULID in canonical form.
func isKey(key string) bool {
	id, err := ulid.ParseStrict(key)
	return err == nil && id.String() == key
}

// IsForgotten reports whether an intent for the key may have been dropped.
func (t *Intents) IsForgotten(key string) bool {
	return !isKey(key) || t.Horizon != "" && keyTime(key) <= t.Horizon
}

// Get returns the intent that counts for the key.
func (t *Intents) Get(k IntentKey) (Intent, bool) {
	v, ok := t.byKey[k]
	return v, ok
}

// Len returns the number of intents.
func (t *Intents) Len() int {
	return len(t.byKey)
}

func (t *Intents) begin(id string, in *recordv1.Intent, at Position) string {
	k := IntentKey{t.intern(in.GetCustomer()), in.GetKey()}
	if t.IsForgotten(k.Key) {
		return "key is older than what the state remembers"
	}
	old, ok := t.byKey[k]
	if ok {
		if why := old.checkReplacement(id); why != "" {
			return why
		}
		old.VoidedIDs = append(slices.Clone(old.VoidedIDs), old.RecordID)
	} else {
		heap.Push(&t.byAge, k)
	}
	put(&t.byKey, k, Intent{
		RecordID: id, Position: at, VoidedIDs: old.VoidedIDs,
		Instance: t.intern(in.GetInstance()), Incarnation: t.intern(in.GetIncarnation()),
	})
	t.dropOldest()
	return ""
}

// checkReplacement returns the reason if the intent with the given record id may
// not replace this one.
func (in Intent) checkReplacement(id string) string {
	switch {
	case in.Outcome != recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return "an earlier intent has the key"
	case in.RecordID == id || slices.Contains(in.VoidedIDs, id):
		return "record is a duplicate"
	case len(in.VoidedIDs) >= maxVoidedIntents:
		return "the key was freed too often"
	}
	return ""
}

// maxInterned limits the strings that are shared between intents.
const maxInterned = 4096

// intern returns s, sharing its bytes with the intents that have the same string.
func (t *Intents) intern(s string) string {
	if v, ok := t.interned[s]; ok {
		return v
	}
	if len(t.interned) >= maxInterned {
		t.interned = nil
	}
	put(&t.interned, s, s)
	return s
}

func (t *Intents) dropOldest() {
	limit := t.Limit
	if limit == 0 {
		limit = MaxIntents
	}
	for len(t.byKey) > limit {
		k := heap.Pop(&t.byAge).(IntentKey)
		t.answerBytes -= len(t.byKey[k].Answer)
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
	in.EndedAt = at
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
	t.answerKeys = append(t.answerKeys, k)
	t.answerBytes += len(answer)
	for t.answerBytes > MaxAnswerBytes {
		t.dropOldestAnswer()
	}
	if len(t.answerKeys) > 2*len(t.byKey)+16 {
		t.answerKeys = slices.DeleteFunc(t.answerKeys, func(k IntentKey) bool { return t.byKey[k].Answer == nil })
	}
}

func (t *Intents) dropOldestAnswer() {
	k := t.answerKeys[0]
	t.answerKeys[0] = IntentKey{}
	t.answerKeys = t.answerKeys[1:]
	in, ok := t.byKey[k]
	if !ok {
		return
	}
	t.answerBytes -= len(in.Answer)
	in.Answer = nil
	t.byKey[k] = in
}
