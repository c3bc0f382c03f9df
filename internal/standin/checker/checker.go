// Package checker compares what the stand-ins did with the decisions in the log
// and with the verdicts that callers received.
//
// Every replica that an engine holds must have been decided: it is in the folded
// state, at that upstream, with its memory reserved. The calls that services ran
// must agree with the verdicts: no key ran twice, no key ran for which every
// verdict was not-run, and every key with an answer ran.
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
// states of the engines read before and after s: a replica that is in both must
// be in s.
func CheckEngines(before []EngineState, s *applier.State, after []EngineState) []string {
	var out []string
	afterByUpstream := make(map[string]EngineState)
	for _, h := range after {
		afterByUpstream[h.Upstream] = h
	}
	numHeld := make(map[string]int)
	for _, h := range before {
		if h.PeakBytes > h.MemoryBytes || afterByUpstream[h.Upstream].RejectedLoads > 0 {
			out = append(out, fmt.Sprintf("%s: %d loads did not fit, peak use %d of %d bytes", h.Upstream, afterByUpstream[h.Upstream].RejectedLoads, h.PeakBytes, h.MemoryBytes))
		}
		for id, model := range h.Replicas {
			if afterByUpstream[h.Upstream].Replicas[id] == "" {
				continue
			}
			numHeld[model]++
			if r, ok := s.Replica(id); !ok || r.Upstream != h.Upstream {
				out = append(out, fmt.Sprintf("%s: holds %s of %s, which is not decided", h.Upstream, id, model))
			}
		}
	}
	return append(out, stateViolations(s, numHeld)...)
}

// stateViolations returns the limits of the configuration that the folded state
// or the engines exceed. The argument held is the number of held replicas by
// model.
func stateViolations(s *applier.State, held map[string]int) []string {
	var out []string
	for name, u := range s.Config.Upstreams {
		if got := s.ReservedBytes(name); got > u.GetMemoryBytes() {
			out = append(out, fmt.Sprintf("%s: %d bytes reserved of %d", name, got, u.GetMemoryBytes()))
		}
	}
	used := make(map[string]int)
	for name, m := range s.Config.Models {
		used[m.GetCustomer()] += held[name]
		if decided := len(s.ReplicaIDs(name)); held[name] > decided {
			out = append(out, fmt.Sprintf("%s: %d replicas held, %d decided", name, held[name], decided))
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
	for _, t := range results {
		s := summaries[t.Key]
		s.answered = s.answered || t.Err == nil
		s.mayHaveRun = s.mayHaveRun || t.Err != nil && verdict.FromError(t.Err).Ran != verdict.NotRun
		summaries[t.Key] = s
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
