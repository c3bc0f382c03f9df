//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const originsConfig = `{"version":7,"routes":[{"name":"r-brief","host":"h.example","path-prefix":"/brief/","route-type":"streaming","timeout-ms":20000,"target-latency-ms":2500,"priority":1,"service":"llm","max-attempts":2,"sticky":true,"resumable":true,"target-gap-ms":200}],
"services":[{"name":"llm","health-path":"/healthz","max-connections":230,"protocol":"h1","tls":false,"engine":{"slots":32,"kv-capacity":89834,"kv-bytes":327680,"link-mbps":1100000.0,"moves":true,"backups":true,"stride":6,"maximum":12,"host-mb":130000.0,"disk-mb":690000.0,"pin-ms":4000.0,"hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m1","weights-mb":34300.0,"load-time-s":6.0,"adapters":0,"adapter-mb":40.0,"warmup-s":0.28,"disk-load-s":0.4}],"weights-mb":200000.0,"adapter-slots":8,"loads-per-s":4.5}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

const (
	originsMachines    = 6
	originsOld         = 4  // servers of version v1
	originsNew         = 16 // servers of version v2
	originsRate        = 85
	originsEvents      = 45
	originsGap         = 150 * time.Millisecond
	originsTimeLimit   = 20 * time.Second
	originsMaxTries    = 6
	originsPause       = 700 * time.Millisecond // between the tries of a client
	originsLossShare   = 0.35
	originsLossDelay   = 6 * time.Second
	originsLossFor     = 4500 * time.Millisecond
	originsRestartTime = time.Second
)

// streamResult is what a client got of one stream.
type streamResult struct {
	tries    int
	versions []string // of the servers that the events came from, without repeats
	isWhole  bool
	text     string
}

// runOrigins: replicas of two software versions serve side by side. The store loses answers to writes, and
// carries these writes out late, while the process that leads is killed. Later all processes are killed.
func runOrigins(log *recorder) int {
	mode := trouble()
	log.add("TROUBLE=%s", mode)
	s := newStore(log)
	s.logged = []string{"keyed.origins"}
	s.put("keyed.op", "config", []byte(originsConfig))
	var servers []*replica
	startServers := func(version string, n int) {
		for range n {
			p := &replica{id: "i-" + newID()[:8], service: "llm", zone: zoneOf(len(servers)), version: version, slots: 32, store: s, log: log, models: []model{{"m1", 1, []string{}}}}
			p.handler = func(w http.ResponseWriter, r *http.Request) { p.stream(w, r, originsEvents, originsGap) }
			p.start(loopback(100 + len(servers)))
			servers = append(servers, p)
		}
	}
	startServers("v1", originsOld)
	f := newFleet(originsMachines, s, log)
	defer f.stop()
	f.startAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir := newDirectory(ctx, f)
	began := time.Now()
	at := func(t float64) { time.Sleep(time.Until(began.Add(time.Duration(t * float64(time.Second))))) }

	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []streamResult
	var isOver atomic.Bool
	go func() {
		for n := 0; !isOver.Load(); n++ {
			wg.Go(func() {
				res := takeStream(dir, log)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
			})
			time.Sleep(time.Duration(mrand.ExpFloat64() * float64(time.Second) / originsRate))
		}
	}()

	at(5)
	log.add("servers of a second version come beside the others")
	startServers("v2", originsNew)
	at(10.5)
	if mode == "1" {
		log.add("the store loses answers from here on: a share of %v of the writes, carried out %v later", originsLossShare, originsLossDelay)
		s.mu.Lock()
		s.loseAnswer = func(string) (time.Duration, bool) { return originsLossDelay, mrand.Float64() < originsLossShare }
		s.mu.Unlock()
		time.AfterFunc(originsLossFor, func() {
			s.mu.Lock()
			s.loseAnswer = nil
			s.mu.Unlock()
			log.add("the store loses no more answers")
		})
	}
	at(15)
	if mode != "0" {
		leader := f.leader()
		leader.kill()
		time.Sleep(originsRestartTime)
		leader.start()
	}
	at(21.3)
	if mode != "0" {
		log.add("all processes are killed")
		for _, i := range f.instances {
			i.kill()
		}
		time.Sleep(originsRestartTime)
		for _, i := range f.instances {
			i.start()
		}
	}
	at(24.5)
	isOver.Store(true)
	wg.Wait()

	numMixed, numResumed, numWhole := 0, 0, 0
	for _, r := range results {
		if len(r.versions) > 1 {
			numMixed++
			log.add("MIXED VERSIONS: %s", r.text)
		}
		if r.tries > 1 {
			numResumed++
		}
		if r.isWhole {
			numWhole++
		}
	}
	s.mu.Lock()
	log.add("store: %d writes, %d answers lost", s.numWrites, s.numLost)
	s.mu.Unlock()
	log.conclude("%d streams, %d of more than one try, %d whole; %d hold events from servers of two software versions (the rule allows 2)", len(results), numResumed, numWhole, numMixed)
	switch {
	case len(results) < 200 || numWhole < len(results)/4:
		log.conclude("too few streams were served")
		return exitNotRun
	case numMixed > 2:
		log.conclude("ORDER is broken")
		return exitBroken
	}
	log.conclude("ORDER holds")
	return exitHeld
}

// takeStream takes a stream as a client does, and takes it up again if it breaks off.
func takeStream(dir *directory, log *recorder) (res streamResult) {
	began := time.Now()
	var first, last string // id of the attempt that brought the first event, and of the last event
	var failed []string
	for res.tries < originsMaxTries && time.Since(began) < originsTimeLimit {
		res.tries++
		address, id := dir.pick(failed), newID()
		left := originsTimeLimit - time.Since(began)
		numBefore := last
		status, wait, err := tryStream(address, id, &first, &last, left, &res)
		res.text += fmt.Sprintf("[%s at %s after event %q: status %d, then event %q of %v] ", id, address, numBefore, status, last, res.versions)
		if res.isWhole {
			return res
		}
		log.add("client: attempt %s of stream %s at %s ends: status %d, last event %q, %v", id, first, address, status, last, err)
		if err != nil {
			failed = append(failed, address)
		}
		if status == http.StatusBadRequest || status == http.StatusNotFound {
			return res
		}
		time.Sleep(min(max(wait, originsPause), left/3))
	}
	return res
}

func tryStream(address, id string, first, last *string, left time.Duration, res *streamResult) (status int, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	r := newRequest(ctx, http.MethodPost, address, "/brief/x", id, strings.Repeat("b", 1400))
	r.Header.Set("X-Model", "m1")
	r.Header.Set("X-Token-Count", "715,300")
	r.Header.Set("X-Prompt-Prefix", "5c1e07a2:103,91bd3f06:69,"+id[:8]+":543")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if *last != "" {
		r.Header.Set("Last-Event-Id", *last)
		r.Header.Set("Resumes", *first)
	}
	// Each try takes a new channel.
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get("X-Server-Stamp") == "" {
		return resp.StatusCode, retryAfter, nil
	}
	in := bufio.NewScanner(resp.Body)
	event := ""
	for in.Scan() {
		line := in.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			event = v
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			if *first == "" {
				*first = id
			}
			version, _, _ := strings.Cut(v, " ")
			if !slices.Contains(res.versions, version) {
				res.versions = append(res.versions, version)
			}
			*last = event
		}
	}
	res.isWhole = in.Err() == nil && *last == strconv.Itoa(originsEvents)
	return resp.StatusCode, 0, in.Err()
}
