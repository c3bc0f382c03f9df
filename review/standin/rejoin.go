//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"sync"
	"syscall"
	"time"
)

const rejoinConfig = `{"version":1,"routes":[
{"name":"digest","host":"h.example","path-prefix":"/tell/","route-type":"streaming","timeout-ms":25000,"target-latency-ms":2500,"target-gap-ms":200,"priority":1,"service":"lm","max-attempts":2,"sticky":true,"resumable":true}],
"services":[{"name":"lm","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"weights-mb":160000,"adapter-slots":8,"loads-per-s":3.7,"models":[
{"name":"m1","weights-mb":72700,"load-time-s":6,"adapters":0,"warmup-s":0.47,"disk-load-s":0.84}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

var eventID = regexp.MustCompile(`(?m)^id: ([0-9]+)$`)

func init() { cases["rejoin"] = playRejoin }

// playRejoin lets streams begin while the store is down and replicas of two software versions serve. Then all
// instances are killed, and clients take their streams up again when the instances are in touch. It checks the
// rule LOST. Without the disruption the clients leave their channels and take their streams up in the same way.
func playRejoin(d *deployment) (broken string) {
	const (
		numStreams = 30
		downTime   = 8 * time.Second // of the store
		stable     = 3 * time.Second // stable-window-ms
		limit      = 25 * time.Second
	)
	framedOnly := func(*http.Request) string { return framed }
	for k, version := range []string{"v1", "v1", "v2", "v2"} {
		p := &replica{
			id: fmt.Sprintf("i-%d", k+1), service: "lm", store: d.store, rec: d.rec, software: version, models: []string{"m1"}, slots: 64,
			numEvents: 80, gap: 150 * time.Millisecond, mode: framedOnly,
		}
		p.start(0)
	}
	d.store.put("keyed.op", "config", []byte(rejoinConfig))
	d.startInstances(3)
	time.Sleep(4 * time.Second)

	// Streams begin for three seconds from half a second after the store has gone down.
	if d.isTrouble {
		d.rec.add("the store goes down")
		d.store.setDown(true)
	}
	storeDownAt := time.Now()
	leaveAt := storeDownAt.Add(3500 * time.Millisecond)
	var mu sync.Mutex
	var begun []*request
	var wg sync.WaitGroup
	for n := range numStreams {
		wg.Go(func() {
			time.Sleep(time.Until(storeDownAt.Add(500*time.Millisecond + time.Duration(n)*2500*time.Millisecond/numStreams)))
			i := d.instances[n%len(d.instances)]
			c, err := dial(i.caller())
			if err != nil {
				return
			}
			defer c.Close()
			q := &request{id: newID(), instance: i.name, path: "/tell/a", model: "m1", body: "digest " + newID(), limit: limit}
			if !d.isTrouble {
				time.AfterFunc(time.Until(leaveAt), func() { _ = c.Close() })
			}
			c.send(q, d.rec)
			mu.Lock()
			begun = append(begun, q)
			mu.Unlock()
		})
	}
	time.Sleep(time.Until(leaveAt))
	if d.isTrouble {
		d.rec.add("all instances are killed")
		for _, i := range d.instances {
			i.signal(syscall.SIGKILL)
		}
		time.Sleep(1600 * time.Millisecond)
		for _, i := range d.instances {
			<-i.ended
			i.start()
		}
		time.Sleep(time.Until(storeDownAt.Add(downTime)))
		d.store.setDown(false)
		d.rec.add("the store is back")
	}
	wg.Wait()
	for _, i := range d.instances {
		d.awaitReady(i, 20*time.Second)
	}
	time.Sleep(time.Until(storeDownAt.Add(downTime + stable + 500*time.Millisecond)))
	d.rec.add("the instances are in touch")

	// Each client takes its stream up once. Others begin new ones.
	var resumed, fresh []*request
	for n, q := range begun {
		ids := eventID.FindAllStringSubmatch(q.text, -1)
		if len(ids) > 0 {
			resumed = append(resumed, &request{
				id: newID(), path: q.path, model: q.model, body: q.body, limit: limit - time.Since(q.sentAt),
				header: http.Header{"Last-Event-Id": {ids[len(ids)-1][1]}, "Resumes": {q.id}},
			})
		}
		if n%2 == 0 {
			fresh = append(fresh, &request{id: newID(), path: q.path, model: q.model, body: "digest " + newID(), limit: limit})
		}
	}
	for n, q := range append(append([]*request(nil), resumed...), fresh...) {
		wg.Go(func() {
			time.Sleep(rand.N(time.Second))
			i := d.instances[(n+1)%len(d.instances)]
			q.instance = i.name
			c, err := dial(i.caller())
			if err != nil {
				q.err = err
				return
			}
			defer c.Close()
			time.AfterFunc(4*time.Second, func() { _ = c.Close() }) // long enough to see whether it goes on
			c.send(q, d.rec)
		})
	}
	wg.Wait()
	count := func(list []*request) (n int) {
		for _, q := range list {
			if q.status == http.StatusOK && eventID.MatchString(q.text) {
				n++
			}
		}
		return n
	}
	wentOn, began := count(resumed), count(fresh)
	text := fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new ones began", wentOn, len(resumed), began, len(fresh))
	d.rec.add("%s", text)
	fmt.Println(text)
	if len(resumed) >= 12 && 2*wentOn*len(fresh) < began*len(resumed) {
		return "LOST: " + text
	}
	return ""
}
