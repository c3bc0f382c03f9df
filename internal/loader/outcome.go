package loader

import (
	"time"

	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Ending is how a request ended.
type Ending uint8

// Values of Ending.
const (
	// Lost means that the request had no verdict by its deadline plus the grace
	// period.
	Lost Ending = iota
	Answered
	Refused
	// Wrong means that the response is incomplete or belongs to another request.
	Wrong
)

// Outcome is the result of one request. Durations count from the intended start.
type Outcome struct {
	Request
	Ending  Ending
	Refusal verdict.Refusal
	// Detail describes why the response is wrong.
	Detail     string
	StartLag   time.Duration // until the actual start
	FirstToken time.Duration // until the first token or, for a call, the response
	Total      time.Duration
	TokenGaps  []time.Duration // between tokens
}

// Findings holds the contradictions between the outcomes and the services' own
// run counts.
type Findings struct {
	// RunTwice counts keys of non-idempotent requests that ran more than once.
	RunTwice int `json:"run-twice"`
	// FalseNotRun counts keys that ran although every attempt was refused with the
	// verdict not-run.
	FalseNotRun int `json:"refused-as-not-run-but-ran"`
	// NeverRan counts keys that were answered but never ran.
	NeverRan int `json:"answered-but-never-ran"`
}

// Check compares the outcomes with runCounts, which holds how often each key ran.
// keyText returns the key for its number in the plan.
func Check(targets []Target, outcomes []Outcome, runCounts map[string]int, keyText func(key int) string) Findings {
	type keyOutcome struct {
		isAnswered, isNotRunOnly, isNonIdempotent bool
	}
	keys := make(map[int]keyOutcome)
	for _, o := range outcomes {
		if o.Key == 0 {
			continue
		}
		s, ok := keys[o.Key]
		if !ok {
			s.isNotRunOnly = true
		}
		s.isAnswered = s.isAnswered || o.Ending == Answered
		s.isNotRunOnly = s.isNotRunOnly && o.Ending == Refused && o.Refusal.Ran == verdict.NotRun
		s.isNonIdempotent = targets[o.Target].NonIdempotent
		keys[o.Key] = s
	}
	var f Findings
	for k, s := range keys {
		n := runCounts[keyText(k)]
		if s.isNonIdempotent && n > 1 {
			f.RunTwice++
		}
		if s.isNotRunOnly && n > 0 {
			f.FalseNotRun++
		}
		if s.isAnswered && n == 0 {
			f.NeverRan++
		}
	}
	return f
}
