//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// What the servers of this case hold. The sizes of models and adapters are those of the small sites.
const (
	memoryWeights  = 145_700.0 // MB, for weights and adapters combined
	memoryModel    = 72_700.0
	memoryAdapter  = 66.0
	memorySlots    = 8 // adapter-slots
	memoryServers  = 4
	memoryMachines = 6
	memoryRate     = 12.0 // requests a second
	// memoryFew is the number of adapters that are asked for at usual times, and memoryAll that of all.
	memoryFew, memoryAll = 4, 30
	memoryEvents         = 20
	memoryGap            = 100 * time.Millisecond
	storeLoad, diskLoad  = 6 * time.Second, 840 * time.Millisecond
	adapterLoad          = 10 * time.Millisecond
)

const memoryConfig = `{"version":7,"routes":[{"name":"r-short","host":"h.example","path-prefix":"/short/","route-type":"streaming","timeout-ms":12000,"target-latency-ms":400,"priority":0,"service":"llm","max-attempts":1,"sticky":true,"resumable":false,"target-gap-ms":200}],
"services":[{"name":"llm","health-path":"/healthz","max-connections":230,"protocol":"h1","tls":false,"engine":{"slots":32,"kv-capacity":89834,"kv-bytes":327680,"link-mbps":1100000.0,"moves":true,"backups":true,"stride":6,"maximum":12,"host-mb":130000.0,"disk-mb":690000.0,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[
{"name":"m0","weights-mb":72700.0,"load-time-s":6.0,"adapters":30,"adapter-mb":66.0,"warmup-s":0.4,"disk-load-s":0.84},
{"name":"m1","weights-mb":72700.0,"load-time-s":6.0,"adapters":0,"adapter-mb":66.0,"warmup-s":0.4,"disk-load-s":0.84}],"weights-mb":145700.0,"adapter-slots":8,"loads-per-s":4.5}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// memoryServer is a server with a bounded memory. An order beyond it crashes the server.
type memoryServer struct {
	*replica
	onTooMuch func(p *memoryServer, inside int, what string)

	mu      sync.Mutex
	busy    bool
	onDisk  map[string]bool
	pending int // adapters on their way
	inside  int // requests that run
}

// usedLocked returns the memory that weights and adapters take, and the number of adapters.
func (p *memoryServer) used() (mb float64, adapters int) {
	p.replica.mu.Lock()
	defer p.replica.mu.Unlock()
	for _, m := range p.models {
		mb += memoryModel + memoryAdapter*float64(len(m.Adapters))
		adapters += len(m.Adapters)
	}
	return mb, adapters
}

// change changes the list of models.
func (p *memoryServer) change(f func(list []model) []model) {
	p.replica.mu.Lock()
	list := slices.Clone(p.models)
	for i := range list {
		list[i].Adapters = slices.Clone(list[i].Adapters)
	}
	p.models = f(list)
	p.replica.mu.Unlock()
}

func indexOf(list []model, name string) int {
	return slices.IndexFunc(list, func(m model) bool { return m.Name == name })
}

func (p *memoryServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *int
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	w.Header().Set("X-Instance-Id", p.id)
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.mu.Lock()
	number := p.numOrders
	i := indexOf(p.models, o.Model)
	isThere := i >= 0 && (o.Adapter == "" || slices.Contains(p.models[i].Adapters, o.Adapter))
	p.replica.mu.Unlock()
	used, adapters := p.used()
	used += memoryAdapter * float64(p.pending)
	switch {
	case p.busy, o.Precondition != nil && *o.Precondition != number:
		w.WriteHeader(http.StatusConflict)
		return
	case isThere == (o.Operation == "load"):
		return // the order already holds
	case o.Adapter != "" && i < 0:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	more := memoryModel
	if o.Adapter != "" {
		more = memoryAdapter
	}
	p.log.add("server %s: order of %s: %s %s %s; it holds %.0f of %.0f MB and %d adapters", p.id, o.Holder, o.Operation, o.Model, o.Adapter, used, memoryWeights, adapters)
	if o.Operation == "load" && (used+more > memoryWeights || o.Adapter != "" && adapters+p.pending >= memorySlots) {
		p.onTooMuch(p, p.inside, fmt.Sprintf("%s %s: %.0f of %.0f MB, %d adapters", o.Model, o.Adapter, used+more, memoryWeights, adapters+p.pending+1))
		panic(http.ErrAbortHandler)
	}
	p.replica.mu.Lock()
	p.numOrders++
	p.replica.mu.Unlock()
	switch {
	case o.Adapter != "" && o.Operation == "load":
		p.pending++
		time.AfterFunc(adapterLoad, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.pending--
			p.change(func(list []model) []model {
				if i := indexOf(list, o.Model); i >= 0 {
					list[i].Adapters = append(list[i].Adapters, o.Adapter)
				}
				return list
			})
		})
		w.WriteHeader(http.StatusAccepted)
	case o.Adapter != "":
		p.change(func(list []model) []model {
			i := indexOf(list, o.Model)
			list[i].Adapters = slices.DeleteFunc(list[i].Adapters, func(a string) bool { return a == o.Adapter })
			return list
		})
	case o.Operation == "load":
		p.busy = true
		took := storeLoad
		if p.onDisk[o.Model] {
			took = diskLoad
		}
		time.AfterFunc(took, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.busy, p.onDisk[o.Model] = false, true
			p.change(func(list []model) []model { return append(list, model{o.Model, 1, []string{}}) })
		})
		w.WriteHeader(http.StatusAccepted)
	default:
		p.change(func(list []model) []model {
			return slices.DeleteFunc(list, func(m model) bool { return m.Name == o.Model })
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// runMemory: many adapters are asked for at once.
func runMemory(log *recorder) int {
	mode := trouble()
	log.add("TROUBLE=%s", mode)
	s := newStore(log)
	s.put("keyed.op", "config", []byte(memoryConfig))
	var tooMuch, lost, ok, refused, failed atomic.Int32
	var isOver atomic.Bool
	var start func(n int, models ...string)
	start = func(n int, models ...string) {
		p := &memoryServer{replica: &replica{id: "i-" + newID()[:8], service: "llm", zone: zoneOf(n), version: "v1", slots: 32, store: s, log: log, models: []model{}}, onDisk: make(map[string]bool)}
		for _, m := range models {
			p.models = append(p.models, model{m, 1, []string{}})
			p.onDisk[m] = true
		}
		p.replica.onOrder = p.order
		p.onTooMuch = func(p *memoryServer, inside int, what string) {
			if p.hasEnded() {
				return
			}
			tooMuch.Add(1)
			lost.Add(int32(inside))
			log.add("server %s is ORDERED TO LOAD MORE THAN IT HOLDS (%s) and crashes with %d requests in it", p.id, what, inside)
			go func() {
				p.crash()
				time.Sleep(3 * time.Second)
				if !isOver.Load() {
					start(n)
				}
			}()
		}
		p.handler = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			name, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
			p.replica.mu.Lock()
			i := indexOf(p.models, name)
			holds := i >= 0 && (adapter == "" || slices.Contains(p.models[i].Adapters, adapter))
			p.replica.mu.Unlock()
			if !holds {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			p.mu.Lock()
			p.inside++
			p.mu.Unlock()
			defer func() {
				p.mu.Lock()
				p.inside--
				p.mu.Unlock()
			}()
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Server-Stamp", p.stamp(id))
			w.Header().Set("Content-Type", "text/event-stream")
			for e := 1; e <= memoryEvents; e++ {
				select {
				case <-r.Context().Done():
					return
				case <-p.ended:
					panic(http.ErrAbortHandler)
				case <-time.After(memoryGap):
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d of %d\n\n", e, e, memoryEvents)
				_ = http.NewResponseController(w).Flush()
			}
		}
		p.start(loopback(100 + n))
	}
	for n := range memoryServers {
		start(n, "m0", "m1")
	}
	f := newFleet(memoryMachines, s, log)
	defer f.stop()
	f.startAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir := newDirectory(ctx, f)
	transport := newTransport()
	send := func(m string) {
		id, address := newID(), dir.pick(nil)
		cctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
		defer cancel()
		r := newRequest(cctx, http.MethodPost, address, "/short/x", id, strings.Repeat("b", 770))
		r.Header.Set("X-Model", m)
		r.Header.Set("X-Token-Count", "383,60")
		r.Header.Set("X-Prompt-Prefix", "5c1e07a2:55,91bd3f06:37,"+id[:8]+":291")
		r.Header.Set("X-Deadline-Ms", "12000")
		resp, err := transport.RoundTrip(r)
		status, body := 0, ""
		if err == nil {
			status = resp.StatusCode
			body, err = drain(resp.Body)
		}
		switch {
		case err == nil && status == http.StatusOK && strings.Contains(body, fmt.Sprintf("id: %d\n", memoryEvents)):
			ok.Add(1)
		case status == http.StatusServiceUnavailable:
			refused.Add(1)
		default:
			failed.Add(1)
			log.add("client: %s for %s at %s: status %d, %v", id, m, address, status, err)
		}
	}
	var wg sync.WaitGroup
	began := time.Now()
	isBurst := false
	for time.Since(began) < 30*time.Second {
		num := memoryFew
		if at := time.Since(began); mode != "0" && at > 12*time.Second && at < 20*time.Second {
			num = memoryAll
			if !isBurst {
				log.add("adapters that are rarely used are asked for from here on, for 8 s")
			}
			isBurst = true
		}
		m := fmt.Sprintf("m0/a%d", 1+mrand.IntN(num))
		if mrand.IntN(2) == 0 {
			m = []string{"m0", "m1"}[mrand.IntN(2)]
		}
		wg.Go(func() { send(m) })
		time.Sleep(time.Duration(mrand.ExpFloat64() * float64(time.Second) / memoryRate))
	}
	isOver.Store(true)
	wg.Wait()
	log.conclude("%d streams answered whole, %d refused with 503, %d failed; servers were ordered %d times to load more than they hold, and crashed with %d requests in them",
		ok.Load(), refused.Load(), failed.Load(), tooMuch.Load(), lost.Load())
	switch {
	case ok.Load() < 50:
		log.conclude("too few requests were served")
		return exitNotRun
	case tooMuch.Load() > 0:
		log.conclude("LIMIT is broken")
		return exitBroken
	}
	log.conclude("LIMIT holds")
	return exitHeld
}
