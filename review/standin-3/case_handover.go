//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runHandover: engines are brittle and asked for more than they have room for, while single processes are killed.
func runHandover(log *recorder) int {
	const (
		machines   = 7
		numServers = 4
		slots      = 32
		waiting    = 4    // requests that a brittle server lets wait
		maxRefused = 3    // Server-Brittle
		rate       = 60.0 // for each model that is in demand
		numKills   = 10
		downFor    = 2 * time.Second
		stable     = 3 * time.Second // stable-window-ms
		numEvents  = 10
	)
	var startedAt atomic.Int64 // when a killed machine last came back, Unix milliseconds
	mode := trouble()
	log.add("TROUBLE=%s", mode)
	var models []string
	for n := range 2 * numServers {
		models = append(models, fmt.Sprintf(`{"name":"m%d","weights-mb":72700.0,"load-time-s":6.0,"adapters":0,"adapter-mb":40.0,"warmup-s":0.4,"disk-load-s":0.84}`, n))
	}
	cfg := `{"version":7,"routes":[{"name":"r-short","host":"h.example","path-prefix":"/short/","route-type":"streaming","timeout-ms":4000,"target-latency-ms":300,"priority":0,"service":"llm","max-attempts":1,"sticky":true,"resumable":false,"target-gap-ms":200}],
"services":[{"name":"llm","health-path":"/healthz","max-connections":230,"protocol":"h1","tls":false,"engine":{"slots":32,"kv-capacity":89834,"kv-bytes":327680,"link-mbps":1100000.0,"moves":true,"backups":true,"stride":6,"maximum":12,"host-mb":130000.0,"disk-mb":690000.0,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[` + strings.Join(models, ",") + `],"weights-mb":150000.0,"adapter-slots":8,"loads-per-s":4.5}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
	s := newStore(log)
	s.put("keyed.op", "config", []byte(cfg))
	var brittleAt atomic.Int64 // Unix milliseconds, 0 for never
	var falls, lost, runs atomic.Int32
	var isOver atomic.Bool
	var start func(n int)
	start = func(n int) {
		p := &replica{
			id: "i-" + newID()[:8], service: "llm", zone: zoneOf(n), version: "v1", slots: slots, store: s, log: log,
			models: []model{{fmt.Sprintf("m%d", 2*n), 1, []string{}}, {fmt.Sprintf("m%d", 2*n+1), 1, []string{}}},
		}
		b := &brittleServer{replica: p}
		p.handler = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			at := brittleAt.Load()
			if at != 0 {
				w.Header().Set("Server-Brittle", strconv.Itoa(maxRefused))
			}
			room := slots + 96
			isFragile := at != 0 && time.Now().UnixMilli() >= at+3000
			if isFragile {
				room = slots + waiting
			}
			b.mu.Lock()
			if b.inside >= room {
				now := time.Now()
				for len(b.refusals) > 0 && now.Sub(b.refusals[0]) > time.Second {
					b.refusals = b.refusals[1:]
				}
				b.refusals = append(b.refusals, now)
				count, inside := len(b.refusals), b.inside
				hasFallen := isFragile && count > maxRefused && !p.hasEnded()
				log.add("server %s turns %s for %s away, %d are in it, %d turned away within a second", p.id, id, r.Header.Get("X-Model"), inside, count)
				if hasFallen {
					p.crash()
				}
				b.mu.Unlock()
				if hasFallen {
					lost.Add(int32(inside))
					if sinceStart := time.Since(time.UnixMilli(startedAt.Load())); sinceStart < stable {
						log.add("server %s falls over with %d requests in it, not counted: a machine came back %v ago", p.id, inside, sinceStart)
					} else {
						falls.Add(1)
						log.add("server %s FALLS OVER with %d requests in it", p.id, inside)
					}
					time.AfterFunc(3*time.Second, func() {
						if !isOver.Load() {
							start(n)
						}
					})
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			b.inside++
			b.mu.Unlock()
			defer func() {
				b.mu.Lock()
				b.inside--
				b.mu.Unlock()
			}()
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			w.Header().Set("X-Server-Stamp", p.stamp(id))
			w.Header().Set("Content-Type", "text/event-stream")
			for e := 1; e <= numEvents; e++ {
				select {
				case <-r.Context().Done():
					return
				case <-p.ended:
					panic(http.ErrAbortHandler)
				case <-time.After(100 * time.Millisecond):
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d of %d\n\n", e, e, numEvents)
				_ = http.NewResponseController(w).Flush()
			}
		}
		p.start(loopback(100 + n))
	}
	for n := range numServers {
		start(n)
	}
	f := newFleet(machines, s, log)
	defer f.stop()
	f.startAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir := newDirectory(ctx, f)
	began := time.Now()
	at := func(t float64) { time.Sleep(time.Until(began.Add(time.Duration(t * float64(time.Second))))) }
	transport := newTransport()
	var wg sync.WaitGroup
	var ok, refused, failed atomic.Int32
	send := func(m string) {
		id, address := newID(), dir.pick(nil)
		cctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		r := newRequest(cctx, http.MethodPost, address, "/short/x", id, strings.Repeat("b", 770))
		r.Header.Set("X-Model", m)
		r.Header.Set("X-Token-Count", "383,60")
		r.Header.Set("X-Prompt-Prefix", "5c1e07a2:55,91bd3f06:37,"+id[:8]+":291")
		r.Header.Set("X-Deadline-Ms", "4000")
		resp, err := transport.RoundTrip(r)
		status, body := 0, ""
		if err == nil {
			status = resp.StatusCode
			body, err = drain(resp.Body)
		}
		switch {
		case err == nil && status == http.StatusOK && strings.Contains(body, fmt.Sprintf("id: %d\n", numEvents)):
			ok.Add(1)
		case status == http.StatusServiceUnavailable:
			refused.Add(1)
		default:
			failed.Add(1)
			log.add("client: %s for %s at %s: status %d, %v", id, m, address, status, err)
		}
	}
	for n := range numServers {
		go func() {
			for !isOver.Load() {
				wg.Go(func() { send(fmt.Sprintf("m%d", 2*n)) })
				time.Sleep(time.Duration(mrand.ExpFloat64() * float64(time.Second) / rate))
			}
		}()
	}
	at(5)
	brittleAt.Store(time.Now().UnixMilli())
	log.add("the servers are brittle from here on, and say so")
	at(10)
	for n := range numKills {
		if mode != "0" {
			i := f.instances[n%machines]
			i.kill()
			time.Sleep(downFor)
			startedAt.Store(time.Now().UnixMilli())
			i.start()
		}
		at(10 + 8*float64(n+1))
	}
	isOver.Store(true)
	wg.Wait()
	allowed := 2 + 0.1*float64(numServers)
	log.conclude("%d requests run, %d answered, %d refused with 503, %d failed; the servers have fallen over %d times (the rule allows %.1f), with %d requests in them",
		runs.Load(), ok.Load(), refused.Load(), failed.Load(), falls.Load(), allowed, lost.Load())
	switch {
	case int(ok.Load()) < 200:
		log.conclude("too few requests were served")
		return exitNotRun
	case float64(falls.Load()) > allowed:
		log.conclude("LIMIT is broken")
		return exitBroken
	}
	log.conclude("LIMIT holds")
	return exitHeld
}
