//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// replica is a stand-in of a server. The query of a request says how it answers:
//
//	events, gap-ms   a stream of so many events, with a pause between them
//	tokens           the ids of events count tokens: the first event of a run holds one, the others
//	                 so many; without it ids count events
//	bytes            a plain answer of so many bytes
//	work-ms          the time until the answer begins
//	close            the answer has no length and no chunks, and ends with its channel
//
// While the file of --endless exists, the bodies of its answers do not end.
type replica struct {
	id, service, endless string
	born                 int64

	mu        sync.Mutex
	models    []string
	numOrders int64
	numActive int
}

func runReplica(args []string) {
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	r := &replica{}
	flags.StringVar(&r.id, "id", "", "id of the replica")
	flags.StringVar(&r.service, "service", "", "its service")
	flags.Int64Var(&r.born, "born", 0, "its start, in Unix milliseconds")
	flags.StringVar(&r.endless, "endless", "", "while this file exists, bodies do not end")
	model := flags.String("model", "", "the model that it holds")
	_ = flags.Parse(args) // exits on an error
	if *model != "" {
		r.models = []string{*model}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", r.id) })
	s := &http.Server{Addr: *listen, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/report", "/order", "/healthz":
			mux.ServeHTTP(w, req)
		default:
			r.run(w, req)
		}
	})}
	fatal(s.ListenAndServe())
}

func (r *replica) isOther(w http.ResponseWriter, req *http.Request) bool {
	if e := req.Header.Get("X-Expect-Instance"); e == "" || e == r.id {
		return false
	}
	w.Header().Set("X-Instance-Id", r.id)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *replica) report(w http.ResponseWriter, req *http.Request) {
	if r.isOther(w, req) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "combined", "models": modelList(r.models), "busy": false, "sequence": r.numOrders, "queued": 0, "active": r.numActive,
		"kv-used": 0, "kv-total": 100000, "handles": 0, "born": r.born,
	})
}

func modelList(names []string) []map[string]any {
	out := []map[string]any{}
	for _, n := range names {
		out = append(out, map[string]any{"name": n, "version": 1, "adapters": []string{}})
	}
	return out
}

func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation, Model string
		Precondition     *int64
	}
	if r.isOther(w, req) {
		return
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Precondition != nil && *o.Precondition != r.numOrders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.numOrders++
	r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == o.Model })
	if o.Operation == "load" {
		r.models = append(r.models, o.Model)
	}
	w.WriteHeader(http.StatusAccepted)
}

// run answers a request of a client.
func (r *replica) run(w http.ResponseWriter, req *http.Request) {
	h, id := w.Header(), req.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if r.isOther(w, req) {
		return
	}
	r.mu.Lock()
	model := req.Header.Get("X-Model")
	isHeld := model == "" || slices.Contains(r.models, model)
	r.numActive++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.numActive--
		r.mu.Unlock()
	}()
	if !isHeld {
		h.Set("X-Instance-Id", r.id)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // a failure shows when the answer is written
	_, _ = fmt.Fprintf(os.Stdout, "run %s after %q\n", id, req.Header.Get("Last-Event-Id"))
	h.Set("X-Server-Stamp", "stamp."+r.id+"."+id)
	q := req.URL.Query()
	number := func(name string) int {
		n, _ := strconv.Atoi(q.Get(name)) // 0 if it is missing
		return n
	}
	time.Sleep(time.Duration(number("work-ms")) * time.Millisecond)
	isStream := number("events") > 0
	if isStream {
		h.Set("Content-Type", "text/event-stream")
	}
	out, end := io.Writer(w), func() {}
	flush := func() error { return http.NewResponseController(w).Flush() }
	if q.Has("close") {
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		var head bytes.Buffer
		_ = h.Write(&head) // a bytes.Buffer does not fail
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n", head.String())
		out, flush, end = buf, buf.Flush, func() { _ = conn.Close() }
	}
	defer end()
	if r.endless != "" {
		if _, err := os.Stat(r.endless); err == nil {
			_, _ = fmt.Fprintf(os.Stdout, "endless %s\n", id)
			sendEndless(out, flush)
			return
		}
	}
	if isStream {
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 for a stream that begins
		sendEvents(out, flush, last, number("events"), number("tokens"), time.Duration(number("gap-ms"))*time.Millisecond)
	} else {
		if !q.Has("close") {
			h.Set("Content-Length", strconv.Itoa(number("bytes")))
		}
		for left := number("bytes"); left > 0; left -= len(block) {
			if _, err := out.Write(block[:min(left, len(block))]); err != nil {
				return
			}
		}
	}
	if flush() == nil {
		_, _ = fmt.Fprintf(os.Stdout, "done %s\n", id)
	}
}

var block = bytes.Repeat([]byte("x"), 16<<10)

func sendEndless(w io.Writer, flush func() error) {
	for {
		if _, err := w.Write(block); err != nil || flush() != nil {
			return
		}
	}
}

// sendEvents sends the events behind the last one. The client knows by the number of tokens, or of
// events, which event is the last.
func sendEvents(w io.Writer, flush func() error, last, total, tokens int, gap time.Duration) {
	step := max(tokens, 1)
	for n := 0; last < total; n++ {
		if n == 0 {
			last++
		} else {
			last = min(last+step, total)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last, block[:40]) // a failure shows in the flush
		if flush() != nil {
			return
		}
		time.Sleep(gap)
	}
}

// scanLines calls f with each line of a stream.
func scanLines(r io.Reader, f func(line string)) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		f(s.Text())
	}
}
