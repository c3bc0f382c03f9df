package queuer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const (
	// minServices is the number of measured service times before any request is refused
	// because of those ahead.
	minServices = 8
	// rateMargin divides the estimated waits. A request that is refused although it could
	// have been served is lost; one that waits for nothing only costs its client the wait.
	rateMargin = 1.25
	// unmeasuredBacklog is how long after the start of a backlog this instance is assumed to
	// get all slots. Later what it got is measured.
	unmeasuredBacklog = time.Second
	// shortBacklog is the wait below which no waiting request is refused because of those
	// ahead: its own time limit ends it as soon.
	shortBacklog = 250 * time.Millisecond
	// burstHorizon is for how long an account that has more requests than it gets slots is
	// assumed to send more at the same rate. Bursts last 6 to 11 s.
	burstHorizon = 3 * time.Second
	// maxWait bounds the estimated waits, which are without limit at a rate near zero.
	maxWait = time.Hour
	// retryShare is the share of an account's grants that the retries may use.
	retryShare = 0.5
	// maxRetryDelay bounds the assigned retry delays, because clients are told no longer
	// ones. Later retries are spread over the second half.
	maxRetryDelay = 8 * time.Second
)

// Admission is what becomes of an arriving request: Upstream is set if it is granted, Waiter
// if it waits, and neither if it is refused.
type Admission struct {
	Upstream *registrar.Upstream
	Choice   Choice // by what the upstream was chosen
	Waiter   *Waiter
	Estimate StartEstimate
}

// Admit grants a request, lets it wait, or refuses it if it cannot start in time.
func (t *Table) Admit(req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) Admission {
	t.useOrder(cfg, now)
	if t.fair != nil {
		return t.admitFair(req, s, cfg, now)
	}
	if u := t.Grant(req, s, cfg, now); u != nil {
		return Admission{Upstream: u, Choice: t.pacing.chosen}
	}
	before := t.numAhead(req)
	e := t.estimateBehind(before, req, s, cfg, now)
	if t.isTooLate(e, before, req, s, cfg, now) {
		return Admission{Estimate: e}
	}
	return Admission{Waiter: t.Wait(req, now), Estimate: e}
}

func (t *Table) admitFair(req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) Admission {
	o := t.fair
	p := o.poolOf(poolKeyOf(req), now)
	p.lastUsed = now
	p.level(req.Priority).arrived.add(1, servedWindow, now)
	o.recordUrgent(req, now)
	if p.waiting == 0 {
		if u := t.Grant(req, s, cfg, now); u != nil {
			o.charge(req, p.cost(req), now.After(req.Objective), u.ID, o.warp(), now)
			return Admission{Upstream: u, Choice: t.pacing.chosen}
		}
	}
	before := t.numAhead(req)
	e := t.estimateBehind(before, req, s, cfg, now)
	w := t.Wait(req, now)
	if p.waiting > 1 {
		// The request must not overtake those that wait, but may have room where they have none.
		t.grantFair(s, cfg, now)
		if u := w.Granted(); u != nil {
			return Admission{Upstream: u, Choice: w.choice}
		}
	}
	if t.isTooLate(e, before, req, s, cfg, now) {
		t.Remove(w)
		return Admission{Estimate: e}
	}
	if wait := p.estimateWait(w, t.rateOf(p, s, now), now); req.isHeld(s) && now.Add(wait).After(req.StartBy) {
		t.Remove(w)
		return Admission{Estimate: p.refuse(w, wait, t.rateOf(p, s, now), now)}
	}
	return Admission{Waiter: w, Estimate: e}
}

// leaveOrder removes a request from the order of the grants.
func (t *Table) leaveOrder(w *Waiter) {
	if t.fair != nil {
		t.fair.remove(w)
	}
}

// RecordService records for how long a request held its slot.
func (t *Table) RecordService(req Request, took time.Duration) {
	if t.fair != nil {
		if p := t.fair.pools[poolKeyOf(req)]; p != nil {
			p.recordService(took)
		}
	}
}

// RecordFirstEvent records the time from the grant of a request to its first event.
func (t *Table) RecordFirstEvent(req Request, after time.Duration) {
	if t.fair != nil {
		if p := t.fair.pools[poolKeyOf(req)]; p != nil {
			p.recordFirstEvent(after)
		}
	}
}

