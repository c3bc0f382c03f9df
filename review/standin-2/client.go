//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// clientDeadline is what clients state in X-Deadline-Ms.
const clientDeadline = 25 * time.Second

// maxAnswerBytes is where a client gives up an answer. It is longer than all sound ones.
const maxAnswerBytes = 1 << 20

// send sends a request on a channel of its own, or on the one that it names, and reads the answer.
func (f *fleet) send(ctx context.Context, address string, r *request) (a answer) {
	defer func() {
		a.address = address
		f.log("client: %s %s answered %d, whole %t, %d bytes, last event %q, error %v", r.id, r.path, a.status, a.isWhole, len(a.body), a.lastID(), a.err)
	}()
	c := r.conn
	if c == nil {
		var err error
		if c, err = dialClient(ctx, address, r.socketBytes); err != nil {
			return answer{err: err}
		}
		defer c.Close()
	}
	_ = c.SetDeadline(time.Now().Add(clientDeadline)) // fails only on a closed connection
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n", r.path, host, r.id, clientDeadline.Milliseconds())
	if strings.HasPrefix(r.path, "/stream/") || strings.HasPrefix(r.path, "/resume/") {
		head += fmt.Sprintf("X-Model: %s\r\nX-Token-Count: 40,60\r\nX-Prompt-Prefix: 5c1e07a2:30,%x:10\r\n", model, r.id)
	}
	if r.lastEvent != "" {
		head += fmt.Sprintf("Last-Event-Id: %s\r\nResumes: %s\r\n", r.lastEvent, r.resumes)
	}
	f.log("client: %s %s sent to %s", r.id, r.path, address)
	if _, err := io.WriteString(c, head+"\r\n{}"); err != nil {
		return answer{err: err}
	}
	c.r.rate = 0
	resp, err := http.ReadResponse(bufio.NewReaderSize(c.r, 64<<10), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a.status, a.stamp, a.id = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), resp.Header.Get("X-Request-Id")
	c.r.rate, a.closes = r.rate, resp.Close
	time.Sleep(r.pause)
	a.body, a.err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if a.err == nil && len(a.body) == maxAnswerBytes {
		a.err = errors.New("longer than any answer that the client waits for")
		_ = c.Close() // the client leaves
	}
	a.isWhole = a.err == nil && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	return a
}
