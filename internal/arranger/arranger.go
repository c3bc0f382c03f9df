package arranger

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
)

const (
	// ReplicaRate is how many requests per second one replica of a model serves.
	ReplicaRate = 24.0
	// targetSlotUse is the share of a replica's slots that running and waiting
	// requests may fill before the model needs another replica.
	targetSlotUse = 0.8
	// targetAdapterUse is the same share for adapter slots: the rest stays free
	// for the adapters that are requested next.
	targetAdapterUse = 0.7
	// adapterRequestTime is how long a request uses an adapter.
	adapterRequestTime = 800 * time.Millisecond
	// minResidence is how long after its load a model costs recentLoadCost more to
	// unload, so that the requests that waited for it can run.
	minResidence = 1500 * time.Millisecond
	// waitingWeight is the weight of one waiting request, in requests per second.
	waitingWeight = 2.0
	// boundWeight is that of a waiting request for the rest of a stream, which only upstreams of
	// one software version can serve. A load from the store takes several times as long as one
	// from disk or host memory and counts with waitingWeight.
	boundWeight = 5.0
	// returnWeight is that of a stream that its client may take up again, at the last replica of
	// the only version that can serve it.
	returnWeight = 0.1
	// minBenefitRatio is the least ratio of a load's benefit to the cost of the
	// unloads that it needs.
	minBenefitRatio = 1.0
	// spareReplicaCost is the cost of unloading a replica that the model does not
	// need, as a share of the replica's rate.
	spareReplicaCost = 0.02
	// extraReplicaBenefit is the benefit of another replica of a model that has
	// too few, as a share of the request rate that it would take over.
	extraReplicaBenefit = 0.4
	// blockedModelCost is the cost of a model that cannot be loaded while its
	// upstream is busy, as a share of its rate. blockedModelRate is added to that
	// rate, in requests per second, so that a model without requests counts too.
	blockedModelCost = 1.0
	blockedModelRate = 0.2
	// prefetchBenefit is the benefit of loading a model that has no requests, in
	// requests per second.
	prefetchBenefit = 0.05
	// idlePrefetchBenefit replaces prefetchBenefit until the first request. It
	// exceeds the cost of a spare replica of a busy model, but not that of the
	// last replica of any model.
	idlePrefetchBenefit = 0.25
	// recentLoadCost is the added cost of unloading a model within minResidence,
	// in requests per second.
	recentLoadCost = 20.0
	// The load shares limit the concurrent loads from the weight store, as
	// multiples of Fleet.StoreLoadLimit: for models without requests, for models that
	// are requested but not loaded on any upstream, and for more replicas of busy
	// models. With more concurrent loads each takes longer, but their total
	// throughput does not fall.
	prefetchLoadShare  = 0.25
	requestedLoadShare = 0.5
	replicaLoadShare   = 0.75
	// idlePrefetchLoadShare replaces prefetchLoadShare until the first request.
	idlePrefetchLoadShare = 1.0
	// runningRequestCost is the cost of each running request that an unload waits
	// for, in requests per second.
	runningRequestCost = 0.3
	// costHorizon is the time over which the cost of unloads counts when it is
	// compared with the delay of a load.
	costHorizon = 4 * time.Second
	// An unload waits for the running requests of its model: unloadBaseDelay plus
	// unloadRequestDelay for each request, up to maxUnloadDelay.
	unloadBaseDelay    = 600 * time.Millisecond
	unloadRequestDelay = 100 * time.Millisecond
	maxUnloadDelay     = 2 * time.Second
	// startedDrainBonus lowers the cost where models are already draining for the
	// load, in requests per second, so that a started drain is completed.
	startedDrainBonus = 10.0
	// otherDrainCost is the added cost of unloading a model that runs requests instead of
	// one that drains already, in requests per second.
	otherDrainCost = 4.0
	// minBusyTime is the least time for which an upstream is assumed to accept no
	// order while it is busy or has a move in this plan.
	minBusyTime = 200 * time.Millisecond
	// busyRounding is the precision of durations in the reasons of skipped loads.
	busyRounding = 10 * time.Millisecond
	// runningPlacementCost is the cost of each request that runs on the upstream,
	// in requests; it breaks ties.
	runningPlacementCost = 0.001
	// sameDataCentreCost is the cost of each replica of the model in the same data
	// centre, in requests.
	sameDataCentreCost = 0.3
)

