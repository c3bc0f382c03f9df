//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const unframedConfig = `{"version":1,"routes":[
{"name":"tell","host":"h.example","path-prefix":"/tell/","route-type":"streaming","timeout-ms":12000,"target-latency-ms":400,"target-gap-ms":200,"priority":1,"service":"lm","max-attempts":1,"sticky":true,"resumable":false}],
"services":[{"name":"lm","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":8,"weights-mb":160000,"adapter-slots":8,"loads-per-s":3.7,"models":[
{"name":"m1","weights-mb":72700,"load-time-s":6,"adapters":0,"warmup-s":0.47,"disk-load-s":0.84}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":5000,"idle-timeout-ms":60000}}`

func init() { cases["unframed"] = playUnframed }

// playUnframed lets one answer in four of sound replicas come without a length and end with its channel, while an
// instance is stopped with SIGTERM. It checks the rule LOST around the SIGTERM.
func playUnframed(d *deployment) (broken string) {
	const (
		grace    = 8 * time.Second
		clients  = 4 // for each instance
		timeOfIt = 12 * time.Second
	)
	var mu sync.Mutex
	count := 0
	for k := range 3 {
		p := &replica{
			id: fmt.Sprintf("i-%d", k+1), service: "lm", store: d.store, rec: d.rec, models: []string{"m1"}, numEvents: 8, gap: 60 * time.Millisecond,
			mode: func(*http.Request) string {
				mu.Lock()
				defer mu.Unlock()
				if count++; count%4 == 0 {
					return unframed
				}
				return framed
			},
		}
		p.start(0)
	}
	d.store.put("keyed.op", "config", []byte(unframedConfig))
	d.startInstances(3)
	time.Sleep(2 * time.Second)

	var requests []*request
	stopped := make(chan struct{}) // closed 2 s after the SIGTERM: clients have new addresses by then
	end := time.Now().Add(timeOfIt)
	var wg sync.WaitGroup
	for n, i := range d.instances {
		for range clients {
			wg.Go(func() {
				var c *channel
				for time.Now().Before(end) {
					if n == 0 {
						select {
						case <-stopped:
							return
						default:
						}
					}
					if c == nil {
						if c, _ = dial(i.caller()); c == nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
					}
					q := &request{id: newID(), instance: i.name, path: "/tell/a", model: "m1", body: "tell me " + newID(), limit: 12 * time.Second}
					isKept := c.send(q, d.rec)
					mu.Lock()
					requests = append(requests, q)
					mu.Unlock()
					if !isKept {
						_ = c.Close()
						c = nil
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	var signaledAt time.Time
	if d.isTrouble {
		signaledAt = time.Now()
		d.rec.add("SIGTERM to %s", d.instances[0].name)
		d.instances[0].signal(syscall.SIGTERM)
		go func() {
			select {
			case <-d.instances[0].ended:
			case <-time.After(grace):
				d.instances[0].kill()
			}
			d.rec.add("%s has ended", d.instances[0].name)
		}()
	}
	time.Sleep(2 * time.Second)
	close(stopped)
	wg.Wait()

	var numCut, numLost, numWhole int
	for _, q := range requests {
		runs := d.rec.runsOf(q.id)
		isCut := !q.isWhole && len(runs) > 0 && runs[0].isWhole && q.endedAt.Sub(q.sentAt) < q.limit
		if isCut {
			numCut++
		}
		isPlanned := d.isTrouble && q.instance == d.instances[0].name && q.endedAt.After(signaledAt) && q.endedAt.Before(signaledAt.Add(grace+time.Second))
		switch {
		case isPlanned && isCut:
			numLost++
			d.rec.add("LOST: %s, status %d, %d bytes, sent %.3f s and cut %.3f s after the SIGTERM; replica %s had answered it whole (%s)",
				q.id, q.status, len(q.text), q.sentAt.Sub(signaledAt).Seconds(), q.endedAt.Sub(signaledAt).Seconds(), runs[0].replica, runs[0].mode)
		case isPlanned && q.isWhole && q.status == http.StatusOK:
			numWhole++
		}
	}
	d.rec.add("%d requests; %d channels cut after a whole answer of the replica, %d of them around the SIGTERM; %d whole answers around it", len(requests), numCut, numLost, numWhole)
	fmt.Printf("%d requests, %d cut, %d around the SIGTERM, %d whole around it\n", len(requests), numCut, numLost, numWhole)
	if numLost > 0 {
		return fmt.Sprintf("LOST: %d requests that replicas had answered whole ended without a complete answer around the SIGTERM", numLost)
	}
	return ""
}
