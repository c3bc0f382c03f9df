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
	// hysteresis lies between the thresholds of loading ahead and of keeping.
	hysteresis = 1.25
	// tailExponent is how fast the cost of a cold start grows with its length.
	tailExponent = 1.5
	// minKeep is how long a replica stays after its last use, whatever it costs.
	minKeep = 10 * time.Second
	// surplusKeep is how long a replica beyond the first stays idle.
	surplusKeep = 2 * time.Minute
)

// classWeights multiply the cost of a cold start.
var classWeights = [...]float64{
	recordv1.RequestClass_REQUEST_CLASS_UNSPECIFIED: 1,
	recordv1.RequestClass_REQUEST_CLASS_URGENT:      2,
	recordv1.RequestClass_REQUEST_CLASS_INTERACTIVE: 1,
	recordv1.RequestClass_REQUEST_CLASS_BATCH:       0.5,
}

// noHistory is the history of a model of which nothing is known.
var noHistory forecaster.History

func (p *planner) outlook(m *Model, horizon time.Duration) forecaster.Outlook {
	if m.Forecast == nil {
		return noHistory.Outlook(p.Now, m.LastUsed, horizon)
	}
	return m.Forecast(p.Now, m.LastUsed, horizon)
}

// coldCost is the cost of a cold start of the model. The load time grows with
// its memory, and a long wait costs more than its length, for the tail's sake.
func (p *planner) coldCost(m *Model) float64 {
	class := 1.0
	if int(m.Class) < len(classWeights) {
		class = classWeights[m.Class]
	}
	return p.Policy.ColdStartWeight * class * p.Policy.loadTime().Seconds() *
		math.Pow(float64(m.Bytes)/p.meanBytes, tailExponent)
}

// idleCost is the cost of an hour for which a replica is loaded and idle.
func (p *planner) idleCost(m *Model, upstream int) float64 {
	return p.Policy.IdleWeight * share(m, p.Upstreams[upstream].MemoryBytes)
}

// unloads plans the replicas that are not worth their idle time.
func (p *planner) unloads() {
	for i := range p.Models {
		m := &p.Models[i]
		if m.Foreign {
			continue
		}
		left := p.active(m)
		for _, r := range m.Replicas {
			if !p.isIdle(r) {
				continue
			}
			if reason := p.unloadReason(m, r, left); reason != "" {
				p.unload(m, r, reason)
				left--
			}
		}
	}
}

// unloadReason returns why an idle replica goes, "" if it stays.
func (p *planner) unloadReason(m *Model, r Replica, left int) string {
	idle := p.Now.Sub(m.LastUsed)
	switch {
	case m.Gone:
		return "model is not in force any more"
	case m.Waiting > 0:
		return ""
	case r.EvictFor != "" && m.Running == 0:
		return "another holder asked: " + r.EvictFor
	case left > 1 && m.Running*2 <= (left-1)*p.Policy.WaitingPerReplica && idle > surplusKeep:
		return "fewer replicas carry what runs"
	case m.Running > 0:
		return ""
	case !p.Policy.HasWeights() && idle > p.Policy.KeepWarm:
		return "idle for longer than the keep-warm time"
	case !p.Policy.HasWeights() || idle <= minKeep:
		return ""
	}
	u, ok := p.index[r.Upstream]
	if !ok {
		return ""
	}
	cold, cost := p.coldCost(m), p.idleCost(m, u)
	out := p.outlook(m, forecaster.ChanceWithin)
	if out.NeedsPerHour*cold*hysteresis < cost {
		out = p.outlook(m, forecaster.Horizon)
	}
	if out.NeedsPerHour*cold*hysteresis >= cost {
		return ""
	}
	return fmt.Sprintf("idle for %s, and at best %.2g cold starts are saved for each idle hour, of %.2g needed",
		idle.Round(time.Second), out.NeedsPerHour, cost/cold)
}

// preloads plans replicas of models that are needed soon.
func (p *planner) preloads() {
	if p.Policy.NoPreload || p.shortMemory || !p.Policy.HasWeights() {
		return
	}
	type want struct {
		m    *Model
		gain float64
		soon float64
	}
	var wants []want
	most := p.largestMemory()
	for i := range p.Models {
		m := &p.Models[i]
		if m.Gone || m.Foreign || m.Waiting > 0 || len(m.Replicas) > 0 || m.Forecast == nil {
			continue
		}
		out := p.outlook(m, forecaster.ChanceWithin)
		if soon, cold := out.SoonPerHour, p.coldCost(m); soon*cold >= p.Policy.IdleWeight*share(m, most)*hysteresis {
			wants = append(wants, want{m, out.Chance * cold / float64(m.Bytes), soon})
		}
	}
	slices.SortStableFunc(wants, func(a, b want) int { return cmp.Compare(b.gain, a.gain) })
	for _, w := range wants {
		p.preload(w.m, w.gain, w.soon)
	}
}

// largestMemory is the memory of the largest engine.
func (p *planner) largestMemory() uint64 {
	var most uint64
	for i := range p.Upstreams {
		most = max(most, p.Upstreams[i].MemoryBytes)
	}
	return most
}

// share is the part of an engine's memory that the model takes.
func share(m *Model, memory uint64) float64 {
	if memory == 0 {
		return 1
	}
	return float64(m.Bytes) / float64(memory)
}

func (p *planner) preload(m *Model, gain, soon float64) {
	if !p.hasContract(m) || p.shortContracts[m.Customer] {
		return
	}
	slots := p.Policy.StoreConcurrent - p.Policy.UrgentReserve - p.StoreLoads
	if c, ok := p.place(m, slots > 0); ok {
		p.load(m, c, fmt.Sprintf("needed soon, %.2g cold starts are saved for each idle hour", soon))
		p.out[len(p.out)-1].Ahead = true
		return
	}
	if !p.fits(m) && !p.isFreeing() {
		p.makeRoom(m, gain/hysteresis)
	}
}

