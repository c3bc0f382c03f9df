//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const popularConfig = `{"version":1,"routes":[
{"name":"status","host":"h.example","path-prefix":"/status/","route-type":"idempotent","timeout-ms":800,"target-latency-ms":300,"priority":2,"service":"api","max-attempts":2}],
"services":[{"name":"api","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

func init() { cases["popular"] = playPopular }

// playPopular lets all clients read the same page of a service, whose replicas share a rack. The rack loses power
// for two seconds. Later comes a final fault: all instances are killed. It checks the rule RECOVER.
func playPopular(d *deployment) (broken string) {
	const (
		clients  = 6 // for each instance
		downTime = 2 * time.Second
		recovery = 12 * time.Second // recovery-s
	)
	framedOnly := func(*http.Request) string { return framed }
	newReplica := func(id, address string) *replica {
		return &replica{id: id, service: "api", address: address, store: d.store, rec: d.rec, slots: 6, work: 100 * time.Millisecond, mode: framedOnly}
	}
	var replicas []*replica
	for k := range 3 {
		p := newReplica(fmt.Sprintf("i-%d", k+1), "")
		p.start(0)
		replicas = append(replicas, p)
	}
	d.store.put("keyed.op", "config", []byte(popularConfig))
	d.startInstances(3)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var requests []*request
	over := make(chan struct{})
	var wg sync.WaitGroup
	for _, i := range d.instances {
		for range clients {
			wg.Go(func() {
				var c *channel
				for {
					select {
					case <-over:
						return
					case <-time.After(rand.N(180 * time.Millisecond)):
					}
					q := &request{id: newID(), instance: i.name, path: "/status/plots", limit: 1500 * time.Millisecond, sentAt: time.Now()}
					if c == nil {
						c, q.err = dial(i.caller())
					}
					isKept := false
					if c != nil {
						isKept = c.send(q, d.rec)
					}
					mu.Lock()
					requests = append(requests, q)
					mu.Unlock()
					if c != nil && !isKept {
						_ = c.Close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(12 * time.Second)
	if d.isTrouble {
		d.rec.add("the rack of i-1, i-2 and i-3 loses power")
		for _, p := range replicas {
			p.crash()
		}
		go func() { // the store removes an entry after three heartbeat intervals of silence
			time.Sleep(3 * heartbeat)
			for _, p := range replicas {
				d.store.put("keyed.servers", p.id, nil)
			}
		}()
		time.Sleep(downTime)
		for k, p := range replicas {
			newReplica(fmt.Sprintf("i-%d", k+4), p.address).start(0)
		}
		d.rec.add("i-4, i-5 and i-6 are there in their place")
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(8 * time.Second)
	finalAt := time.Now()
	if d.isTrouble {
		d.rec.add("final fault: all instances are killed")
		for _, i := range d.instances {
			i.signal(syscall.SIGKILL)
		}
		time.Sleep(1600 * time.Millisecond)
		for _, i := range d.instances {
			<-i.ended
			i.start()
		}
	}
	for _, i := range d.instances {
		d.awaitReady(i, 20*time.Second)
	}
	backAt := time.Now()
	d.rec.add("all instances are ready")
	time.Sleep(recovery + 10*time.Second)
	close(over)
	wg.Wait()

	share := func(isCounted func(*request) bool) (served, all int) {
		for _, q := range requests {
			if isCounted(q) {
				all++
				if q.status == http.StatusOK && q.isWhole {
					served++
				}
			}
		}
		return served, all
	}
	before, allBefore := share(func(q *request) bool { return q.sentAt.Before(finalAt) })
	after, allAfter := share(func(q *request) bool { return q.sentAt.After(backAt.Add(recovery)) })
	statuses := make(map[int]int)
	for _, q := range requests {
		if q.sentAt.After(backAt.Add(recovery)) {
			statuses[q.status]++
		}
	}
	text := fmt.Sprintf("served before the final fault: %d of %d; later than recovery-s after the instances were back: %d of %d, by status %v", before, allBefore, after, allAfter, statuses)
	d.rec.add("%s", text)
	fmt.Println(text)
	if 4*after < allAfter && 4*before >= allBefore {
		return "RECOVER: " + text
	}
	return ""
}
