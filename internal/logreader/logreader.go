// Package logreader reads the logs of entry instances and reports how requests
// ended, and why.
//
// A line may have a prefix, such as the time and the instance name that a log
// collector adds. Lines that hold malformed JSON are counted and skipped, because
// a process that is killed may leave a truncated line. Lines without JSON are
// ignored.
package logreader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Log messages that Summarize counts.
const (
	messageRequestEnded  = "request ended"
	messageAttemptFailed = "attempt failed"
)

// Duration is a time.Duration that the log holds as text, such as "1.5s".
type Duration time.Duration

// UnmarshalJSON parses a duration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// Line holds the fields of a log line that this package uses.
type Line struct {
	Time     string `json:"ts"`
	Instance string `json:"instance"`
	Message  string `json:"msg"`
	Request  string `json:"request"`
	Route    string `json:"route"`
	Outcome  string `json:"outcome"`
	Status   int    `json:"status"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Upstream string `json:"upstream"`
	Attempts int    `json:"attempts"`
	// Content identifies the content of a request that was not served.
	Content string `json:"content"`
	// Waited is the time in the queue, FirstByteAfter the time from the start of the
	// last attempt to the first byte of the response, and Total the time from
	// arrival to the end.
	Waited         Duration `json:"waited"`
	FirstByteAfter Duration `json:"first"`
	Total          Duration `json:"took"`
	// LongestPause is the longest pause between two events of a stream.
	LongestPause Duration `json:"longest-pause"`
	// Objective and MaxPause are the latency objective of the route and the longest
	// pause that it allows, 0 if the route sets none.
	Objective Duration `json:"objective"`
	MaxPause  Duration `json:"most-pause"`
	Reason    string   `json:"why"`

	raw string // the line as JSON, without its prefix
}

// Log holds the lines that were read.
type Log struct {
	Lines        []Line
	SkippedLines int // number of lines with malformed JSON
}

// Read adds the lines of a log. It fails on a line longer than maxLineBytes.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var line Line
		if err := json.Unmarshal(s.Bytes()[i:], &line); err != nil {
			l.SkippedLines++
			continue
		}
		line.raw = string(s.Bytes()[i:])
		l.Lines = append(l.Lines, line)
	}
	return errors.Wrap(s.Err(), "read log")
}

// Trace holds the log lines about one request.
type Trace struct {
	Request string
	// RequestLines are the lines of the request. ContextLines are lines of other
	// events that may explain how it ended.
	RequestLines, ContextLines []string
}

// Find returns the lines of a request, and at most maxContextLines lines of other
// events of its upstream, its model or its instance, or of failed attempts with the same
// content: the newest ones before the request ended.
func (l *Log) Find(request string, maxContextLines int) Trace {
	t := Trace{Request: request}
	var last Line
	end := ""
	for _, x := range l.Lines {
		if x.Request == request {
			t.RequestLines = append(t.RequestLines, x.raw)
			// The logs of several instances are read one after the other, so the last
			// line read is not always the newest one.
			if x.Time >= end {
				last, end = x, x.Time
			}
		}
	}
	if len(t.RequestLines) == 0 {
		return t
	}
	var contextLines []Line
	for _, x := range l.Lines {
		if x.Request != request && x.Time <= end && x.mayExplain(last) {
			contextLines = append(contextLines, x)
		}
	}
	slices.SortStableFunc(contextLines, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	for _, x := range contextLines[max(0, len(contextLines)-maxContextLines):] {
		t.ContextLines = append(t.ContextLines, x.raw)
	}
	return t
}

// mayExplain reports whether x, a line of no request or of another one, may explain how
// the request of line r ended.
func (x Line) mayExplain(r Line) bool {
	switch {
	case r.Content != "" && x.Content == r.Content:
		return true
	case x.Request != "":
		return false
	case r.Upstream != "" && x.Upstream == r.Upstream:
		return true
	case r.Model != "" && x.Model == r.Model && (x.Adapter == "" || x.Adapter == r.Adapter):
		return true
	}
	return x.Instance == r.Instance && x.Upstream == "" && x.Model == ""
}

// variablePart matches the parts that differ between two reasons of the same kind:
// numbers, ids, addresses, durations and names.
var variablePart = regexp.MustCompile(`[0-9][0-9a-z.:µ]*|model \S+|service \S+|adapter "[^"]*"|content \S+|topic=\S+`)

// cause returns the outcome of a request and its reason, with the variable parts
// replaced by *.
func (x Line) cause(objective time.Duration) string {
	if x.Outcome != "served" {
		return x.Outcome + ": " + variablePart.ReplaceAllStringFunc(x.Reason, func(s string) string {
			if word, _, ok := strings.Cut(s, " "); ok {
				return word + " *"
			}
			return "*"
		})
	}
	waited, firstByteAfter := time.Duration(x.Waited), time.Duration(x.FirstByteAfter)
	if x.Objective > 0 {
		objective = time.Duration(x.Objective)
	}
	switch {
	case waited > objective:
		return "served: waited past the objective"
	case waited+firstByteAfter > objective:
		return "served: slow to the first byte"
	case x.MaxPause > 0 && x.LongestPause > x.MaxPause:
		return "served: long pause"
	}
	return "served"
}
