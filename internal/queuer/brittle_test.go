package queuer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// brittlePlay plays requests that come to many instances at once, and later in turn, in virtual
// time. Upstreams run as many requests as they have slots, and turn the others away. Instances
// do not know what the others have in flight.
type brittlePlay struct {
	refusals []time.Time
	served   int
	sent     int
}

func playBrittle(numInstances, numPlain int, isBrittle bool, model func(n int) string) brittlePlay {
	const step, length, runs = 10 * time.Millisecond, 30 * time.Second, 200 * time.Millisecond
	names, cfg := instanceNames(numInstances), config()
	cfg.Services["lm"].Engine.Models["m2"] = matcher.Model{Name: "m2", StoreLoadDuration: storeLoadDuration}
	m1, m2 := registrar.Model{Name: "m1"}, registrar.Model{Name: "m2"}
	engines := []*registrar.Upstream{engine("e1", m1, m2), engine("e2", m1)}
	for _, u := range engines {
		u.Slots = 8
	}
	all := engines
	for n := range numPlain {
		all = append(all, &registrar.Upstream{ID: fmt.Sprint("p", n+1), Service: "plain", DataCentre: "dc1", Slots: 6, StartedAtMs: 1})
	}
	s := snapshot(all...)
	tables := make(map[string]*Table)
	for _, name := range names {
		t := newTable()
		t.SetInstances(name, names)
		if isBrittle {
			t.IsBrittle = func(string, time.Time) bool { return true }
		}
		tables[name] = t
	}
	type run struct {
		table    *Table
		req      Request
		upstream string
		until    time.Time
	}
	var out brittlePlay
	var running []run
	atUpstream := make(map[string]int)
	waiting := make(map[*Table][]Request)
	for k := range int(length / step) {
		now := start.Add(time.Duration(k) * step)
		kept := running[:0]
		for _, r := range running {
			if now.Before(r.until) {
				kept = append(kept, r)
				continue
			}
			atUpstream[r.upstream]--
			r.table.Release(r.req, r.upstream)
			out.served++
		}
		running = kept
		arrivals := 0
		if k == 0 {
			arrivals = 100 // at once
		} else if k%5 == 0 {
			arrivals = 1
		}
		for range arrivals {
			out.sent++
			req := newRequest(1, 0)
			req.ID, req.Model = fmt.Sprint(out.sent), model(out.sent)
			if req.Model == "" {
				req.Service = "plain"
			}
			t := tables[names[(out.sent*7)%numInstances]]
			if home := t.Home(req, s, now); home != "" {
				t, req.IsHandedOn = tables[home], true
			}
			waiting[t] = append(waiting[t], req)
		}
		for _, name := range names {
			t := tables[name]
			left := waiting[t][:0]
			for _, req := range waiting[t] {
				u := t.Grant(req, s, cfg, now)
				if u == nil {
					left = append(left, req)
					continue
				}
				t.RecordPrefill(req, u.ID)
				if atUpstream[u.ID] >= u.Slots {
					out.refusals = append(out.refusals, now)
					t.Shed(req, u, now)
					t.Release(req, u.ID)
					left = append(left, req)
					continue
				}
				t.RecordAccepted(req, u, now)
				atUpstream[u.ID]++
				running = append(running, run{t, req, u.ID, now.Add(runs)})
			}
			waiting[t] = left
		}
	}
	return out
}

// TestBrittleUpstreamsTurnNothingAway plays a rush of requests over all instances. The negative:
// if the instances do not know that the upstreams are brittle, dozens are turned away at once.
func TestBrittleUpstreamsTurnNothingAway(t *testing.T) {
	noModel := func(int) string { return "" }
	for name, tt := range map[string]struct {
		numPlain int
		model    func(int) string
	}{
		"models":                         {1, func(n int) string { return []string{"m1", "m1", "m2"}[n%3] }},
		"plain service":                  {1, noModel},
		"plain service, three upstreams": {3, noModel},
		"plain service, 20 upstreams":    {20, noModel},
	} {
		for _, numInstances := range []int{1, 6, 195} {
			t.Run(fmt.Sprint(name, ", ", numInstances, " instances"), func(t *testing.T) {
				p := playBrittle(numInstances, tt.numPlain, true, tt.model)
				require.Empty(t, p.refusals)
				require.GreaterOrEqual(t, p.served, p.sent-20, "those of the last moments still run")
				if numInstances > 1 && tt.numPlain < 20 { // 100 requests at once are no rush for 20
					require.Greater(t, len(playBrittle(numInstances, tt.numPlain, false, tt.model).refusals), 20)
				}
			})
		}
	}
}

// TestRefusalByABrittleUpstreamStopsRequestsToIt guards against retries that make it fall over.
func TestRefusalByABrittleUpstreamStopsRequestsToIt(t *testing.T) {
	s, cfg, table := snapshot(engine("e1", registrar.Model{Name: "m1"}, registrar.Model{Name: "m2"})), config(), newTable()
	table.IsBrittle = func(string, time.Time) bool { return true }
	req := newRequest(1, 0)
	require.NotNil(t, table.Grant(req, s, cfg, start))
	table.Shed(req, s.ByID["e1"], start)
	table.Release(req, "e1")
	require.Nil(t, table.Grant(req, s, cfg, start.Add(time.Second)))
	require.NotNil(t, table.Grant(req, s, cfg, start.Add(brittlePause)))
}

// TestWaitingRequestsLeaveAnInstanceThatIsNotTheirHome guards against requests that wait at an
// instance which no longer sends them.
func TestWaitingRequestsLeaveAnInstanceThatIsNotTheirHome(t *testing.T) {
	s, cfg := snapshot(engine("e1", registrar.Model{Name: "m1"})), config()
	isBrittle := false
	var others int
	for _, name := range instanceNames(6) {
		table := newTable()
		table.IsBrittle = func(string, time.Time) bool { return isBrittle }
		table.SetInstances(name, instanceNames(6))
		isBrittle = false
		w := table.Wait(newRequest(1, time.Second), start)
		isBrittle = true
		table.Expire(s, cfg, start)
		select {
		case e := <-w.refused:
			require.True(t, e.IsElsewhere)
			others++
		default:
			require.NotNil(t, table.Grant(w.Request, s, cfg, start))
		}
	}
	require.Equal(t, 5, others, "one instance is the home")
}
