package queuer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// brittleFleet plays instances that come and go before upstreams that fall over if they turn away more than
// maxRefusals requests in a second, in virtual time. Instances learn late who is there, and a request whose home has
// ended goes to the next one.
type brittleFleet struct {
	numInstances, numUpstreams     int
	slots, places, maxRefusals     int           // of an upstream; places are for requests that wait there
	work                           time.Duration // mean time of a request
	load                           float64       // as a part of what the upstreams can do
	models                         int           // that each upstream holds, 0 for a plain service
	restartInterval, downTime      time.Duration // of instances, one after the other; 0 for none
	freezes                        bool          // instances stand still rather than end
	viewDelay                      time.Duration // until instances know who is there
	length                         time.Duration
	sharesNothing, hasLooseWindows bool // negatives: no home, or neither windows nor pauses

	rnd       *rand.Rand
	now       time.Time
	instances []*fleetInstance
	upstreams []*fleetUpstream
	views     []fleetView
	nextID    int
	snapshot  *registrar.Snapshot

	sent, served, lost, refused, falls int
}

type fleetInstance struct {
	name      string
	table     *Table
	isUp      bool
	waiting   []Request
	startedAt time.Time
}

type fleetUpstream struct {
	*registrar.Upstream
	runs     []fleetRun
	refusals []time.Time
	downAt   time.Time // zero while it is up
}

type fleetRun struct {
	table *Table
	req   Request
	until time.Time
}

// fleetView is who is there from a time on.
type fleetView struct {
	at    time.Time
	names []string
}

const fleetStep = 5 * time.Millisecond

func (f *brittleFleet) play(seed uint64) {
	f.rnd, f.now = rand.New(rand.NewPCG(seed, 7)), start
	cfg := config()
	for n := range f.numInstances {
		f.instances = append(f.instances, &fleetInstance{name: fmt.Sprintf("i-%03d", n), isUp: true})
	}
	f.views = []fleetView{{f.now, f.upNames()}}
	for _, i := range f.instances {
		f.startTable(i)
	}
	for n := range f.numUpstreams {
		f.upstreams = append(f.upstreams, &fleetUpstream{})
		f.startUpstream(n)
	}
	perStep := f.load * float64(f.numUpstreams*f.slots) * float64(fleetStep) / float64(f.work)
	due := 0.0
	for f.now.Sub(start) < f.length {
		f.now = f.now.Add(fleetStep)
		f.changeInstances()
		f.end()
		for due += perStep * f.rnd.ExpFloat64(); due >= 1; due-- {
			f.arrive()
		}
		for _, i := range f.instances {
			if i.isUp {
				f.grant(i, cfg)
			}
		}
	}
}

func (f *brittleFleet) upNames() (out []string) {
	for _, i := range f.instances {
		if i.isUp {
			out = append(out, i.name)
		}
	}
	return out
}

func (f *brittleFleet) startTable(i *fleetInstance) {
	i.table, i.waiting, i.startedAt = newTable(), nil, f.now
	i.table.IsBrittle = func(string, time.Time) bool { return true }
	i.table.SetInstances(i.name, f.views[len(f.views)-1].names)
}

func (f *brittleFleet) startUpstream(n int) {
	f.nextID++
	u := &registrar.Upstream{ID: fmt.Sprint("u", f.nextID), Service: "plain", DataCentre: "dc1", Slots: f.slots, StartedAtMs: 1}
	for m := range f.models {
		u.Service = "lm"
		u.Models = append(u.Models, registrar.Model{Name: fmt.Sprint("m", (n+m)%f.numUpstreams)})
	}
	f.upstreams[n] = &fleetUpstream{Upstream: u}
	f.register()
}

func (f *brittleFleet) register() {
	var list []*registrar.Upstream
	for _, u := range f.upstreams {
		if u.Upstream != nil {
			list = append(list, u.Upstream)
		}
	}
	f.snapshot = snapshot(list...)
}

