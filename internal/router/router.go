// Package router chooses the upstream of an attempt.
//
// Choose is a pure function of the candidates. It estimates the time to the
// first byte of an attempt on each of them from the round trip, the latency of
// recent attempts and the load. It compares two random candidates and those
// likely to have the prompt prefix cached, and returns the one with the lowest
// estimate. Comparing only two random candidates keeps all instances from
// sending to the same upstream while load reports lag.
//
// The rules:
//
//   - A candidate has room while its load is below its slots.
//   - A candidate whose failure probability is clearly above that of another one
//     with room gets no attempt. ExcludeUnreliable applies this rule.
//   - A candidate that was tried for the request is chosen only if no other one
//     has room.
//   - A request suspected of crashing upstreams runs only on an upstream where no
//     other suspect runs. The caller applies this rule.
package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants of the estimate and of the exclusion.
const (
	// DefaultLatency is the assumed time to the first byte while no sample exists.
	DefaultLatency = 50 * time.Millisecond
	// cachedPrefixFactor is the part of the latency that remains if the prefix is
	// cached.
	cachedPrefixFactor = 0.6
	// FailureMargin is the difference between the failure probabilities of two
	// candidates above which one is excluded. A single failure stays below it.
	FailureMargin = 0.12
)

// Candidate is an upstream, or a replica on it, that can run the attempt.
type Candidate struct {
	Upstream    string
	Incarnation string // incarnation of the upstream
	Replica     string
	Address     string
	// Load is the number of requests that run or wait there, Slots how many can
	// run at once.
	Load  int
	Slots int
	// Latency is the smoothed time to the first byte, zero if unknown.
	Latency time.Duration
	// Distance is the round trip from this instance.
	Distance time.Duration
	// HasPrefix says that the prompt prefix is probably cached there.
	HasPrefix bool
	// FailureProbability is the share of attempts expected to fail there, from 0
	// to 1.
	FailureProbability float64
}

// hasRoom reports whether one more attempt would run at once.
func (c Candidate) hasRoom() bool {
	return c.Load < c.Slots
}

// Estimate returns the expected time to the first byte of one more attempt.
func (c Candidate) Estimate() time.Duration {
	latency := c.Latency
	if latency == 0 {
		latency = DefaultLatency
	}
	work := float64(latency) * float64(c.Load+1) / float64(max(c.Slots, 1))
	if c.HasPrefix {
		work *= cachedPrefixFactor
	}
	return c.Distance + time.Duration(work)
}

// ExcludeUnreliable returns a copy of the candidates. Those whose failure
// probability exceeds the lowest among the untried candidates with room by more
// than FailureMargin have no slots in it.
func ExcludeUnreliable(cands []Candidate, tried map[string]bool) []Candidate {
	lowest := math.Inf(1)
	for _, c := range cands {
		if c.hasRoom() && !tried[c.Upstream] {
			lowest = min(lowest, c.FailureProbability)
		}
	}
	out := slices.Clone(cands)
	for i, c := range out {
		if c.FailureProbability > lowest+FailureMargin {
			out[i].Slots = 0
		}
	}
	return out
}

// Choose returns the index of the chosen candidate, or -1 if none has room.
// Candidates in tried are chosen only if no other one has room.
func Choose(cands []Candidate, tried map[string]bool, rng *rand.Rand) int {
	usable := make([]int, 0, len(cands))
	var retried []int
	for i, c := range cands {
		switch {
		case !c.hasRoom():
		case tried[c.Upstream]:
			retried = append(retried, i)
		default:
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		usable = retried
	}
	if len(usable) == 0 {
		return -1
	}
	best := lowerEstimate(cands, usable[rng.IntN(len(usable))], usable[rng.IntN(len(usable))])
	for _, i := range usable {
		if cands[i].HasPrefix {
			best = lowerEstimate(cands, best, i)
		}
	}
	return best
}

// lowerEstimate returns the index of the candidate with the lower estimate, a if
// they are equal.
func lowerEstimate(cands []Candidate, a, b int) int {
	if cands[b].Estimate() < cands[a].Estimate() {
		return b
	}
	return a
}
