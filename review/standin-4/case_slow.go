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

func init() { cases["slow"] = slow }

const (
	slowClients = 12
	slowBytes   = 200_000
	// slowRate is how fast a client reads, in bytes per second: it has the answer 17 s after it has sent the request.
	slowRate = 12_000
	// segmentBytes is the size of the segments on an Ethernet link. Those of the loopback interface are far larger.
	segmentBytes = 1448
)

// slow plays clients that read their answers slowly and all the time, at a machine that gets SIGHUP before.
func slow(r *rig) (bool, error) {
	if err := r.configure(map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "get", "host": "app.example", "path-prefix": "/get/", "route-type": "idempotent", "timeout-ms": 25000,
			"target-latency-ms": 2000, "priority": 1, "service": "app", "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": "app", "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false}},
	}); err != nil {
		return false, err
	}
	for k := range 2 {
		if _, err := r.startReplica(fmt.Sprintf("i-%d", k), freeAddress(fmt.Sprintf("127.0.%d.1", 31+k)), "app", "a"); err != nil {
			return false, err
		}
	}
	if err := r.startInstances("a", "b", "c"); err != nil {
		return false, err
	}
	edge := r.instances[0]
	n := 0
	if err := r.await(10*time.Second, "the route is served", func() bool {
		n++
		code, _, _ := get(edge.frontend(), fmt.Sprintf("warm-%d", n), "/get/warm?bytes=800", 0)
		return code == http.StatusOK
	}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	edge.signal(syscall.SIGHUP)
	rate := 0
	if hasTrouble() {
		rate = slowRate
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for k := range slowClients {
		wg.Go(func() {
			id := fmt.Sprintf("slow-%d", k)
			began := time.Now()
			code, body, err := readSlowly(edge.frontend(), id, fmt.Sprintf("/get/x?bytes=%d", slowBytes), rate)
			isWhole := err == nil && bytes.Equal(body, bodyOf(id, 0, slowBytes))
			hasSent := r.count("done", id) > 0
			note("client: request %s ends after %v with status %d, %d of %d bytes, whole %v, error %v; the replica has sent it whole: %v",
				id, time.Since(began).Round(time.Millisecond), code, len(body), slowBytes, isWhole, err, hasSent)
			mu.Lock()
			defer mu.Unlock()
			if hasSent && !isWhole {
				lost++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	note("client: %d of %d answers that the replicas have sent whole were cut", lost, slowClients)
	return lost > 0, nil
}

// readSlowly sends a request on a kept channel and reads its answer at a rate in bytes per second, 0 for as fast as it
// comes.
func readSlowly(address, id, target string, rate int) (status int, body []byte, err error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var serr error
		err := c.Control(func(fd uintptr) {
			serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		})
		if err != nil {
			return err
		}
		return serr
	}}
	conn, err := d.Dial("tcp4", address)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(25 * time.Second))
	in := bufio.NewReaderSize(conn, 4<<10)
	for k, t := range []string{"/get/first?bytes=800", target} {
		rid := id
		if k == 0 {
			rid = id + "-first"
		}
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 25000\r\n\r\n", t, rid); err != nil {
			return 0, nil, err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return 0, nil, err
		}
		if k == 0 {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return 0, nil, err
			}
			continue
		}
		status = resp.StatusCode
		buf := make([]byte, 1200)
		for {
			n, err := resp.Body.Read(buf)
			body = append(body, buf[:n]...)
			if err == io.EOF {
				return status, body, nil
			}
			if err != nil {
				return status, body, err
			}
			if rate > 0 {
				time.Sleep(time.Second * time.Duration(n) / time.Duration(rate))
			}
		}
	}
	return status, body, nil
}
