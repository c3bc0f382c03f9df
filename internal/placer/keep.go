package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/forecaster"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const (
	// hysteresis raises the threshold for a preload and lowers the one for an
	// unload by this factor. It also lowers the benefit of a preload that is
	// compared with the cost of evictions.
	hysteresis = 1.25
	// coldStartExponent is the power by which the cost of a cold start grows
	// with its duration.
	coldStartExponent = 1.5
	// minIdleTime is the minimum idle time before an unload, regardless of
	// cost.
	minIdleTime = 10 * time.Second
	// surplusIdleTime is the idle time after which a replica beyond the first
	// is unloaded.
	surplusIdleTime = 2 * time.Minute
)

// classWeights are the factors of a request class on the cost of a cold start.
var classWeights = [...]float64{
	recordv1.RequestClass_REQUEST_CLASS_UNSPECIFIED: 1,
	recordv1.RequestClass_REQUEST_CLASS_URGENT:      2,
	recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE: 1,
	recordv1.RequestClass_REQUEST_CLASS_BATCH:       0.5,
}

// emptyHistory is the history of a model without observations.
var emptyHistory forecaster.History

func (p *planner) forecast(m *Model, horizon time.Duration) forecaster.Forecast {
	if m.Forecast == nil {
		return emptyHistory.Forecast(p.Now, m.LastUsed, horizon)
	}
	return m.Forecast(p.Now, m.LastUsed, horizon)
}

// coldStartCost returns the cost of a cold start of the model. Its duration is
// proportional to the model's memory. The cost grows faster than the duration,
// to reduce tail latency.
func (p *planner) coldStartCost(m *Model) float64 {
	class := 1.0
	if int(m.Class) < len(classWeights) {
		class = classWeights[m.Class]
	}
	return p.Policy.ColdStartWeight * class * p.Policy.storeLoadTime().Seconds() *
		math.Pow(float64(m.Bytes)/p.meanModelBytes, coldStartExponent)
}

// idleHourCost returns the cost of one hour for which a replica is loaded and
// idle.
func (p *planner) idleHourCost(m *Model, upstream int) float64 {
	return p.Policy.IdleWeight * memoryShare(m, p.Upstreams[upstream].MemoryBytes)
}

// planUnloads plans unloads of idle replicas that are not to be kept.
func (p *planner) planUnloads() {
	for i := range p.Models {
		m := &p.Models[i]
		if m.IsHeldByPeer {
			continue
		}
		remaining := p.numActive(m)
		for _, r := range m.Replicas {
			if !p.isIdle(r) {
				continue
			}
			if reason := p.unloadReason(m, r, remaining); reason != "" {
				p.addUnload(m, r, reason)
				remaining--
			}
		}
	}
}

// unloadReason returns the reason to unload an idle replica, "" to keep it.
// remaining is the number of active replicas of the model.
func (p *planner) unloadReason(m *Model, r Replica, remaining int) string {
	idle := p.Now.Sub(m.LastUsed)
	switch {
	case m.IsRemoved:
		return "model is not in force any more"
	case m.Waiting > 0:
		return ""
	case r.EvictReason != "" && m.Running == 0:
		return "another holder asked: " + r.EvictReason
	case remaining > 1 && m.Running*2 <= (remaining-1)*p.Policy.WaitingPerReplica && idle > surplusIdleTime:
		return "fewer replicas carry what runs"
	case m.Running > 0:
		return ""
	case !p.Policy.HasWeights() && idle > p.Policy.KeepWarm:
		return "idle for longer than the keep-warm time"
	case !p.Policy.HasWeights() || idle <= minIdleTime:
		return ""
	}
	u, ok := p.upstreamIndex[r.Upstream]
	if !ok {
		return ""
	}
	cold, cost := p.coldStartCost(m), p.idleHourCost(m, u)
	// The longer horizon never lowers MaxUsesPerIdleHour, so it is needed only if
	// the shorter one does not suffice to keep the replica.
	out := p.forecast(m, forecaster.ProbabilityWindow)
	if out.MaxUsesPerIdleHour*cold*hysteresis < cost {
		out = p.forecast(m, forecaster.Horizon)
	}
	if out.MaxUsesPerIdleHour*cold*hysteresis >= cost {
		return ""
	}
	return fmt.Sprintf("idle for %s, and at best %.2g cold starts are saved for each idle hour, of %.2g needed",
		idle.Round(time.Second), out.MaxUsesPerIdleHour, cost/cold)
}

