//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one client attempt, and its answer.
type request struct {
	id, instance, path, model string
	body                      string
	header                    http.Header
	limit                     time.Duration // the client's time limit

	sentAt, endedAt time.Time
	status          int // 0 for none
	retryAfter      string
	text            string
	// isWhole says that the answer ended as its framing says.
	isWhole bool
	err     error
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix()&0xffffffff, lastID.Add(1)) }

// channel is a kept channel of a client.
type channel struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// send sends a request on a channel and reads the answer. It reports whether the channel may be used again.
func (c *channel) send(q *request, rec *recorder) bool {
	var b strings.Builder
	method := "POST"
	if q.body == "" {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, q.path, q.id, q.limit.Milliseconds())
	if q.model != "" {
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Count: 100,40\r\nX-Prompt-Prefix: aa01:60,%s:40\r\n", q.model, q.id)
	}
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v[0])
	}
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	q.sentAt = time.Now()
	_ = c.SetDeadline(q.sentAt.Add(q.limit))
	rec.add("client sends %s %s to %s", q.id, q.path, q.instance)
	defer func() {
		q.endedAt = time.Now()
		rec.add("client has %s: status %d, whole %v, %d bytes, err %v", q.id, q.status, q.isWhole, len(q.text), q.err)
	}()
	if _, q.err = io.WriteString(c, b.String()); q.err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		q.err = err
		return false
	}
	q.status, q.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	text, err := io.ReadAll(resp.Body)
	q.text, q.err = string(text), err
	q.isWhole = err == nil && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	return q.isWhole && !resp.Close
}