// planner holds the state of one call of Plan.
type planner struct {
	Fleet
	demand   map[string]Demand // by model, adapters included
	replicas map[string]int    // by model
	// bound counts the waiting requests for a model, adapters included, that may run at one
	// software version only, and replicasWith its replicas there.
	bound, replicasWith map[modelWith]int
	// mayReturn counts the streams that may be taken up again.
	mayReturn map[modelWith]int
	// activeAdapters is the expected number of adapters in use at once, by model.
	activeAdapters  map[string]float64
	planned         map[string]bool // IDs of upstreams that have a planned move
	candidateModels map[string]bool // names of the candidates' models
	// replicasAt is the number of replicas before this plan, by model and data centre.
	replicasAt map[modelAt]int
	// weightsAt is the number of upstreams that have a model loaded or its weights in
	// host memory or on disk, and localWeights of those that have the weights.
	weightsAt, localWeights map[string]int
}

// modelWith is a model at a software version.
type modelWith struct{ model, software string }

// modelAt is a model in a data centre.
type modelAt struct{ model, dataCentre string }

// Plan returns the moves whose benefit exceeds their cost now.
func Plan(f Fleet) []Move {
	moves, _ := PlanWithSkipped(f)
	return moves
}

// PlanWithSkipped is Plan, and also returns the loads that requests for the rest of streams wait
// for and that the plan does not begin.
func PlanWithSkipped(f Fleet) ([]Move, []Skipped) {
	p := &planner{Fleet: f, demand: make(map[string]Demand), replicas: make(map[string]int), activeAdapters: make(map[string]float64), planned: make(map[string]bool), candidateModels: make(map[string]bool)}
	p.bound, p.mayReturn, p.replicasWith = make(map[modelWith]int), make(map[modelWith]int), make(map[modelWith]int)
	for _, d := range f.Demands {
		switch {
		case d.Software != nil:
			p.bound[modelWith{d.Model, *d.Software}] += d.Waiting
			p.mayReturn[modelWith{d.Model, *d.Software}] += d.MayReturn
		case d.Adapter == "":
			p.demand[d.Model] = d
		default:
			p.activeAdapters[d.Model] += 1 - math.Exp(-d.Rate*adapterRequestTime.Seconds())
		}
	}
	p.replicasAt, p.weightsAt, p.localWeights = make(map[modelAt]int), make(map[string]int), make(map[string]int)
	for _, u := range f.Upstreams {
		for _, r := range u.Models {
			if !u.IsLimited {
				p.replicas[r.Model]++
				p.replicasWith[modelWith{r.Model, u.Software}]++
				p.replicasAt[modelAt{r.Model, u.DataCentre}]++
			}
			if !slices.Contains(u.InHostMemory, r.Model) && !slices.Contains(u.OnDisk, r.Model) {
				p.weightsAt[r.Model]++
			}
		}
		for _, m := range u.InHostMemory {
			if !slices.Contains(u.OnDisk, m) {
				p.weightsAt[m]++
				p.localWeights[m]++
			}
		}
		for _, m := range u.OnDisk {
			p.weightsAt[m]++
			p.localWeights[m]++
		}
	}
	moves := p.adapterMoves()
	cands := p.candidates()
	for _, c := range cands {
		p.candidateModels[c.model.Name] = true
	}
	var skipped []Skipped
	begun := make(map[string]bool) // models whose loads for the rest of streams begin
	for _, c := range cands {
		if c.isFirst && begun[c.model.Name] {
			continue // new requests can use the same replica
		}
		m, ok := p.place(c)
		switch {
		case ok:
			moves = append(moves, m)
			// A drain may take seconds, in which new requests need another replica.
			begun[c.model.Name] = c.software != nil && len(m.ModelsToDrain) == 0
		case c.software != nil:
			skipped = append(skipped, Skipped{c.model.Name, *c.software, p.bound[modelWith{c.model.Name, *c.software}], func() []string { return p.obstacles(c) }})
		}
	}
	for i := range moves {
		moves[i].BoundWaiting = p.boundAt(moves[i].Upstream)
	}
	return moves, skipped
}