// planPreloads plans replicas of models that are likely to be used soon, those
// with the largest benefit per byte first.
func (p *planner) planPreloads() {
	if p.Policy.NoPreload || p.hasMemoryShortage || !p.Policy.HasWeights() {
		return
	}
	type candidate struct {
		m       *Model
		benefit float64 // avoided cold-start cost per byte
		soon    float64 // uses per idle hour
	}
	var candidates []candidate
	largest := p.largestMemory()
	for i := range p.Models {
		m := &p.Models[i]
		if m.IsRemoved || m.IsHeldByPeer || m.Waiting > 0 || len(m.Replicas) > 0 || m.Forecast == nil {
			continue
		}
		out := p.forecast(m, forecaster.ProbabilityWindow)
		if soon, cold := out.SoonUsesPerIdleHour, p.coldStartCost(m); soon*cold >= p.Policy.IdleWeight*memoryShare(m, largest)*hysteresis {
			candidates = append(candidates, candidate{m, out.UseProbability * cold / float64(m.Bytes), soon})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.benefit, a.benefit) })
	for _, c := range candidates {
		p.preload(c.m, c.benefit, c.soon)
	}
}

// largestMemory returns the memory of the largest engine in bytes.
func (p *planner) largestMemory() uint64 {
	var largest uint64
	for i := range p.Upstreams {
		largest = max(largest, p.Upstreams[i].MemoryBytes)
	}
	return largest
}

// memoryShare returns the fraction of an engine's memory that the model
// occupies.
func memoryShare(m *Model, memory uint64) float64 {
	if memory == 0 {
		return 1
	}
	return float64(m.Bytes) / float64(memory)
}

// preload plans a load of the model, or room for one. benefit is the avoided
// cold-start cost per byte, soon the expected uses per idle hour.
func (p *planner) preload(m *Model, benefit, soon float64) {
	if !p.hasContractRoom(m) || p.contractShortages[m.Customer] {
		return
	}
	available := p.Policy.StoreLoadLimit - p.Policy.UrgentReserve - p.StoreLoads
	if c, ok := p.place(m, available > 0); ok {
		p.addLoad(m, c, fmt.Sprintf("needed soon, %.2g cold starts are saved for each idle hour", soon))
		p.orders[len(p.orders)-1].IsPreload = true
		return
	}
	if !p.hasFreeMemory(m) && !p.hasUnloads() {
		p.makeRoom(m, benefit/hysteresis)
	}
}

// hasUnloads reports whether any unload is in flight or planned. Room for
// preloads is made for one model at a time, so that two models do not rely on
// the same memory.
func (p *planner) hasUnloads() bool {
	return len(p.freeingContracts) > 0
}

// victim is an idle replica that may be evicted to make room for another model.
type victim struct {
	m    *Model
	r    Replica
	cost float64 // expected cost of the eviction per byte
}

// unlimitedBenefit exceeds the eviction cost of every victim.
const unlimitedBenefit = 1e300

// victimsOf returns the victims on an upstream by ascending cost per byte.
func (p *planner) victimsOf(upstream int) []victim {
	if p.victims == nil {
		p.victims = make([][]victim, len(p.Upstreams))
		for i := range p.Models {
			p.addVictims(&p.Models[i])
		}
		for _, list := range p.victims {
			slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
		}
	}
	return p.victims[upstream]
}

func (p *planner) addVictims(m *Model) {
	if m.Waiting > 0 {
		return
	}
	cost := -1.0
	for _, r := range m.Replicas {
		u, ok := p.upstreamIndex[r.Upstream]
		if !ok || !p.isIdle(r) || m.Running > 0 && p.numActive(m) == 1 {
			continue
		}
		if cost < 0 {
			cost = p.evictionCost(m)
		}
		p.victims[u] = append(p.victims[u], victim{m, r, cost})
	}
}

// evictionCost returns the expected cost of the model's next cold start per
// byte. It is highest for a model that was just used, so that two models do not
// evict each other in turn. Without weights the inverse of the idle time stands
// for the cost.
func (p *planner) evictionCost(m *Model) float64 {
	if !p.Policy.HasWeights() {
		return 1 / (p.Now.Sub(m.LastUsed).Seconds() + 1) / float64(max(m.Bytes, 1))
	}
	return p.forecast(m, forecaster.ProbabilityWindow).UseProbability * p.coldStartCost(m) / float64(max(m.Bytes, 1))
}

