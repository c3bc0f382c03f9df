package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["busy"] = busy }

const (
	busyClients = 8 // at each instance
	busyEvents  = 12
	busyTime    = 12 * time.Second
)

// busy plays replicas that have more requests than slots and reset new channels while their queue is long. Their
// streams end with their channels. The machines get SIGHUP one after the other.
func busy(r *rig) (bool, error) {
	if err := r.configure(map[string]any{
		"version": 1, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "notes", "host": "app.example", "path-prefix": "/notes/", "route-type": "streaming", "timeout-ms": 12000,
			"target-latency-ms": 2500, "priority": 1, "service": "app", "max-attempts": 1, "resumable": false, "target-gap-ms": 200,
		}},
		"services": []any{map[string]any{"name": "app", "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false}},
	}); err != nil {
		return false, err
	}
	args := []string{"-slots", "6", "-queue"}
	if hasTrouble() {
		args = append(args, "-long-queue", "3")
	}
	for k, zone := range []string{"a", "b"} {
		if _, err := r.startReplica(fmt.Sprintf("i-%d", k), freeAddress(fmt.Sprintf("127.0.%d.1", 31+k)), "app", zone, args...); err != nil {
			return false, err
		}
	}
	if err := r.startInstances("a", "b", "c"); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, refused, failed := 0, 0, 0
	var cut []cutStream
	hups := make(map[string]time.Time) // by instance
	end := time.Now().Add(busyTime)
	for _, i := range r.instances {
		for k := range busyClients {
			wg.Go(func() {
				var conn net.Conn
				defer func() {
					if conn != nil {
						_ = conn.Close()
					}
				}()
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s-%d-%d", i.name, k, n)
					if conn == nil {
						c, err := net.DialTimeout("tcp4", i.frontend(), time.Second)
						if err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
						conn = c
					}
					sentAt := time.Now()
					code, events, err := readEvents(conn, id, fmt.Sprintf("/notes/x?events=%d", busyEvents))
					mu.Lock()
					switch {
					case err != nil && code == http.StatusOK:
						cut = append(cut, cutStream{id, i.name, sentAt, time.Now()})
						note("client: stream %s is cut after %d of %d events: %v", id, events, busyEvents, err)
					case code == http.StatusOK && events == busyEvents:
						whole++
					case code == http.StatusServiceUnavailable:
						refused++
					default:
						failed++
						note("client: stream %s: status %d, %d events, error %v", id, code, events, err)
					}
					mu.Unlock()
					if err != nil {
						_ = conn.Close()
						conn = nil
					}
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	for _, i := range r.instances {
		time.Sleep(3 * time.Second)
		mu.Lock()
		hups[i.name] = time.Now()
		mu.Unlock()
		i.signal(syscall.SIGHUP)
	}
	wg.Wait()
	time.Sleep(100 * time.Millisecond)
	lost, planned := 0, 0
	for _, x := range cut {
		if r.count("done", x.id) == 0 {
			continue
		}
		lost++
		if hup := hups[x.instance]; x.cutAt.After(hup) && x.sentAt.Before(hup.Add(applyTime)) {
			planned++
		}
	}
	note("client: %d streams whole, %d refused (503), %d failed otherwise, %d cut", whole, refused, failed, len(cut))
	note("client: of the cut ones the replicas have sent %d whole, %d of these around the SIGHUP of their machine", lost, planned)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return planned > 0, nil
}

// applyTime is the time after a SIGHUP for which requests are around planned work, config-apply-ms.
const applyTime = 2 * time.Second

// cutStream is a stream whose channel was closed before its end.
type cutStream struct {
	id, instance  string
	sentAt, cutAt time.Time
}

// readEvents sends a request on a channel and counts the events of its answer.
func readEvents(conn net.Conn, id, target string) (status, events int, err error) {
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 12000\r\nContent-Length: 0\r\n\r\n", target, id); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
		}
		if err == io.EOF {
			return resp.StatusCode, events, nil
		}
		if err != nil {
			return resp.StatusCode, events, err
		}
	}
}