// candidate is a replica of a model that may be loaded.
type candidate struct {
	model   matcher.Model
	benefit float64 // requests per second
	// delayed is the demand that waits until the load is done, in requests per
	// second; a waiting request counts as one.
	delayed   float64
	loadShare float64 // limit of concurrent store loads, as a multiple of Fleet.StoreLoadLimit
	// isFirst reports that no upstream has the model.
	isFirst bool
	// isPrefetch reports that no request for the model has arrived, while others have.
	isPrefetch bool
	// software, if not nil, is the only software version where the replica helps.
	software *string
	reason   string
}

// benefitFrom returns the benefit of the load from a tier.
func (c candidate) benefitFrom(t Tier) float64 {
	if c.software != nil && t == FromStore {
		return c.benefit * waitingWeight / boundWeight
	}
	return c.benefit
}

// replicasNeeded returns how many replicas a model needs, the most of three
// numbers: by its rate, which prompt processing limits, by its running and waiting
// requests, which the slots limit, and by the adapters that are in use at once,
// which the adapter slots limit.
func (p *planner) replicasNeeded(d Demand) int {
	n := d.Rate / ReplicaRate
	if p.Engine.Slots > 0 {
		n = max(n, float64(d.Running+d.Waiting)/(targetSlotUse*float64(p.Engine.Slots)))
	}
	if p.Engine.AdapterSlots > 0 {
		n = max(n, p.activeAdapters[d.Model]/(targetAdapterUse*float64(p.Engine.AdapterSlots)))
	}
	return int(math.Ceil(n))
}

// candidates returns the replicas whose load has a benefit: first those that the rest of streams
// waits for, then the greatest benefit.
func (p *planner) candidates() []candidate {
	var out []candidate
	share, benefit := prefetchLoadShare, prefetchBenefit
	if p.IsIdle {
		share, benefit = idlePrefetchLoadShare, idlePrefetchBenefit
	}
	for _, m := range p.Engine.Models {
		d := p.demand[m.Name]
		n := p.replicas[m.Name]
		needed := max(p.replicasNeeded(d), 1)
		switch {
		case n == 0 && (d.Waiting > 0 || d.Rate > 0):
			out = append(out, candidate{
				model: m, benefit: d.Rate + waitingWeight*float64(d.Waiting), delayed: d.Rate + float64(d.Waiting), loadShare: requestedLoadShare, isFirst: true,
				reason: fmt.Sprintf("requested but not loaded on any upstream: rate %.2f, waiting %d", d.Rate, d.Waiting),
			})
		case n == 0 && p.localWeights[m.Name] == 0:
			out = append(out, candidate{model: m, benefit: benefit, delayed: benefit, loadShare: share, isFirst: true, isPrefetch: !p.IsIdle, reason: "no replica or local weights on any upstream"})
		case n > 0 && n < needed:
			out = append(out, candidate{
				model: m, benefit: extraReplicaBenefit * d.Rate / float64(n+1), delayed: d.Rate/float64(n+1) + float64(d.Waiting), loadShare: replicaLoadShare,
				reason: fmt.Sprintf("%d of %d replicas for rate %.2f", n, needed, d.Rate),
			})
		}
	}
	out = append(out, p.boundCandidates()...)
	slices.SortFunc(out, func(a, b candidate) int {
		if isBound := a.software != nil; isBound != (b.software != nil) {
			if isBound {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(b.benefit, a.benefit); c != 0 {
			return c
		}
		return cmp.Compare(a.model.Name, b.model.Name)
	})
	return out
}

// boundCandidates returns the replicas that requests wait for that may run at one software
// version only, where no upstream of that version has the model.
func (p *planner) boundCandidates() []candidate {
	var out []candidate
	for _, m := range p.Engine.Models {
		for k, waiting := range p.bound {
			if k.model != m.Name || waiting == 0 || p.replicasWith[k] > 0 {
				continue
			}
			out = append(out, candidate{
				model: m, benefit: boundWeight * float64(waiting), delayed: boundWeight / waitingWeight * float64(waiting), loadShare: requestedLoadShare, software: &k.software,
				reason: fmt.Sprintf("requested for the rest of streams but not loaded at software version %q: waiting %d", k.software, waiting),
			})
		}
	}
	return out
}