// changeInstances ends and starts instances, and updates the member lists of the others.
func (f *brittleFleet) changeInstances() {
	if f.restartInterval > 0 {
		phase := f.now.Sub(start) % f.restartInterval
		i := f.instances[int(f.now.Sub(start)/f.restartInterval)%len(f.instances)]
		isUp := phase < f.restartInterval/2 || phase >= f.restartInterval/2+f.downTime
		if i.isUp != isUp {
			i.isUp = isUp
			f.views = append(f.views, fleetView{f.now.Add(f.viewDelay), f.upNames()})
			if isUp && !f.freezes {
				f.startTable(i)
			}
			if !isUp && !f.freezes {
				f.lost += len(i.waiting)
			}
		}
	}
	for n, i := range f.instances {
		at := f.now.Add(-time.Duration(n%7) * f.viewDelay / 20) // not all at once
		k := len(f.views) - 1
		for k > 0 && at.Before(f.views[k].at) {
			k--
		}
		if i.isUp && !f.views[k].at.Before(i.startedAt) {
			i.table.SetInstances(i.name, f.views[k].names)
		}
		if i.isUp && f.now.Sub(start)%grantInterval == 0 {
			i.table.brittle.expire(f.snapshot, f.now)
		}
	}
}

func (f *brittleFleet) end() {
	for n, u := range f.upstreams {
		if !u.downAt.IsZero() {
			if f.now.Sub(u.downAt) >= 3*time.Second {
				f.startUpstream(n)
			}
			continue
		}
		u.runs = slices.DeleteFunc(u.runs, func(r fleetRun) bool {
			if f.now.Before(r.until) {
				return false
			}
			f.served++
			if f.models == 0 {
				r.table.RecordAccepted(r.req, u.Upstream, f.now)
			}
			r.table.Release(r.req, u.ID)
			return true
		})
	}
}

func (f *brittleFleet) arrive() {
	f.sent++
	req := newRequest(1, 0)
	req.ID, req.Model, req.Service = fmt.Sprint(f.sent), "", "plain"
	if f.models > 0 {
		req.Service, req.Model = "lm", fmt.Sprint("m", f.rnd.IntN(f.numUpstreams))
	}
	req.StartBy = f.now.Add(2 * time.Second)
	var up []*fleetInstance
	for _, i := range f.instances {
		if i.isUp {
			up = append(up, i)
		}
	}
	i := up[f.rnd.IntN(len(up))]
	if f.sharesNothing {
		req.IsHandedOn = true
		i.waiting = append(i.waiting, req)
		return
	}
	homes := i.table.Homes(req, f.snapshot, f.now)
	for n, name := range homes {
		k := slices.IndexFunc(f.instances, func(i *fleetInstance) bool { return i.name == name })
		if h := f.instances[k]; h.isUp || f.freezes {
			req.IsHandedOn = true
			h.waiting = append(h.waiting, req)
			return
		}
		if n == 2 {
			f.refused++
			return
		}
	}
	req.IsHandedOn = true
	i.waiting = append(i.waiting, req)
}

func (f *brittleFleet) grant(i *fleetInstance, cfg *matcher.Config) {
	left := i.waiting[:0]
	for _, req := range i.waiting {
		if f.now.After(req.StartBy) {
			f.refused++
			continue
		}
		if f.hasLooseWindows {
			for _, u := range f.upstreams {
				i.table.setWindow(req, u.Upstream, f.slots, f.now)
			}
			i.table.brittle.pauses = nil
		}
		u := i.table.Grant(req, f.snapshot, cfg, f.now)
		if u == nil {
			left = append(left, req)
			continue
		}
		i.table.RecordPrefill(req, u.ID)
		if !f.send(i, req, u.ID) {
			left = append(left, req)
		}
	}
	i.waiting = left
}

// send sends a request to an upstream, and reports whether it was accepted or lost.
func (f *brittleFleet) send(i *fleetInstance, req Request, id string) bool {
	n := slices.IndexFunc(f.upstreams, func(u *fleetUpstream) bool { return u.ID == id })
	u := f.upstreams[n]
	if !u.downAt.IsZero() {
		i.table.RecordOutcome(u.Upstream, Outcome{Failed: true, IsBroken: true, Began: f.now}, f.now)
		i.table.Release(req, id)
		return false
	}
	if len(u.runs) < f.slots+f.places {
		if f.models > 0 { // its first event comes soon
			i.table.RecordAccepted(req, u.Upstream, f.now)
		}
		ahead := max(0, len(u.runs)-f.slots+1)
		took := time.Duration(float64(f.work) * (0.5 + f.rnd.Float64() + float64(ahead)/float64(f.slots)))
		u.runs = append(u.runs, fleetRun{i.table, req, f.now.Add(took)})
		return true
	}
	u.refusals = append(slices.DeleteFunc(u.refusals, func(at time.Time) bool { return f.now.Sub(at) > time.Second }), f.now)
	i.table.Shed(req, u.Upstream, f.now)
	i.table.Release(req, id)
	if len(u.refusals) > f.maxRefusals {
		f.falls++
		f.lost += len(u.runs)
		for _, r := range u.runs {
			r.table.Release(r.req, id)
		}
		u.runs, u.downAt = nil, f.now
	}
	return false
}

