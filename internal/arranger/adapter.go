package arranger

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// adapterMoves returns the loads of adapters that requests wait for.
func (p *planner) adapterMoves() []Move {
	var wanted []Demand
	for _, d := range p.Demands {
		if d.Adapter != "" && d.Waiting > 0 && !p.hasAdapter(d) {
			wanted = append(wanted, d)
		}
	}
	slices.SortFunc(wanted, func(a, b Demand) int {
		if c := cmp.Compare(b.Waiting, a.Waiting); c != 0 {
			return c
		}
		return cmp.Compare(a.Model+"/"+a.Adapter, b.Model+"/"+b.Adapter)
	})
	var moves []Move
	for _, d := range wanted {
		if m, ok := p.placeAdapter(d); ok {
			p.moved[m.Upstream] = true
			moves = append(moves, m)
		}
	}
	return moves
}

func (p *planner) hasAdapter(d Demand) bool {
	for _, u := range p.Upstreams {
		for _, r := range u.Models {
			if r.Model == d.Model && slices.ContainsFunc(r.Adapters, func(a Adapter) bool { return a.Name == d.Adapter }) {
				return true
			}
		}
	}
	return false
}

// placeAdapter loads an adapter beside a copy of its model, where a place is
// free or the least recently used adapter is idle.
func (p *planner) placeAdapter(d Demand) (Move, bool) {
	var best Move
	bestCost := math.Inf(1)
	for _, u := range p.Upstreams {
		if u.IsBusy || p.moved[u.ID] || !u.holds(d.Model) {
			continue
		}
		m := Move{Upstream: u.ID, Why: fmt.Sprintf("adapter asked for and nowhere: waiting %d", d.Waiting)}
		cost := float64(u.Running)
		if u.adapters() >= p.Engine.AdapterPlaces {
			model, a, ok := idlest(u)
			if !ok {
				continue
			}
			m.Orders = append(m.Orders, Order{Operation: Unload, Model: model, Adapter: a.Name})
			// An adapter that was used a moment ago is likely asked for again.
			cost += 100 / (1 + p.Now.Sub(a.LastUsed).Seconds())
		}
		if cost < bestCost {
			m.Orders = append(m.Orders, Order{Operation: Load, Model: d.Model, Adapter: d.Adapter})
			best, bestCost = m, cost
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// idlest returns the least recently used adapter that runs nothing.
func idlest(u Upstream) (model string, best Adapter, ok bool) {
	for _, r := range u.Models {
		for _, a := range r.Adapters {
			if a.Running == 0 && (!ok || a.LastUsed.Before(best.LastUsed)) {
				model, best, ok = r.Model, a, true
			}
		}
	}
	return model, best, ok
}