// rateOf returns the rate at which this instance can grant requests of the pool, in tokens a
// second, 0 if it is unknown. It is the larger of the rate of its recent grants and of that at
// which the slots that peers do not use become free.
func (t *Table) rateOf(p *pool, s *registrar.Snapshot, now time.Time) float64 {
	if p.numServices < minServices || p.meanService <= 0 {
		return 0
	}
	isUnmeasured := p.backlogSince.IsZero() || now.Sub(p.backlogSince) < unmeasuredBacklog
	slots, isHeld := 0, false
	for _, u := range s.ByService[p.service] {
		if p.model != "" && !u.Holds(p.model, "") {
			continue
		}
		isHeld = true
		switch {
		case isUnmeasured:
			slots += u.Slots
		default:
			slots += max(0, u.Slots-u.NumPeerAttempts-t.running[u.ID])
		}
	}
	if !isHeld {
		return 0 // the model has to be loaded first
	}
	if !isUnmeasured {
		slots += p.running
	}
	free := float64(slots) / p.meanService.Seconds() * max(p.meanCost, minCost)
	return rateMargin * max(free, p.granted.value(rateWindow, now)/rateWindow.Seconds())
}

// grantRate says how fast requests of one priority are granted, in tokens a second.
type grantRate struct {
	// beside is the rate while higher priorities go on taking what they take now, and alone the one
	// after that.
	beside, alone float64
	until         time.Duration // how long they are assumed to go on
}

// grantRateOf returns the rates of a priority. rate is that of all priorities together.
func (p *pool) grantRateOf(priority int, rate float64, now time.Time) grantRate {
	higher := 0.0
	for other, l := range p.levels {
		if other < priority {
			higher += l.cost.value(rateWindow, now) / rateWindow.Seconds()
		}
	}
	return grantRate{beside: max(rate-higher, rate*lowerShare), alone: rate, until: burstHorizon}
}

