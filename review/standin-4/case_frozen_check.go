package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["frozen-check"] = frozenCheck }

const (
	// downTime is how long the replica is down, and frozenTime how long the machine of the instance stands still.
	downTime, frozenTime = 2 * time.Second, 3 * time.Second
)

// frozenCheck plays a replica that crashes within an answer without a length and is back after two seconds, while the
// machine that forwards the answer stands still.
func frozenCheck(r *rig) (bool, error) {
	if err := r.configure(map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "book", "host": "app.example", "path-prefix": "/book/", "route-type": "non_idempotent", "timeout-ms": 10000,
			"target-latency-ms": 2000, "priority": 1, "service": "app", "max-attempts": 1,
		}},
		"services": []any{map[string]any{"name": "app", "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false}},
	}); err != nil {
		return false, err
	}
	address := freeAddress("127.0.31.1")
	first, err := r.startReplica("i-1", address, "app", "a")
	if err != nil {
		return false, err
	}
	if err := r.startInstances("a", "b", "c"); err != nil {
		return false, err
	}
	edge := r.instances[0]
	n := 0
	if err := r.await(10*time.Second, "the route is served", func() bool {
		n++
		code, _, _ := get(edge.frontend(), fmt.Sprintf("warm-%d", n), "/book/warm?bytes=800", 0)
		return code == http.StatusOK
	}); err != nil {
		return false, err
	}
	const size, sent, id = 2000, 800, "book-1"
	r.onLine = func(replica, line string) {
		if !hasTrouble() || line != fmt.Sprintf("sent %s %d", id, sent) {
			return
		}
		time.AfterFunc(500*time.Millisecond, func() {
			edge.signal(syscall.SIGSTOP)
			time.AfterFunc(frozenTime, func() { edge.signal(syscall.SIGCONT) })
			time.Sleep(200 * time.Millisecond)
			first.signal(syscall.SIGKILL)
			_ = first.cmd.Wait()
			time.Sleep(downTime)
			if _, err := r.startReplica("i-2", address, "app", "a"); err != nil {
				note("replica i-2 not started: %v", err)
			}
		})
	}
	code, body, err := get(edge.frontend(), id, fmt.Sprintf("/book/1?unframed=1&bytes=%d&pause-at=%d&pause=4500ms", size, sent), 0)
	isWhole := bytes.Equal(body, bodyOf(id, 0, size))
	note("client: request %s ends with status %d, %d of %d bytes, whole %v, error %v", id, code, len(body), size, isWhole, err)
	if !hasTrouble() && (code != http.StatusOK || !isWhole) {
		return false, fmt.Errorf("the answer isn't whole without a disruption")
	}
	if r.count("done", id) > 0 && hasTrouble() {
		return false, fmt.Errorf("the replica has ended its answer before the crash")
	}
	return code/100 == 2 && err == nil && !isWhole, nil
}