// isFreeing reports whether any unload is under way. Room for loading ahead is
// made one model at a time, so that two do not count on the same room.
func (p *planner) isFreeing() bool {
	return len(p.returning) > 0
}

// victim is an idle replica that may make room for another model.
type victim struct {
	m    *Model
	r    Replica
	loss float64 // expected cost for each byte
}

// mustLoad is a gain above that of every victim.
const mustLoad = 1e300

// victimsOf returns the idle replicas on an upstream, the cheapest first.
func (p *planner) victimsOf(upstream int) []victim {
	if p.victims == nil {
		p.victims = make([][]victim, len(p.Upstreams))
		for i := range p.Models {
			p.addVictims(&p.Models[i])
		}
		for _, list := range p.victims {
			slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
		}
	}
	return p.victims[upstream]
}

func (p *planner) addVictims(m *Model) {
	if m.Waiting > 0 {
		return
	}
	loss := -1.0
	for _, r := range m.Replicas {
		u, ok := p.index[r.Upstream]
		if !ok || !p.isIdle(r) || m.Running > 0 && p.active(m) == 1 {
			continue
		}
		if loss < 0 {
			loss = p.loss(m)
		}
		p.victims[u] = append(p.victims[u], victim{m, r, loss})
	}
}

// loss is the expected cost of the model's next cold start for each byte. A
// model just used is worth most, so that two models do not evict each other.
func (p *planner) loss(m *Model) float64 {
	if !p.Policy.HasWeights() {
		return 1 / (p.Now.Sub(m.LastUsed).Seconds() + 1) / float64(max(m.Bytes, 1))
	}
	return p.outlook(m, forecaster.ChanceWithin).Chance * p.coldCost(m) / float64(max(m.Bytes, 1))
}

// makeRoom unloads the idle replicas whose loss is least on the upstream where
// it is least, if it is below the gain. Memory that is being freed counts.
func (p *planner) makeRoom(m *Model, gain float64) {
	for i := range p.Upstreams {
		if p.Upstreams[i].Usable && p.free[i]+p.freeing[i] >= m.Bytes {
			p.takeFreeing(m, i)
			return
		}
	}
	if p.Policy.NoEviction {
		return
	}
	best, bestLoss := -1, gain*float64(m.Bytes)
	for i := range p.Upstreams {
		if !p.Upstreams[i].Usable {
			continue
		}
		if _, loss, ok := p.cheapest(m, i); ok && loss < bestLoss {
			best, bestLoss = i, loss
		}
	}
	if best < 0 {
		return
	}
	list, _, _ := p.cheapest(m, best)
	for _, v := range list {
		p.unload(v.m, v.r, "room for "+m.Name+", whose next use is worth more for its memory")
	}
	p.takeFreeing(m, best)
}

// takeFreeing keeps memory that is being freed for the model.
func (p *planner) takeFreeing(m *Model, i int) {
	fromFree := min(p.free[i], m.Bytes)
	p.free[i] -= fromFree
	p.freeing[i] -= m.Bytes - fromFree
	a := p.allowances[m.Customer]
	p.allowances[m.Customer] = Allowance{a.Replicas - 1, a.Bytes - min(a.Bytes, m.Bytes)}
}

// cheapest returns the victims on an upstream that make room for the model,
// and what their loss costs.
func (p *planner) cheapest(m *Model, i int) ([]victim, float64, bool) {
	room := p.free[i] + p.freeing[i]
	loss := 0.0
	var out []victim
	for _, v := range p.victimsOf(i) {
		if room >= m.Bytes {
			break
		}
		if v.m == m || p.unloading[v.r.ID] {
			continue
		}
		room += v.m.Bytes
		loss += v.loss * float64(v.m.Bytes)
		out = append(out, v)
	}
	return out, loss, room >= m.Bytes
}

// couldFit reports whether an upstream has the memory or could be given it.
func (p *planner) couldFit(m *Model) bool {
	for i := range p.Upstreams {
		if !p.Upstreams[i].Usable {
			continue
		}
		if _, _, ok := p.cheapest(m, i); ok {
			return true
		}
	}
	return false
}

// makeContractRoom unloads idle replicas of the same customer until the
// contract has room for the model.
func (p *planner) makeContractRoom(m *Model) {
	if p.Policy.NoEviction || !p.couldFit(m) {
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
	slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	taken := 0
	a, r := p.allowances[m.Customer], p.returning[m.Customer]
	room := Allowance{a.Replicas + r.Replicas, a.Bytes + r.Bytes}
	for room.Replicas <= 0 || room.Bytes < m.Bytes {
		if taken == len(list) {
			return
		}
		room = Allowance{room.Replicas + 1, room.Bytes + list[taken].m.Bytes}
		taken++
	}
	for _, v := range list[:taken] {
		p.unload(v.m, v.r, "room in the customer's contract for "+m.Name)
	}
	p.takeContract(m)
}

// takeContract keeps what is left of the contract, and what is coming back to
// it, for the model.
func (p *planner) takeContract(m *Model) {
	a, r := p.allowances[m.Customer], p.returning[m.Customer]
	fromLeft := min(a.Bytes, m.Bytes)
	a.Bytes -= fromLeft
	r.Bytes -= m.Bytes - fromLeft
	if a.Replicas > 0 {
		a.Replicas--
	} else {
		r.Replicas--
	}
	p.allowances[m.Customer], p.returning[m.Customer] = a, r
}
