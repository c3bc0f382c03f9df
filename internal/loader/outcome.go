package loader

import (
	"time"

	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Ending says how a request ended.
type Ending uint8

// Values of Ending.
const (
	// Lost is a request without a verdict in time.
	Lost Ending = iota
	Answered
	Refused
	// Wrong is an answer that is not whole or not the request's own.
	Wrong
)

// Outcome is the end of one request. Times count from the intended start.
type Outcome struct {
	Request
	Ending  Ending
	Refusal verdict.Refusal
	// Detail says what is wrong with the answer.
	Detail string
	Lag    time.Duration // of the actual start
	First  time.Duration // to the first token or the answer
	Total  time.Duration
	Gaps   []time.Duration // between tokens
}

// Findings is what the services' own counts say about the outcomes.
type Findings struct {
	// RunTwice counts keys of never-twice requests that ran more than once.
	RunTwice int `json:"run-twice"`
	// FalseNotRun counts keys that ran although every send was refused as not run.
	FalseNotRun int `json:"refused-as-not-run-but-ran"`
	// NeverRan counts keys that were answered but did not run.
	NeverRan int `json:"answered-but-never-ran"`
}

// Check compares the outcomes with how often each key ran. The keys are those
// that text returns for a key's number.
func Check(targets []Target, outcomes []Outcome, ran map[string]int, text func(key int) string) Findings {
	type sends struct {
		answered, notRunOnly, neverTwice bool
	}
	keys := make(map[int]sends)
	for _, o := range outcomes {
		if o.Key == 0 {
			continue
		}
		s, ok := keys[o.Key]
		if !ok {
			s.notRunOnly = true
		}
		s.answered = s.answered || o.Ending == Answered
		s.notRunOnly = s.notRunOnly && o.Ending == Refused && o.Refusal.Ran == verdict.NotRun
		s.neverTwice = targets[o.Target].NeverTwice
		keys[o.Key] = s
	}
	var f Findings
	for k, s := range keys {
		n := ran[text(k)]
		if s.neverTwice && n > 1 {
			f.RunTwice++
		}
		if s.notRunOnly && n > 0 {
			f.FalseNotRun++
		}
		if s.answered && n == 0 {
			f.NeverRan++
		}
	}
	return f
}
