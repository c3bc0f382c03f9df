//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// spotNotice is how long before its end a replica that is removed at short notice reports that.
const spotNotice = 2 * time.Second

// maxClosed is how often a machine may close a kept channel without an answer by the rule LOST.
const maxClosed = 3

// cases are the cases by name. Each returns the violations that it found.
var cases = map[string]func(f *fleet, hasTrouble bool) (violations []string, err error){
	"crash":   playCrash,
	"spot":    playSpot,
	"slow":    playSlow,
	"endless": playEndless,
	"ids":     playIDs,
}

// exchange is a request of a client and its answer.
type exchange struct {
	request
	answer answer
}

// sendAll sends n requests with a pause between, to the instances in turn or to the first one only. Each client
// keeps its channel after one or more first requests. It returns a function that waits for the answers.
func (f *fleet) sendAll(n int, prefix, path string, pause time.Duration, isFirstOnly bool, r request) func() []*exchange {
	var wg sync.WaitGroup
	out := make([]*exchange, n)
	for i := range n {
		x := &exchange{request: r}
		if x.firstPath == "" {
			x.firstPath = "/plain/?bytes=800"
		}
		x.id, x.path = fmt.Sprintf("%s-%d", prefix, i), path
		out[i] = x
		address := f.instances[i%len(f.instances)].address
		if isFirstOnly {
			address = f.instances[0].address
		}
		wg.Go(func() {
			c, err := dialClient(context.Background(), address, x.socketBytes)
			if err != nil {
				x.answer.err = err
				return
			}
			defer c.Close()
			x.conn = c
			for k := range max(1, x.numFirst) {
				first := request{id: fmt.Sprintf("%s-first-%d", x.id, k), path: x.firstPath, conn: c}
				if a := f.send(context.Background(), address, &first); a.err != nil {
					x.answer.err = a.err
					return
				}
			}
			x.answer = f.send(context.Background(), address, &x.request)
		})
		time.Sleep(pause)
	}
	return func() []*exchange {
		wg.Wait()
		time.Sleep(200 * time.Millisecond) // what the replicas have said is read by then
		return out
	}
}

// replicasOf returns the replicas that ran a request, in order.
func (f *fleet) replicasOf(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

// hasSent reports whether a replica has sent its whole answer to a request.
func (f *fleet) hasSent(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[id]
}

// busiest returns the n replicas of a service that have run most requests whose ids begin like that.
func (f *fleet) busiest(service, prefix string, n int) []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := make(map[string]int)
	for id, list := range f.ran {
		if strings.HasPrefix(id, prefix) {
			count[list[len(list)-1]]++
		}
	}
	var out []*process
	for _, p := range f.replicas {
		if p.service == service {
			out = append(out, p)
		}
	}
	slices.SortStableFunc(out, func(a, b *process) int { return count[b.name] - count[a.name] })
	return out[:n]
}

// startPlain starts four replicas of the plain service and the instances.
func (f *fleet) startPlain(args ...string) error {
	for i := range 4 {
		if i > 0 {
			args = nil // only the first one can be in trouble
		}
		if _, err := f.startReplica(fmt.Sprint("i-plain-", i), "plain", "", args...); err != nil {
			return err
		}
	}
	return f.startInstances("/plain/?bytes=800")
}

// startEngines starts eight engines, a plain replica and the instances.
func (f *fleet) startEngines() error {
	if _, err := f.startReplica("i-plain-0", "plain", ""); err != nil {
		return err
	}
	for i := range 8 {
		if _, err := f.startReplica(fmt.Sprint("i-lm-", i), "lm", ""); err != nil {
			return err
		}
	}
	return f.startInstances("/plain/?bytes=800", "/stream/?events=1")
}

// streamEvents is the number of events of the streams whose answers have no length.
const streamEvents = 60

// endedEarly returns the streams that look complete to their clients and are not.
func (f *fleet) endedEarly(rule string, list []*exchange) (violations []string) {
	for _, x := range list {
		if x.answer.isWhole && x.answer.status == http.StatusOK && x.answer.lastID() != strconv.Itoa(streamEvents) {
			violations = append(violations, fmt.Sprintf("%s: %s: the answer of replica %v ends as complete after event %s of %d", rule, x.id, f.replicasOf(x.id), x.answer.lastID(), streamEvents))
		}
	}
	return violations
}

// playCrash: two of eight replicas crash while they send streams without a length. MIXED: a client gets a success
// with a body that is not the replica's whole body.
func playCrash(f *fleet, hasTrouble bool) ([]string, error) {
	if err := f.startEngines(); err != nil {
		return nil, err
	}
	await := f.sendAll(120, "stream", fmt.Sprintf("/stream/?events=%d&gap-ms=100&close=1", streamEvents), 10*time.Millisecond, false, request{})
	time.Sleep(1500 * time.Millisecond)
	if hasTrouble {
		for _, p := range f.busiest("lm", "stream", 2) {
			f.crash(p)
			time.Sleep(100 * time.Millisecond)
		}
	}
	return f.endedEarly("MIXED", await()), nil
}

// crash kills a replica, which is back four seconds later.
func (f *fleet) crash(p *process) {
	f.log("%s crashes", p.name)
	p.signal(syscall.SIGKILL)
	f.removeAfterSilence(p)
	time.AfterFunc(4*time.Second, func() {
		if _, err := f.startReplica(p.name+"-again", p.service, p.address); err != nil {
			f.log("not restarted: %v", err)
		}
	})
}