func (f *brittleFleet) mayFall() int { return 2 + f.numUpstreams/10 }

// TestBrittleUpstreamsDoNotFallOverWhileHomesChange guards against upstreams that fall over since several instances
// take themselves for the home: each of a service's homes for all of its upstreams, an instance that cannot reach
// the home, or a home that is back. The price is counted as well.
func TestBrittleUpstreamsDoNotFallOverWhileHomesChange(t *testing.T) {
	plain := brittleFleet{numInstances: 6, numUpstreams: 3, slots: 6, places: 2, maxRefusals: 3, work: 60 * time.Millisecond, load: 0.73, viewDelay: 1500 * time.Millisecond, length: 35 * time.Second}
	engines := brittleFleet{numInstances: 7, numUpstreams: 4, slots: 32, places: 4, maxRefusals: 3, work: time.Second, load: 0.73, models: 2, viewDelay: 1500 * time.Millisecond, length: 60 * time.Second}
	for _, tt := range []struct {
		name      string
		fleet     brittleFleet
		change    func(*brittleFleet)
		minServed float64
	}{
		{"plain, calm", plain, func(*brittleFleet) {}, 0.97},
		{"plain, many upstreams", plain, func(f *brittleFleet) { f.numInstances, f.numUpstreams, f.length = 79, 25, 6*time.Second }, 0.95},
		{"plain, restarts", plain, func(f *brittleFleet) { f.restartInterval, f.downTime = 8*time.Second, 2*time.Second }, 0.9},
		{"plain, restarts in quick succession", plain, func(f *brittleFleet) { f.restartInterval, f.downTime = 3*time.Second, time.Second }, 0.85},
		{"plain, freezes", plain, func(f *brittleFleet) {
			f.freezes, f.restartInterval, f.downTime = true, 8*time.Second, 2*time.Second
		}, 0.75},
		{"plain, many upstreams, restarts", plain, func(f *brittleFleet) {
			f.numInstances, f.numUpstreams, f.restartInterval, f.downTime, f.length = 40, 25, 2*time.Second, 800*time.Millisecond, 10*time.Second
		}, 0.9},
		{"models, calm", engines, func(*brittleFleet) {}, 0.9},
		{"models, restarts", engines, func(f *brittleFleet) { f.restartInterval, f.downTime = 8*time.Second, 2*time.Second }, 0.85},
		{"models, freezes", engines, func(f *brittleFleet) {
			f.freezes, f.restartInterval, f.downTime = true, 8*time.Second, 2*time.Second
		}, 0.75},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := tt.fleet
				tt.change(&f)
				f.play(seed)
				t.Logf("seed %d: %d falls, %d sent, %d served, %d refused, %d lost", seed, f.falls, f.sent, f.served, f.refused, f.lost)
				require.LessOrEqual(t, f.falls, f.mayFall())
				require.GreaterOrEqual(t, float64(f.served), tt.minServed*float64(f.sent))
			}
		})
	}
}

// TestBrittleUpstreamsFallOverWithoutHomesOrWindows is the negative of the test above.
func TestBrittleUpstreamsFallOverWithoutHomesOrWindows(t *testing.T) {
	f := brittleFleet{numInstances: 6, numUpstreams: 3, slots: 6, places: 2, maxRefusals: 3, work: 60 * time.Millisecond, load: 0.73, viewDelay: 1500 * time.Millisecond, length: 10 * time.Second}
	alone := f
	alone.sharesNothing, alone.hasLooseWindows = true, true
	alone.play(0)
	require.Greater(t, alone.falls, alone.mayFall(), "each instance sends to all")
	f.hasLooseWindows, f.freezes, f.restartInterval, f.downTime, f.viewDelay, f.length = true, true, 3*time.Second, time.Second, 300*time.Millisecond, 30*time.Second
	f.play(0)
	require.Greater(t, f.falls, f.mayFall(), "two homes after a pause of the first")
}
