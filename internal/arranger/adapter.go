package arranger

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// adapterMoves returns moves that load the adapters that requests wait for, the
// one with the most waiting requests first.
func (p *planner) adapterMoves() []Move {
	var missing []Demand
	for _, d := range p.Demands {
		if d.Adapter != "" && d.Waiting > 0 && !p.isAdapterLoaded(d) {
			missing = append(missing, d)
		}
	}
	slices.SortFunc(missing, func(a, b Demand) int {
		if c := cmp.Compare(b.Waiting, a.Waiting); c != 0 {
			return c
		}
		return cmp.Compare(a.Model+"/"+a.Adapter, b.Model+"/"+b.Adapter)
	})
	var moves []Move
	for _, d := range missing {
		if m, ok := p.placeAdapter(d); ok {
			p.planned[m.Upstream] = true
			moves = append(moves, m)
		}
	}
	return moves
}

// isAdapterLoaded reports whether an upstream has the adapter loaded. One that takes few
// requests counts only if no other has the adapter's model.
func (p *planner) isAdapterLoaded(d Demand) bool {
	for _, u := range p.Upstreams {
		if u.IsLimited && p.replicas[d.Model] > 0 || !d.mayRunAt(u) {
			continue
		}
		for _, r := range u.Models {
			if r.Model == d.Model && slices.ContainsFunc(r.Adapters, func(a Adapter) bool { return a.Name == d.Adapter }) {
				return true
			}
		}
	}
	return false
}

// placeAdapter returns the move that loads an adapter on an upstream that holds
// its model and has a free adapter slot and memory for it, or idle adapters to unload.
func (p *planner) placeAdapter(d Demand) (Move, bool) {
	var best Move
	bestCost := math.Inf(1)
	for _, u := range p.Upstreams {
		if u.IsBusy || p.planned[u.ID] || !u.holds(d.Model) || u.IsLimited && p.replicas[d.Model] > 0 || !d.mayRunAt(u) {
			continue
		}
		m := Move{Upstream: u.ID, Reason: fmt.Sprintf("adapter requested but not loaded on any upstream: waiting %d", d.Waiting)}
		cost := float64(u.Running)
		missingMB := u.usedMB(p.Engine) + p.Engine.Models[d.Model].AdapterMB - p.Engine.MemoryMB
		victims, ok := u.adaptersToUnload(p.Engine, missingMB, u.adapterCount()+1-p.Engine.AdapterSlots)
		if !ok {
			continue
		}
		for _, a := range victims {
			m.Orders = append(m.Orders, Order{Operation: Unload, Model: a.model, Adapter: a.Name})
			// A recently used adapter is likely to be requested again.
			cost += 100 / (1 + p.Now.Sub(a.LastUsed).Seconds())
		}
		if cost < bestCost {
			m.Orders = append(m.Orders, Order{Operation: Load, Model: d.Model, Adapter: d.Adapter})
			best, bestCost = m, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}
