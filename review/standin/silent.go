//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const silentConfig = `{"version":%d,"routes":[
{"name":"book","host":"h.example","path-prefix":"/book/","route-type":"non_idempotent","timeout-ms":800,"target-latency-ms":100,"priority":2,"service":%q,"max-attempts":1}],
"services":[{"name":"api-a","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false},{"name":"api-b","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

func init() { cases["silent"] = playSilent }

// playSilent makes the open channels from the instances to the store go silent, four times. Half a second later the
// operator moves a route to the other service. It checks the rule CONFIG.
func playSilent(d *deployment) (broken string) {
	const (
		apply   = 2 * time.Second // config-apply-ms
		stable  = 3 * time.Second // stable-window-ms
		clients = 4               // for each instance
		rounds  = 4
	)
	framedOnly := func(*http.Request) string { return framed }
	serviceOf := make(map[string]string) // by replica
	for k, service := range []string{"api-a", "api-a", "api-b", "api-b"} {
		p := &replica{id: fmt.Sprintf("i-%d", k+1), service: service, store: d.store, rec: d.rec, slots: 6, work: 15 * time.Millisecond, mode: framedOnly}
		p.start(0)
		serviceOf[p.id] = service
	}
	d.store.put("keyed.op", "config", fmt.Appendf(nil, silentConfig, 1, "api-a"))
	d.startInstances(3)
	startedAt := time.Now()
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
					case <-time.After(100 * time.Millisecond):
					}
					q := &request{id: newID(), instance: i.name, path: "/book/a", body: "book " + newID(), limit: 1500 * time.Millisecond, sentAt: time.Now()}
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
	time.Sleep(time.Until(startedAt.Add(8 * time.Second)))
	type change struct {
		silentAt, ackedAt time.Time
		service           string // since then
	}
	var changes []change
	for n := range rounds {
		// edge-1 reads the configuration for the others, about once a second.
		d.store.awaitRead(0)
		time.Sleep(50 * time.Millisecond)
		x := change{silentAt: time.Now(), service: []string{"api-b", "api-a"}[n%2]}
		if d.isTrouble {
			d.rec.add("the open channels to the store go silent")
			for _, p := range d.links {
				p.silence()
			}
		}
		time.Sleep(500 * time.Millisecond)
		d.store.put("keyed.op", "config", fmt.Appendf(nil, silentConfig, 2+n, x.service))
		x.ackedAt = time.Now()
		d.rec.add("version %d is acknowledged: the route leads to %s", 2+n, x.service)
		changes = append(changes, x)
		time.Sleep(8500 * time.Millisecond)
	}
	close(over)
	wg.Wait()

	numLate := 0
	for n, x := range changes {
		end := time.Now()
		if n+1 < len(changes) {
			end = changes[n+1].silentAt
		}
		late, last := 0, make(map[string]time.Duration)
		for _, q := range requests {
			if q.sentAt.Before(x.ackedAt) || q.sentAt.After(end) {
				continue
			}
			for _, run := range d.rec.runsOf(q.id) {
				if serviceOf[run.replica] == x.service {
					continue
				}
				after := q.sentAt.Sub(x.ackedAt)
				last[q.instance] = max(last[q.instance], after)
				if after > apply && q.sentAt.Sub(x.silentAt) > stable {
					late++
					d.rec.add("CONFIG: %s was sent to %s %.3f s after the acknowledgement of version %d, %.3f s after the channels went silent, and ran at %s of %s",
						q.id, q.instance, after.Seconds(), 2+n, q.sentAt.Sub(x.silentAt).Seconds(), run.replica, serviceOf[run.replica])
				}
			}
		}
		d.rec.add("version %d: last request that ran at the old service, by instance: %v after the acknowledgement; %d too late", 2+n, last, late)
		fmt.Println("version", 2+n, "too late:", late, "last after the acknowledgement:", last)
		numLate += late
	}
	if numLate > 0 {
		return fmt.Sprintf("CONFIG: %d requests sent later than config-apply-ms, and when the machine was in touch, ran at the old service", numLate)
	}
	return ""
}
