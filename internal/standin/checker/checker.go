// Package checker compares what really happened at the stand-ins with what the
// log decided and what callers were told.
//
// What engines hold must have been decided: every replica at an engine is in
// the folded state, at that upstream, with its memory reserved. What services
// ran must be what callers were told: no key ran twice, and no key ran whose
// every refusal said that it did not.
package checker

import (
	"fmt"
	"slices"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// Held is what one engine really holds.
type Held struct {
	Upstream      string            `json:"upstream"`
	Incarnation   string            `json:"incarnation"`
	MemoryBytes   uint64            `json:"memory-bytes"`
	MostBytes     uint64            `json:"most-bytes"`
	Overcommitted int               `json:"overcommitted"`
	Loads         int               `json:"loads"`
	Fenced        int               `json:"fenced"`
	Replicas      map[string]string `json:"replicas"` // model by replica id
}

// Engines returns what breaks an invariant. Before and after are what the
// engines held before and after the state was read: what is held in both must
// be in the state.
func Engines(before []Held, s *folder.State, after []Held) []string {
	var out []string
	later := make(map[string]Held)
	for _, h := range after {
		later[h.Upstream] = h
	}
	models := make(map[string]int)
	for _, h := range before {
		if h.MostBytes > h.MemoryBytes || later[h.Upstream].Overcommitted > 0 {
			out = append(out, fmt.Sprintf("%s: %d loads did not fit, most bytes %d of %d", h.Upstream, later[h.Upstream].Overcommitted, h.MostBytes, h.MemoryBytes))
		}
		for id, model := range h.Replicas {
			if later[h.Upstream].Replicas[id] == "" {
				continue
			}
			models[model]++
			if r, ok := s.Replica(id); !ok || r.Upstream != h.Upstream {
				out = append(out, fmt.Sprintf("%s: holds %s of %s, which is not decided", h.Upstream, id, model))
			}
		}
	}
	return append(out, state(s, models)...)
}

// state returns which bound of the configuration the state or the engines break.
func state(s *folder.State, held map[string]int) []string {
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

// Told is what one caller was told of one request with a key.
type Told struct {
	Key string
	// Err is nil for an answer, else a verdict.Refusal.
	Err error
}

// Calls returns which keys ran more than once, or otherwise than callers were
// told: a key with nothing but refusals as not run must not have run, and a key
// with an answer must have.
func Calls(ran map[string]int, told []Told) []string {
	var out []string
	for key, n := range ran {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	type sum struct{ answered, doubted bool }
	sums := make(map[string]sum)
	for _, t := range told {
		s := sums[t.Key]
		s.answered = s.answered || t.Err == nil
		s.doubted = s.doubted || t.Err != nil && verdict.Of(t.Err).Ran != verdict.NotRun
		sums[t.Key] = s
	}
	for key, s := range sums {
		switch {
		case s.answered && ran[key] == 0:
			out = append(out, key+" was answered and did not run")
		case !s.answered && !s.doubted && ran[key] > 0:
			out = append(out, key+" was refused as not run and ran")
		}
	}
	slices.Sort(out)
	return out
}
