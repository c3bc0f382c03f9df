//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// record is a record of a keyed topic with one partition.
type record struct {
	key   string
	value []byte
	at    time.Time
}

// answerTime is how long the store takes for an answer on the users' sheets.
const answerTime = 4 * time.Millisecond

// store is a stand-in of the platform's store, as PROTOCOL.md describes it. It keeps all records.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// readAt is when a read of the configuration was last answered, by the number of the instance from 0.
	readAt map[int]time.Time
	isDown bool // it refuses all calls, and writes of replicas do not arrive
}

func newStore() *store {
	return &store{topics: make(map[string][]record), changed: make(chan struct{}), readAt: make(map[int]time.Time)}
}

// serve serves the calls of one instance.
func (s *store) serve(ln net.Listener, instance int) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		s.mu.Lock()
		isDown := s.isDown
		s.mu.Unlock()
		if isDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
		if r.URL.Path == "/log-read" && r.URL.Query().Get("topic") == "keyed.op" {
			s.mu.Lock()
			s.readAt[instance] = time.Now()
			s.mu.Unlock()
		}
	}))
}

// awaitRead returns soon after a read of the configuration by an instance was answered, or after two seconds.
func (s *store) awaitRead(instance int) {
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		at := s.readAt[instance]
		s.mu.Unlock()
		if at.After(began) {
			return
		}
	}
}

// put writes a record, as the operator and the replicas do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return
	}
	s.topics[topic] = append(s.topics[topic], record{key, value, time.Now()})
	s.notifyLocked()
}

// setDown makes the store go down or come back.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.notifyLocked()
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		b := body[4 : 4+n]
		k := int(b[0])
		records = append(records, record{string(b[1 : 1+k]), slices.Clone(b[1+k:]), time.Now()})
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end-offset":%d}`, end)
		return
	}
	s.topics[topic] = append(s.topics[topic], records...)
	s.notifyLocked()
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end-offset":%d}`, end, end+len(records))
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; !isOver; {
		s.mu.Lock()
		changed, n, isDown := s.changed, len(s.topics[q.Get("topic")]), s.isDown
		s.mu.Unlock()
		if n > from || isDown {
			break
		}
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := s.topics[q.Get("topic")]
	if from > len(list) {
		w.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(w, `{"first-offset":0}`)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, x := range list[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.key)+len(x.value)))
		out = append(out, byte(len(x.key)))
		out = append(out, x.key...)
		out = append(out, x.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[r.URL.Query().Get("topic")]
	items := []item{}
	for i, x := range list {
		items = slices.DeleteFunc(items, func(o item) bool { return o.Key == x.key })
		if len(x.value) > 0 {
			items = append(items, item{x.key, x.value, i})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has-more": false, "end-offset": len(list)})
}
