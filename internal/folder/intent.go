package folder

import (
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// MaxIntents bounds the intents that the state remembers. The oldest is
// forgotten first.
const MaxIntents = 200_000

// MaxKeptAnswerBytes is the largest answer that an outcome may carry.
const MaxKeptAnswerBytes = 512

// IntentKey identifies a request that may not be repeated.
type IntentKey struct {
	Customer string
	// Key is the caller's ULID. Its time part orders keys by age.
	Key string
}

// Intent is the first intent of its key and what became of it.
type Intent struct {
	RecordID    string
	Position    Position
	Instance    string
	Incarnation string
	Outcome     recordv1.OutcomeKind
	Answer      []byte
}

// Intents remembers which requests that may not be repeated were begun.
type Intents struct {
	byKey map[IntentKey]Intent
	order []IntentKey
	// Horizon is the time part of the youngest key that was forgotten. A key
	// that is not younger may have run, whatever the state says.
	Horizon string
}

// keyTimeLen is the length of the time part of a ULID in characters.
const keyTimeLen = 10

// keyLen is the length of a ULID in characters.
const keyLen = 26

func keyTime(key string) string {
	return key[:keyTimeLen]
}

// IsForgotten reports whether an intent for the key may have been forgotten.
func (t *Intents) IsForgotten(key string) bool {
	return len(key) != keyLen || t.Horizon != "" && keyTime(key) <= t.Horizon
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
	k := IntentKey{in.GetCustomer(), in.GetKey()}
	if t.IsForgotten(k.Key) {
		return "key is older than what the state remembers"
	}
	old, ok := t.byKey[k]
	if ok && (old.Outcome != recordv1.OutcomeKind_OUTCOME_KIND_NOT_RUN || old.RecordID == id) {
		return "an earlier intent has the key"
	}
	if !ok {
		t.order = append(t.order, k)
	}
	put(&t.byKey, k, Intent{
		RecordID: id, Position: at,
		Instance: in.GetInstance(), Incarnation: in.GetIncarnation(),
	})
	t.forgetOldest()
	return ""
}

func (t *Intents) forgetOldest() {
	for len(t.byKey) > MaxIntents {
		k := t.order[0]
		t.order = t.order[1:]
		delete(t.byKey, k)
		t.Horizon = max(t.Horizon, keyTime(k.Key))
	}
}

func (t *Intents) end(o *recordv1.Outcome) string {
	k := IntentKey{o.GetCustomer(), o.GetKey()}
	in, ok := t.byKey[k]
	if !ok || in.RecordID != o.GetIntentId() {
		return "intent is not the winning one"
	}
	if in.Outcome != recordv1.OutcomeKind_OUTCOME_KIND_UNSPECIFIED {
		return "intent has an outcome"
	}
	in.Outcome = o.GetKind()
	if len(o.GetAnswer()) <= MaxKeptAnswerBytes {
		in.Answer = o.GetAnswer()
	}
	t.byKey[k] = in
	return ""
}
