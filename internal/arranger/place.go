package arranger

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// place returns the move that loads a candidate on the upstream where that costs
// least. The cost is a number of requests: those that the unloaded models would
// have run within costHorizon, and those that wait until the load is done. It
// returns no move if the upstream with the least cost is busy or has a move
// already: the load then waits for it.
func (p *planner) place(c candidate) (Move, bool) {
	best, bestCost := -1, math.Inf(1)
	var bestVictims []string
	var bestSource source
	for i, u := range p.Upstreams {
		if u.IsLimited || u.holds(c.model.Name) || p.isReserved(u, c) || c.software != nil && u.Software != *c.software {
			continue
		}
		tier, _ := u.tier(c.model)
		victims, unloadCost, ok := p.makeRoom(u, c, tier)
		src := p.sourceAfter(u, c.model, victims)
		if src.tier == FromStore && tier != FromStore {
			victims, unloadCost, ok = p.makeRoom(u, c, FromStore)
		}
		if src.tier == FromStore && !p.canLoadFromStore(c) {
			continue
		}
		if src.tier == FromStore {
			unloadCost += p.blockedCost(u)
		}
		if !ok || c.benefitFrom(src.tier) < minBenefitRatio*unloadCost {
			continue
		}
		delay := u.busyFor(p.planned[u.ID]) + src.duration + unloadDelay(u.runningOf(victims))
		if u.replacedBy(c.model.Name) {
			unloadCost -= startedDrainBonus
		}
		cost := costHorizon.Seconds()*unloadCost + c.delayed*delay.Seconds() +
			sameDataCentreCost*float64(p.replicasAt[modelAt{c.model.Name, u.DataCentre}]) + runningPlacementCost*float64(u.Running)
		if cost < bestCost {
			best, bestCost, bestVictims, bestSource = i, cost, victims, src
		}
	}
	if best < 0 || p.Upstreams[best].IsBusy || p.planned[p.Upstreams[best].ID] {
		return Move{}, false
	}
	u := p.Upstreams[best]
	if bestSource.tier == FromStore {
		p.StoreLoads++
	}
	p.planned[u.ID] = true
	m := Move{Upstream: u.ID, Reason: c.reason}
	for _, v := range bestVictims {
		m.Orders = append(m.Orders, Order{Operation: Unload, Model: v})
	}
	rest := u.without(bestVictims)
	adapters, _ := rest.adaptersToUnload(p.Engine, rest.usedMB(p.Engine)+c.model.SizeMB-p.Engine.MemoryMB, 0) // makeRoom has checked it
	for _, a := range adapters {
		m.Orders = append(m.Orders, Order{Operation: Unload, Model: a.model, Adapter: a.Name})
	}
	m.Orders = append(m.Orders, Order{Operation: Load, Model: c.model.Name, Tier: bestSource.tier, LoadDuration: bestSource.duration, OtherDuration: bestSource.other})
	if u.runningOf(bestVictims) > 0 {
		m.ModelsToDrain = bestVictims
		return m, true
	}
	p.replicas[c.model.Name]++
	p.replicasWith[modelWith{c.model.Name, u.Software}]++
	for _, v := range bestVictims {
		p.replicas[v]--
		p.replicasWith[modelWith{v, u.Software}]--
	}
	return m, true
}

// canLoadFromStore reports whether the candidate's load from the store may start now. On
// a store that runs one load at a time, a prefetch would keep models that are requested
// in the next seconds waiting for all of its duration.
func (p *planner) canLoadFromStore(c candidate) bool {
	if c.isPrefetch && p.StoreLoadLimit <= 1 {
		return false
	}
	return float64(p.StoreLoads) < c.loadShare*float64(p.StoreLoadLimit)
}

// isReserved reports whether models drain at the upstream for another model that
// is still a candidate. Streams that wait take over what drains for new requests.
func (p *planner) isReserved(u Upstream, c candidate) bool {
	return slices.ContainsFunc(u.Models, func(r Resident) bool {
		isFor := r.ReplacedBy != "" && r.ReplacedBy != c.model.Name && p.candidateModels[r.ReplacedBy]
		return isFor && (c.software == nil || p.bound[modelWith{r.ReplacedBy, u.Software}] > 0)
	})
}

// replacedBy reports whether models drain at the upstream for the given one.
func (u Upstream) replacedBy(model string) bool {
	return slices.ContainsFunc(u.Models, func(r Resident) bool { return r.ReplacedBy == model })
}

