package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["late-check"] = lateCheck }

const (
	answerBytes = 4 << 20
	// crashBytes are those that the replica has sent when it crashes.
	crashBytes = 2560 << 10
	// clientRate is how fast the client reads, in bytes per second.
	clientRate = 256 << 10
)

// lateCheck plays a replica that crashes within an answer without a length, which a client reads slowly.
func lateCheck(r *rig) (bool, error) {
	if err := r.configure(map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "get", "host": "app.example", "path-prefix": "/get/", "route-type": "idempotent", "timeout-ms": 30000,
			"target-latency-ms": 2000, "priority": 1, "service": "app", "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": "app", "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false}},
	}); err != nil {
		return false, err
	}
	first, err := r.startReplica("i-1", freeAddress("127.0.31.1"), "app", "a")
	if err != nil {
		return false, err
	}
	if err := r.startInstances("a", "b", "c"); err != nil {
		return false, err
	}
	edge := r.instances[0]
	probe := 0
	if err := r.await(10*time.Second, "the route is served", func() bool {
		probe++
		code, _, _ := get(edge.frontend(), fmt.Sprintf("warm-%d", probe), "/get/warm?bytes=800", 0)
		return code == http.StatusOK
	}); err != nil {
		return false, err
	}
	id := "slow-1"
	if hasTrouble() {
		r.onLine = func(_, line string) {
			if line == fmt.Sprintf("sent %s %d", id, crashBytes) {
				time.AfterFunc(500*time.Millisecond, func() { first.signal(syscall.SIGKILL) })
			}
		}
	}
	code, body, err := get(edge.frontend(), id, fmt.Sprintf("/get/slow?unframed=1&bytes=%d&pause-at=%d&pause=3s", answerBytes, crashBytes), clientRate)
	note("client: request %s ends with status %d, %d bytes, error %v", id, code, len(body), err)
	isWhole := bytes.Equal(body, bodyOf(id, 0, answerBytes))
	note("client: the replica's whole body has %d bytes; got all of it: %v", answerBytes, isWhole)
	if !hasTrouble() && !isWhole {
		return false, fmt.Errorf("the answer isn't whole without a disruption")
	}
	return code/100 == 2 && err == nil && !isWhole, nil
}

// get sends a request and reads its answer at a rate in bytes per second, 0 for as fast as it comes. An answer that
// isn't complete in the protocol is an error.
func get(address, id, target string, rate int) (int, []byte, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		if rate == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 128<<10) })
	}}
	conn, err := d.Dial("tcp4", address)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 30000\r\n\r\n", target, id); err != nil {
		return 0, nil, err
	}
	if rate > 0 {
		note("client: request %s sent to %s: GET %s", id, address, target)
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var body []byte
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		body = append(body, buf[:n]...)
		if err == io.EOF {
			return resp.StatusCode, body, nil
		}
		if err != nil {
			return resp.StatusCode, body, err
		}
		if rate > 0 {
			time.Sleep(time.Second * time.Duration(n) / time.Duration(rate))
		}
	}
}