// after returns the time until requests of the given cost have been granted.
func (g grantRate) after(cost float64) time.Duration {
	seconds, until := cost/g.beside, g.until.Seconds()
	if seconds > until {
		seconds = until + (cost-until*g.beside)/g.alone
	}
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// estimateWait returns how long an arriving request waits for those of the pool that go before
// it, 0 if it is unknown.
func (p *pool) estimateWait(w *Waiter, rate float64, now time.Time) time.Duration {
	if rate == 0 {
		return 0
	}
	var ahead, inTime, late float64 // of the account
	for _, f := range p.flows {
		if f.priority != w.Request.Priority || f.account != w.Request.Account {
			continue
		}
		inTime += f.inTimeCost
		for _, x := range f.inTime {
			if compareInTime(x, w) >= 0 {
				break
			}
			ahead += x.cost
		}
		for _, x := range f.late {
			if compareLate(x, w) >= 0 {
				break
			}
			late += x.cost
		}
	}
	others := p.costsAhead(w.Request.Priority, w.Request.Account)
	at := p.grantRateOf(w.Request.Priority, rate, now)
	wait := waitBehind(others.of(w), ahead, w.cost, at)
	if p.isPastObjective(w, now.Add(wait)) {
		wait = max(wait, p.lateWait(others, inTime, late, w.cost, at, now))
	}
	return wait
}

// lateWait returns the wait of a request that is past its objective, behind others of its
// account that are in time and late.
func (p *pool) lateWait(others costsAhead, inTime, late, cost float64, at grantRate, now time.Time) time.Duration {
	byShare := waitBehind(others, late/lateShare, cost, at)
	if others.higher > 0 {
		byShare = waitBehind(costsAhead{sharing: others.sharing}, min(inTime+late, late/lateShare), cost, grantRate{beside: at.alone * lowerShare, until: maxWait})
	}
	drained := waitBehind(others, inTime+late, cost, at)
	isBusy := now.Sub(p.backlogSince) >= unmeasuredBacklog && waitBehind(others, inTime, 0, at) > shortBacklog
	if isBusy {
		drained = max(drained, burstHorizon)
	}
	return min(byShare, drained)
}

// costsAhead are the costs of the waiting requests of others than one account.
type costsAhead struct {
	higher float64 // of higher priorities
	// sharing holds those of each other account of the same priority, and urgent the part of
	// the urgent ones.
	sharing, urgent []float64
}

// of returns the costs that go before the request: an urgent one does not wait for those of
// others that have more time.
func (c costsAhead) of(w *Waiter) costsAhead {
	if w.isUrgent() {
		c.sharing = c.urgent
	}
	return c
}

// costsAhead counts only requests that can still meet their objective: the others may be gone
// before their turn.
func (p *pool) costsAhead(priority int, account string) costsAhead {
	var out costsAhead
	var accounts []string
	for _, f := range p.flows {
		switch {
		case f.priority < priority:
			out.higher += f.inTimeCost
		case f.priority == priority && f.account != account:
			i := slices.Index(accounts, f.account)
			if i < 0 {
				i = len(accounts)
				accounts, out.sharing = append(accounts, f.account), append(out.sharing, 0)
				out.urgent = append(out.urgent, 0)
			}
			out.sharing[i] += f.inTimeCost
			out.urgent[i] += f.urgentCost
		}
	}
	return out
}

// waitBehind returns the wait of a request behind some cost of its own account. Each other
// account gets as much as this one meanwhile.
func waitBehind(others costsAhead, own, cost float64, at grantRate) time.Duration {
	ahead := others.higher + own
	for _, c := range others.sharing {
		ahead += min(c, own+cost)
	}
	return at.after(ahead)
}

// expireBusy refuses the waiting requests that cannot start in time because of those ahead:
// the latest of the accounts that wait for more than their share. Those of an account come in
// the order of their grants, and a refused one no longer counts for the next.
func (t *Table) expireBusy(s *registrar.Snapshot, now time.Time) {
	isAny := false
	for _, p := range t.fair.pools {
		if p.waiting == 0 {
			continue
		}
		rate := t.rateOf(p, s, now)
		total := 0.0
		for _, f := range p.flows {
			total += f.inTimeCost + f.lateCost
		}
		if rate == 0 || total/rate < shortBacklog.Seconds() {
			continue
		}
		for _, w := range p.overdue(rate, s, now) {
			t.fair.remove(w)
			isAny = true
		}
	}
	if isAny {
		t.waiting = slices.DeleteFunc(t.waiting, func(w *Waiter) bool { return w.flow == nil })
	}
	t.fair.dropEnded(s, now)
}

// overdue refuses the requests of the pool that cannot start in time and returns them.
func (p *pool) overdue(rate float64, s *registrar.Snapshot, now time.Time) []*Waiter {
	byAccount := make(map[accountKey][]*Waiter)
	var order []accountKey // of the first requests, so that the result is repeatable
	for _, f := range p.flows {
		f.moveLate(now)
		k := accountKey{f.account, f.priority}
		if byAccount[k] == nil {
			order = append(order, k)
		}
		byAccount[k] = append(append(byAccount[k], f.inTime...), f.late...)
	}
	var out []*Waiter
	for _, k := range order {
		list := byAccount[k]
		slices.SortFunc(list, compareGrants)
		others := p.costsAhead(k.priority, k.account)
		own, late := 0.0, 0.0
		at := p.grantRateOf(k.priority, rate, now)
		for _, w := range list {
			if !w.Request.isHeld(s) {
				continue
			}
			wait := waitBehind(others.of(w), own, w.cost, at)
			if w.isLate {
				wait = p.lateWait(others, own, late, w.cost, at, now)
			}
			if now.Add(wait).After(w.Request.StartBy) {
				w.refused <- p.refuse(w, wait, rate, now)
				out = append(out, w)
				continue
			}
			if w.isLate {
				late += w.cost
			} else {
				own += w.cost
			}
		}
	}
	return out
}

// compareGrants orders the requests of one account and priority by their grants.
func compareGrants(a, b *Waiter) int {
	switch {
	case a.isLate != b.isLate && b.isLate:
		return -1
	case a.isLate != b.isLate:
		return 1
	case a.isLate:
		return compareLate(a, b)
	}
	return compareInTime(a, b)
}

// refuse returns the refusal of a request that would wait too long, with the next retry time
// of its account: not before there is room for it, and one after the other.
func (p *pool) refuse(w *Waiter, wait time.Duration, rate float64, now time.Time) StartEstimate {
	k := accountKey{w.Request.Account, w.Request.Priority}
	first := now.Add(max(wait, minRetryDelay))
	next := p.nextRetry[k]
	if next.Before(first) {
		next = first
	}
	out := StartEstimate{Delay: wait, IsBusy: true, NumWaiting: p.waiting}
	if next.Sub(now) > maxRetryDelay/2 {
		out.RetryAfter = verdict.JitteredRetryDelay(w.Request.ID, maxRetryDelay/2)
		return out
	}
	if p.nextRetry == nil {
		p.nextRetry = make(map[accountKey]time.Time)
	}
	accounts := make(map[string]bool)
	for _, f := range p.flows {
		accounts[f.account] = true
	}
	gap := minRetryDelay
	if rate > 0 {
		gap = time.Duration(w.cost * float64(max(1, len(accounts))) / rate / retryShare * float64(time.Second))
	}
	p.nextRetry[k] = next.Add(gap)
	out.RetryAfter = next.Sub(now)
	return out
}

// withRetry assigns a retry time to a request that waited until it could no longer start.
func (t *Table) withRetry(e StartEstimate, w *Waiter, s *registrar.Snapshot, now time.Time) StartEstimate {
	if t.fair == nil || e.NeedsLoad || now.Before(w.Request.StartBy) {
		return e
	}
	p := t.fair.poolOf(poolKeyOf(w.Request), now)
	return p.refuse(w, 0, t.rateOf(p, s, now), now)
}