// busyFor returns how long the upstream is expected to accept no order, because it
// is busy or has a move in this plan. An overdue order is assumed to take as much
// time again as it is late.
func (u Upstream) busyFor(hasMove bool) time.Duration {
	switch {
	case u.IsBusy:
		return max(u.BusyFor, -u.BusyFor, minBusyTime)
	case hasMove:
		return minBusyTime
	}
	return 0
}

// unloadDelay returns how long an unload waits for the running requests.
func unloadDelay(running int) time.Duration {
	if running == 0 {
		return 0
	}
	return min(unloadBaseDelay+time.Duration(running)*unloadRequestDelay, maxUnloadDelay)
}

// blockedCost returns the cost, in requests per second, of keeping an upstream
// busy for a load from the store: models whose weights are only on its disk cannot
// be loaded during that time.
func (p *planner) blockedCost(u Upstream) float64 {
	cost := 0.0
	for _, m := range u.OnDisk {
		if p.replicas[m] == 0 {
			cost += p.unavailableCost(m, u)
		}
	}
	return cost
}

// unavailableCost returns the cost, in requests per second, of a model that cannot
// be loaded on the upstream for a while. It is 0 if another upstream has the model
// or its weights.
func (p *planner) unavailableCost(model string, u Upstream) float64 {
	if p.isElsewhere(model, u) {
		return 0
	}
	d := p.demand[model]
	return blockedModelCost * (d.Rate + blockedModelRate + waitingWeight*float64(d.Waiting))
}

// isElsewhere reports whether an upstream other than u has the model loaded or its
// weights in host memory or on disk.
func (p *planner) isElsewhere(model string, u Upstream) bool {
	n := p.weightsAt[model]
	if u.holds(model) || slices.Contains(u.InHostMemory, model) || slices.Contains(u.OnDisk, model) {
		n--
	}
	return n > 0
}

// makeRoom returns the models to unload for a candidate, and what that costs in
// requests per second. Idle adapters of the others may have to be unloaded as well, which costs nothing.
func (p *planner) makeRoom(u Upstream, c candidate, tier Tier) (victims []string, cost float64, ok bool) {
	missingMB := c.model.SizeMB - p.Engine.MemoryMB
	for _, r := range u.Models {
		missingMB += r.occupiedMB(p.Engine)
	}
	if missingMB <= 0 {
		return nil, 0, true
	}
	type victim struct {
		Resident
		cost float64
	}
	list := make([]victim, 0, len(u.Models))
	for _, r := range u.Models {
		v := victim{r, p.unloadCost(r)}
		if k := (modelWith{r.Model, u.Software}); p.replicasWith[k] == 1 {
			v.cost += boundWeight * float64(p.bound[k])
			v.cost += returnWeight * float64(p.mayReturn[k])
		}
		if tier == FromStore && p.replicas[r.Model] == 1 {
			v.cost += p.unavailableCost(r.Model, u)
		}
		list = append(list, v)
	}
	// Models with the least cost for their size are unloaded first. The cost
	// includes the delay until their running requests have ended.
	costPerMB := func(v victim) float64 {
		cost := v.cost
		if v.Running > 0 && v.ReplacedBy == "" && u.replacedBy(c.model.Name) {
			cost += otherDrainCost
		}
		return (costHorizon.Seconds()*cost + c.delayed*unloadDelay(v.Running).Seconds()) / p.Engine.Models[v.Model].SizeMB
	}
	slices.SortFunc(list, func(a, b victim) int { return cmp.Compare(costPerMB(a), costPerMB(b)) })
	for _, v := range list {
		if missingMB <= 0 {
			break
		}
		victims = append(victims, v.Model)
		cost += v.cost
		missingMB -= v.occupiedMB(p.Engine)
	}
	return victims, cost, missingMB <= 0
}

// unloadCost returns the cost of unloading a replica, in requests per second.
func (p *planner) unloadCost(r Resident) float64 {
	d := p.demand[r.Model]
	n := p.replicas[r.Model]
	needed := max(p.replicasNeeded(d), 1)
	var cost float64
	switch {
	case n > needed:
		cost = spareReplicaCost * d.Rate / float64(n)
	case n > 1:
		cost = d.Rate / float64(n)
	default:
		cost = d.Rate + waitingWeight*float64(d.Waiting)
	}
	cost += runningRequestCost * float64(r.Running)
	if !r.LoadedAt.IsZero() && p.Now.Sub(r.LoadedAt) < minResidence {
		cost += recentLoadCost
	}
	return cost
}
