package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["uploads"] = uploads }

const (
	// readRate is how fast a client reads its answer of readBytes, in bytes per second.
	readers, readBytes, readRate = 8, 1_500_000, 256 << 10
	// uploadBytes is max-body-bytes of the configuration.
	numUploads, uploadBytes = 10, 4 << 20
)

// uploads plays clients that read their answers steadily, and others that send the largest bodies that are allowed. The
// machine gets SIGHUP before.
func uploads(r *rig) (bool, error) {
	if err := r.configure(map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{
			map[string]any{"name": "get", "host": "app.example", "path-prefix": "/get/", "route-type": "idempotent", "timeout-ms": 25000, "target-latency-ms": 2000, "priority": 1, "service": "app", "max-attempts": 2},
			map[string]any{"name": "put", "host": "app.example", "path-prefix": "/put/", "route-type": "idempotent", "timeout-ms": 25000, "target-latency-ms": 2000, "priority": 1, "service": "app", "max-attempts": 2},
		},
		"services": []any{map[string]any{"name": "app", "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false}},
	}); err != nil {
		return false, err
	}
	for k := range 2 {
		if _, err := r.startReplica(fmt.Sprintf("i-%d", k), freeAddress(fmt.Sprintf("127.0.%d.1", 31+k)), "app", "a", "-slots", "32"); err != nil {
			return false, err
		}
	}
	if err := r.startInstances("a", "b", "c"); err != nil {
		return false, err
	}
	edge := r.instances[0]
	time.Sleep(1500 * time.Millisecond)
	edge.signal(syscall.SIGHUP)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for k := range readers {
		wg.Go(func() {
			id := fmt.Sprintf("slow-%d", k)
			code, body, err := get(edge.frontend(), id, fmt.Sprintf("/get/x?bytes=%d", readBytes), readRate)
			isWhole := err == nil && bytes.Equal(body, bodyOf(id, 0, readBytes))
			note("client: request %s: status %d, %d bytes, whole %v, error %v; sent whole %v", id, code, len(body), isWhole, err, r.count("done", id) > 0)
			mu.Lock()
			defer mu.Unlock()
			if !isWhole && r.count("done", id) > 0 {
				lost++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(800 * time.Millisecond)
	if hasTrouble() {
		for k := range numUploads {
			wg.Go(func() {
				id := fmt.Sprintf("put-%d", k)
				code, err := put(edge.frontend(), id, uploadBytes)
				note("client: upload %s: status %d, error %v", id, code, err)
			})
		}
	}
	wg.Wait()
	note("client: %d answers lost", lost)
	return lost > 0, nil
}

// put uploads a body, whose answer comes after two seconds.
func put(address, id string, size int) (int, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /put/x?unframed=1&bytes=800&pause=2s HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nContent-Length: %d\r\n\r\n", id, size); err != nil {
		return 0, err
	}
	if _, err := conn.Write(make([]byte, size)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