// makeRoom reserves memory that is being freed for the model. If there is not
// enough, it unloads the victims on the upstream where their total cost is
// lowest, provided that it is below the benefit, given in cost per byte of the
// model.
func (p *planner) makeRoom(m *Model, benefit float64) {
	for i := range p.Upstreams {
		if p.Upstreams[i].IsUsable && p.freeBytes[i]+p.freeingBytes[i] >= m.Bytes {
			p.reserveFreeing(m, i)
			return
		}
	}
	if p.Policy.NoEviction {
		return
	}
	best, bestCost := -1, benefit*float64(m.Bytes)
	for i := range p.Upstreams {
		if !p.Upstreams[i].IsUsable {
			continue
		}
		if _, cost, ok := p.cheapestVictims(m, i); ok && cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return
	}
	list, _, _ := p.cheapestVictims(m, best)
	for _, v := range list {
		p.addUnload(v.m, v.r, "room for "+m.Name+", whose next use is worth more for its memory")
	}
	p.reserveFreeing(m, best)
}

// reserveFreeing reserves free memory, memory that is being freed and contract
// capacity for the model.
func (p *planner) reserveFreeing(m *Model, i int) {
	fromFree := min(p.freeBytes[i], m.Bytes)
	p.freeBytes[i] -= fromFree
	p.freeingBytes[i] -= m.Bytes - fromFree
	a := p.freeCapacity[m.Customer]
	p.freeCapacity[m.Customer] = ContractCapacity{a.Replicas - 1, a.Bytes - min(a.Bytes, m.Bytes)}
}

// cheapestVictims returns the victims on an upstream that must be evicted to
// make room for the model, their total cost, and whether they suffice.
func (p *planner) cheapestVictims(m *Model, i int) ([]victim, float64, bool) {
	room := p.freeBytes[i] + p.freeingBytes[i]
	cost := 0.0
	var out []victim
	for _, v := range p.victimsOf(i) {
		if room >= m.Bytes {
			break
		}
		if v.m == m || p.unloading[v.r.ID] {
			continue
		}
		room += v.m.Bytes
		cost += v.cost * float64(v.m.Bytes)
		out = append(out, v)
	}
	return out, cost, room >= m.Bytes
}

// canMakeRoom reports whether a usable upstream has enough memory for the
// model, or would have after evictions.
func (p *planner) canMakeRoom(m *Model) bool {
	for i := range p.Upstreams {
		if !p.Upstreams[i].IsUsable {
			continue
		}
		if _, _, ok := p.cheapestVictims(m, i); ok {
			return true
		}
	}
	return false
}

// makeContractRoom unloads idle replicas of the same customer until the
// contract has capacity for the model.
func (p *planner) makeContractRoom(m *Model) {
	if p.Policy.NoEviction || !p.canMakeRoom(m) {
		return
	}
	var list []victim
	for i := range p.Upstreams {
		for _, v := range p.victimsOf(i) {
			if v.m.Customer == m.Customer && v.m != m && !p.unloading[v.r.ID] {
				list = append(list, v)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	numVictims := 0
	unused, freeing := p.freeCapacity[m.Customer], p.freeingContracts[m.Customer]
	room := ContractCapacity{unused.Replicas + freeing.Replicas, unused.Bytes + freeing.Bytes}
	for room.Replicas <= 0 || room.Bytes < m.Bytes {
		if numVictims == len(list) {
			return
		}
		room = ContractCapacity{room.Replicas + 1, room.Bytes + list[numVictims].m.Bytes}
		numVictims++
	}
	for _, v := range list[:numVictims] {
		p.addUnload(v.m, v.r, "room in the customer's contract for "+m.Name)
	}
	p.reserveContract(m)
}

// reserveContract reserves contract capacity for the model: first unused
// capacity, then capacity that unloads in flight or planned will free.
func (p *planner) reserveContract(m *Model) {
	unused, freeing := p.freeCapacity[m.Customer], p.freeingContracts[m.Customer]
	fromUnused := min(unused.Bytes, m.Bytes)
	unused.Bytes -= fromUnused
	freeing.Bytes -= m.Bytes - fromUnused
	if unused.Replicas > 0 {
		unused.Replicas--
	} else {
		freeing.Replicas--
	}
	p.freeCapacity[m.Customer], p.freeingContracts[m.Customer] = unused, freeing
}