// playSpot: a replica is removed at short notice while it sends streams without a length. ORDER: a stream ends as
// complete before its last piece.
func playSpot(f *fleet, hasTrouble bool) ([]string, error) {
	if err := f.startEngines(); err != nil {
		return nil, err
	}
	await := f.sendAll(60, "stream", fmt.Sprintf("/stream/?events=%d&gap-ms=100&close=1", streamEvents), 10*time.Millisecond, false, request{})
	time.Sleep(1500 * time.Millisecond)
	if hasTrouble {
		p := f.busiest("lm", "stream", 1)[0]
		f.setState(p, "draining")
		time.Sleep(spotNotice)
		f.log("%s is gone", p.name)
		p.signal(syscall.SIGKILL)
		f.removeAfterSilence(p)
	}
	return f.endedEarly("ORDER", await()), nil
}

// playSlow: clients read their answers slowly, at a machine that has got SIGHUP. LOST: around planned work a
// process has read a whole request, and the channel ends without a complete answer once it has been passed
// on to a replica.
func playSlow(f *fleet, hasTrouble bool) ([]string, error) {
	if err := f.startPlain(); err != nil {
		return nil, err
	}
	f.log("SIGHUP to %s", f.instances[0].name)
	f.instances[0].signal(syscall.SIGHUP)
	steady, pausing := request{}, request{socketBytes: 16 << 10}
	if hasTrouble {
		steady.rate, pausing.pause = 12_000, 6*time.Second
	}
	awaitSteady := f.sendAll(8, "steady", "/plain/?bytes=200000", 20*time.Millisecond, true, steady)
	awaitPausing := f.sendAll(8, "pausing", "/plain/?bytes=60000", 20*time.Millisecond, true, pausing)
	var closed []string
	for _, x := range append(awaitSteady(), awaitPausing()...) {
		if !x.answer.isWhole && f.hasSent(x.id) {
			closed = append(closed, fmt.Sprintf("LOST: %s: replica %v has sent its whole answer, and the client's channel ended after %d bytes: %v", x.id, f.replicasOf(x.id), len(x.answer.body), x.answer.err))
		}
	}
	return closed, nil
}

// playEndless: clients read sound answers slowly. Then the bodies of one of four replicas do not end. LOST: a
// machine passes a request from a kept channel on to a sound replica and closes that channel without an answer.
func playEndless(f *fleet, hasTrouble bool) ([]string, error) {
	file := filepath.Join(f.dir, "endless")
	if err := f.startPlain("--endless", file); err != nil {
		return nil, err
	}
	awaitSlow := f.sendAll(8, "slow", "/plain/?bytes=600000", 20*time.Millisecond, true, request{rate: 100_000})
	time.Sleep(500 * time.Millisecond)
	if hasTrouble {
		f.log("the bodies of i-plain-0 do not end from here on")
		if err := os.WriteFile(file, nil, 0o600); err != nil {
			return nil, err
		}
	}
	awaitOthers := f.sendAll(16, "other", "/plain/?bytes=600000", 50*time.Millisecond, true, request{rate: 200_000})
	var closed []string
	for _, x := range append(awaitSlow(), awaitOthers()...) {
		f.mu.Lock()
		isEndless := f.endless[x.id]
		f.mu.Unlock()
		if !isEndless && f.hasSent(x.id) && !x.answer.isWhole {
			closed = append(closed, fmt.Sprintf("LOST: %s: replica %v has sent its whole answer, and the client's channel was closed after %d of 600000 bytes: %v", x.id, f.replicasOf(x.id), len(x.answer.body), x.answer.err))
		}
	}
	if len(closed) <= maxClosed {
		return nil, nil
	}
	return closed, nil
}

// playIDs: the ids of events count tokens, and the first event of a run holds one token, the others five. A replica
// crashes. LOST: a machine passes a request from a kept channel on to a sound replica and closes that channel
// without an answer.
func playIDs(f *fleet, hasTrouble bool) ([]string, error) {
	if err := f.startEngines(); err != nil {
		return nil, err
	}
	const tokens = 151
	await := f.sendAll(48, "stream", fmt.Sprintf("/resume/?events=%d&tokens=5&gap-ms=150", tokens), 10*time.Millisecond, false, request{numFirst: 8, firstPath: "/resume/?events=1"})
	time.Sleep(2 * time.Second)
	crashed := f.busiest("lm", "stream", 1)[0]
	if hasTrouble {
		f.crash(crashed)
	}
	closed := make(map[string][]string) // by machine
	for _, x := range await() {
		list := f.replicasOf(x.id)
		wasPassedOn := len(list) > 1 && list[len(list)-1] != crashed.name
		if wasPassedOn && (!x.answer.isWhole || x.answer.lastID() != strconv.Itoa(tokens)) {
			closed[x.answer.address] = append(closed[x.answer.address], fmt.Sprintf("LOST: %s: replicas %v ran it, and the client's channel was closed after event %s of %d: %v", x.id, list, x.answer.lastID(), tokens, x.answer.err))
		}
	}
	var violations []string
	for _, list := range closed {
		if len(list) > maxClosed {
			violations = append(violations, list...)
		}
	}
	return violations, nil
}
