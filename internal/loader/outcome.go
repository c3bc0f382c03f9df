package loader

import (
	"time"

	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Result says how a request ended.
type Result uint8

// Values of Result.
const (
	// ResultLost means that there was no verdict in time.
	ResultLost Result = iota
	ResultAnswered
	ResultRefused
	// ResultWrongAnswer means that the answer is incomplete or belongs to another
	// request.
	ResultWrongAnswer
)

// Outcome describes how one request ended. Durations are measured from its
// intended start.
type Outcome struct {
	Request
	Result  Result
	Refusal verdict.Refusal
	// Detail says what is wrong with the answer.
	Detail     string
	StartLag   time.Duration // until the request was sent
	FirstToken time.Duration // until the first token or the answer
	Total      time.Duration
	TokenGaps  []time.Duration // between tokens
}

// Findings counts contradictions between the outcomes and the run counts of the
// services.
type Findings struct {
	// RunTwice counts keys of non-idempotent requests that ran more than once.
	RunTwice int `json:"run-twice"`
	// FalseNotRun counts keys that ran although every request with the key was
	// refused as not run.
	FalseNotRun int `json:"refused-as-not-run-but-ran"`
	// NeverRan counts keys that were answered but did not run.
	NeverRan int `json:"answered-but-never-ran"`
}

// Check compares the outcomes with how often each key ran. keyText returns the
// key with a number.
func Check(targets []Target, outcomes []Outcome, ran map[string]int, keyText func(key int) string) Findings {
	type keyState struct {
		isAnswered, isOnlyNotRun, isNonIdempotent bool
	}
	keys := make(map[int]keyState)
	for _, o := range outcomes {
		if o.KeyNumber == 0 {
			continue
		}
		s, ok := keys[o.KeyNumber]
		if !ok {
			s.isOnlyNotRun = true
		}
		s.isAnswered = s.isAnswered || o.Result == ResultAnswered
		s.isOnlyNotRun = s.isOnlyNotRun && o.Result == ResultRefused && o.Refusal.Ran == verdict.NotRun
		s.isNonIdempotent = targets[o.TargetIndex].NonIdempotent
		keys[o.KeyNumber] = s
	}
	var f Findings
	for k, s := range keys {
		n := ran[keyText(k)]
		if s.isNonIdempotent && n > 1 {
			f.RunTwice++
		}
		if s.isOnlyNotRun && n > 0 {
			f.FalseNotRun++
		}
		if s.isAnswered && n == 0 {
			f.NeverRan++
		}
	}
	return f
}
