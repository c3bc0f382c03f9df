//go:build review

package main

import (
	"context"
	"io"
	mrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const brittleConfig = `{"version":7,"routes":[{"name":"r-book","host":"h.example","path-prefix":"/book/","route-type":"non_idempotent","timeout-ms":1500,"target-latency-ms":100,"priority":2,"service":"account","max-attempts":1}],
"services":[{"name":"account","health-path":"/healthz","max-connections":100,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// brittleServer is a server that falls over if it has to turn away too many requests in a second.
type brittleServer struct {
	*replica
	mu       sync.Mutex
	inside   int
	refusals []time.Time
}

// runBrittle: the servers of a service are brittle. Nothing else happens.
func runBrittle(log *recorder) int {
	const (
		machines   = 6
		numServers = 3
		slots      = 6
		waiting    = 2 // requests that a brittle server lets wait
		maxRefused = 3 // Server-Brittle
		work       = 60 * time.Millisecond
		rate       = 220.0 // 0.73 of what the servers can do
	)
	mode := trouble()
	log.add("TROUBLE=%s", mode)
	s := newStore(log)
	s.put("keyed.op", "config", []byte(brittleConfig))
	var brittleAt atomic.Int64 // Unix milliseconds, 0 for never
	var falls, lost, runs atomic.Int32
	var isOver atomic.Bool
	var start func(ip, zone string)
	start = func(ip, zone string) {
		p := &replica{id: "i-" + newID()[:8], service: "account", zone: zone, version: "v1", slots: slots, store: s, log: log}
		b := &brittleServer{replica: p}
		p.handler = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			at := brittleAt.Load()
			if at != 0 {
				w.Header().Set("Server-Brittle", strconv.Itoa(maxRefused))
			}
			room := slots + 24
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
				n := len(b.refusals)
				inside := b.inside
				hasFallen := isFragile && n > maxRefused && !p.hasEnded()
				log.add("server %s turns %s away, %d are in it, %d turned away within a second", p.id, id, inside, n)
				if hasFallen {
					p.crash()
				}
				b.mu.Unlock()
				if hasFallen {
					falls.Add(1)
					lost.Add(int32(inside))
					log.add("server %s FALLS OVER with %d requests in it", p.id, inside)
					time.AfterFunc(3*time.Second, func() {
						if !isOver.Load() {
							start(ip, zone)
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
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			time.Sleep(time.Duration(float64(work) * (0.5 + mrand.Float64())))
			b.mu.Lock()
			b.inside--
			b.mu.Unlock()
			if p.hasEnded() {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("X-Server-Stamp", p.stamp(id))
			_, _ = io.WriteString(w, strings.Repeat("x", 800))
		}
		p.start(ip)
	}
	for n := range numServers {
		start(loopback(100+n), zoneOf(n))
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
	go func() {
		for !isOver.Load() {
			wg.Go(func() {
				id, address := newID(), dir.pick(nil)
				cctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				defer cancel()
				r := newRequest(cctx, http.MethodPost, address, "/book/x", id, strings.Repeat("b", 600))
				r.Header.Set("X-Deadline-Ms", "1500")
				resp, err := transport.RoundTrip(r)
				status := 0
				if err == nil {
					_, err = drain(resp.Body)
					status = resp.StatusCode
				}
				switch {
				case err == nil && status == http.StatusOK:
					ok.Add(1)
				case status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
					log.add("client: %s at %s: status %d, %v", id, address, status, err)
				}
			})
			time.Sleep(time.Duration(mrand.ExpFloat64() * float64(time.Second) / rate))
		}
	}()
	at(5)
	if mode != "0" {
		brittleAt.Store(time.Now().UnixMilli())
		log.add("the servers are brittle from here on, and say so")
	}
	at(40)
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
