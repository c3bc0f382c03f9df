// Package checker compares what the stand-ins did with the decisions in the log
// and with the verdicts that callers received.
//
// Every replica that an engine holds must have been decided: it is in the state
// that results from the log, at that upstream, with its memory reserved. The
// calls that services ran must agree with the verdicts: no key ran twice, no key
// ran for which every verdict was not-run, and every key with an answer ran.
package checker

import (
	"fmt"
	"slices"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// EngineState is the actual state of one engine, with counts since its start.
type EngineState struct {
	Upstream      string            `json:"upstream"`
	Incarnation   string            `json:"incarnation"`
	MemoryBytes   uint64            `json:"memory-bytes"`
	PeakBytes     uint64            `json:"most-bytes"`
	RejectedLoads int               `json:"overcommitted"`
	NumLoads      int               `json:"loads"`
	FencedOrders  int               `json:"fenced"`
	Replicas      map[string]string `json:"replicas"` // model by replica id
}

// CheckEngines returns the violations of invariants. Before and after are the
// states of the engines read before and after s. A replica that is only in one of
// them was loaded or unloaded in between; one that is in both must be in s.
func CheckEngines(before []EngineState, s *applier.State, after []EngineState) []string {
	var out []string
	afterByUpstream := make(map[string]EngineState)
	for _, e := range after {
		afterByUpstream[e.Upstream] = e
	}
	numHeld := make(map[string]int)
	for _, e := range before {
		if e.PeakBytes > e.MemoryBytes || afterByUpstream[e.Upstream].RejectedLoads > 0 {
			out = append(out, fmt.Sprintf("%s: %d loads did not fit, peak use %d of %d bytes", e.Upstream, afterByUpstream[e.Upstream].RejectedLoads, e.PeakBytes, e.MemoryBytes))
		}
		for id, model := range e.Replicas {
			if afterByUpstream[e.Upstream].Replicas[id] == "" {
				continue
			}
			numHeld[model]++
			if r, ok := s.Replica(id); !ok || r.Upstream != e.Upstream {
				out = append(out, fmt.Sprintf("%s: holds %s of %s, which is not decided", e.Upstream, id, model))
			}
		}
	}
	return append(out, stateViolations(s, numHeld)...)
}

// stateViolations returns the limits of the configuration that the state or the
// engines exceed. numHeld is the number of replicas that engines hold, by model.
func stateViolations(s *applier.State, numHeld map[string]int) []string {
	var out []string
	for name, u := range s.Config.Upstreams {
		if got := s.ReservedBytes(name); got > u.GetMemoryBytes() {
			out = append(out, fmt.Sprintf("%s: %d bytes reserved of %d", name, got, u.GetMemoryBytes()))
		}
	}
	used := make(map[string]int)
	for name, m := range s.Config.Models {
		used[m.GetCustomer()] += numHeld[name]
		if decided := len(s.ReplicaIDs(name)); numHeld[name] > decided {
			out = append(out, fmt.Sprintf("%s: %d replicas held, %d decided", name, numHeld[name], decided))
		}
	}
	for name, c := range s.Config.Contracts {
		if got := s.UsageOf(name); got.Replicas > c.GetReplicas() || used[name] > int(c.GetReplicas()) {
			out = append(out, fmt.Sprintf("%s: %d replicas decided and %d held of %d", name, got.Replicas, used[name], c.GetReplicas()))
		}
	}
	slices.Sort(out)
	return out
}

// CallResult is the verdict that a caller received for a request with a key.
type CallResult struct {
	Key string
	// Err is nil for an answer, else a verdict.Refusal.
	Err error
}

// CheckCalls returns the keys that ran more than once or whose runs contradict the
// verdicts: a key with only not-run refusals must not have run, and a key with
// an answer must have run.
func CheckCalls(ran map[string]int, results []CallResult) []string {
	var out []string
	for key, n := range ran {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	type summary struct{ answered, mayHaveRun bool }
	summaries := make(map[string]summary)
	for _, r := range results {
		s := summaries[r.Key]
		s.answered = s.answered || r.Err == nil
		s.mayHaveRun = s.mayHaveRun || r.Err != nil && verdict.FromError(r.Err).Ran != verdict.NotRun
		summaries[r.Key] = s
	}
	for key, s := range summaries {
		switch {
		case s.answered && ran[key] == 0:
			out = append(out, key+" was answered and did not run")
		case !s.answered && !s.mayHaveRun && ran[key] > 0:
			out = append(out, key+" was refused as not run and ran")
		}
	}
	slices.Sort(out)
	return out
}
