package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["leaving-crash"] = leavingCrash }

// leavingCrash plays a replica that crashes within an answer without a length, while it drains before a planned
// shutdown. The client reads as fast as it can.
func leavingCrash(r *rig) (bool, error) {
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
	first, err := r.startReplica("i-1", freeAddress("127.0.31.1"), "app", "a")
	if err != nil {
		return false, err
	}
	if _, err := r.startReplica("i-2", freeAddress("127.0.32.1"), "app", "b"); err != nil {
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
	const size, sent = 2000, 800
	r.onLine = func(replica, line string) {
		switch {
		case replica == "i-1" && strings.HasPrefix(line, "sent book-"):
			first.signal(syscall.SIGTERM)
		case replica == "i-1" && line == "draining -" && hasTrouble():
			// Within the time for which it still serves, and long after each instance has read that it leaves.
			time.AfterFunc(1500*time.Millisecond, func() { first.signal(syscall.SIGKILL) })
		}
	}
	isBroken := false
	for k := 1; k <= 20; k++ {
		id := fmt.Sprintf("book-%d", k)
		code, body, err := get(edge.frontend(), id, fmt.Sprintf("/book/%d?unframed=1&bytes=%d&pause-at=%d&pause=2500ms", k, size, sent), 0)
		isWhole := bytes.Equal(body, bodyOf(id, 0, size))
		note("client: request %s ends with status %d, %d of %d bytes, whole %v, error %v", id, code, len(body), size, isWhole, err)
		isBroken = isBroken || code/100 == 2 && err == nil && !isWhole
		if !hasTrouble() && (code != http.StatusOK || !isWhole) {
			return false, fmt.Errorf("the answer isn't whole without a disruption")
		}
		if r.served("i-1", id) {
			return isBroken, nil
		}
	}
	return false, fmt.Errorf("the first replica got no request")
}
