//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: a log with keyed topics of one partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storedRecord
	changed chan struct{}
}

type storedRecord struct {
	key   string
	value []byte
}

func newStore() *store {
	return &store{topics: make(map[string][]storedRecord), changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	return mux
}

// put appends a record as the operator or a replica does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storedRecord{key, value})
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
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records []storedRecord
	for len(body) > 0 {
		n := int(binary.BigEndian.Uint32(body))
		b := body[4 : 4+n]
		records = append(records, storedRecord{string(b[1 : 1+int(b[0])]), b[1+int(b[0]):]})
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
	s.mu.Lock()
	changed, end := s.changed, len(s.topics[q.Get("topic")])
	s.mu.Unlock()
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for end <= from && r.Context().Err() == nil {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-timer.C:
			end = from + 1 // the wait is over
			continue
		}
		s.mu.Lock()
		changed, end = s.changed, len(s.topics[q.Get("topic")])
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[q.Get("topic")]
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, x := range list[min(from, len(list)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.key)+len(x.value)))
		out = append(out, byte(len(x.key)))
		out = append(out, x.key...)
		out = append(out, x.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	list, items := s.topics[r.URL.Query().Get("topic")], []item{}
	for i, x := range list {
		items = slices.DeleteFunc(items, func(o item) bool { return o.Key == x.key })
		if len(x.value) > 0 {
			items = append(items, item{x.key, x.value, i})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has-more": false, "end-offset": len(list)})
}
