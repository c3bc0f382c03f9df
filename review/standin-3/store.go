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

// storeDelay is the time that the store takes to answer.
const storeDelay = 4 * time.Millisecond

// store is a stand-in for the platform's store. Its topics are keyed and have one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// loseAnswer, if set, says for an append whether its answer is lost, and how much later it
	// is carried out.
	loseAnswer func(topic string) (after time.Duration, isLost bool)
	// conditional counts the writes of each instance under a condition. An instance may also write for
	// another one.
	conditional map[string]int
	logged      []string // topics whose appends go into the record
	numWrites   int
	numLost     int
	log         *recorder
}

type record struct {
	key   string
	value []byte
}

func newStore(log *recorder) *store {
	return &store{topics: make(map[string][]record), conditional: make(map[string]int), changed: make(chan struct{}), log: log}
}

// listen serves the store for one instance and returns the address.
func (s *store) listen(ip, instance string) string {
	ln, err := net.Listen("tcp4", ip+":0")
	check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", func(w http.ResponseWriter, r *http.Request) { s.handleAppend(w, r, instance) })
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeDelay)
			w.Header().Set("Store-Era", "1")
			mux.ServeHTTP(w, r)
		}))
	}()
	return ln.Addr().String()
}

// put writes a record, as the operator and the servers do. Without a value the key is dropped.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(topic, []record{{key, value}})
}

func (s *store) appendLocked(topic string, list []record) (offset int) {
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], list...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request, instance string) {
	topic, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var list []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		b := body[4 : 4+n]
		k := int(b[0])
		list = append(list, record{string(b[1 : 1+k]), slices.Clone(b[1+k:])})
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numWrites++
	if s.loseAnswer != nil {
		if after, isLost := s.loseAnswer(topic); isLost {
			s.numLost++
			var keys []string
			for _, x := range list {
				keys = append(keys, x.key)
			}
			s.log.add("store: no answer to an append of %s to %s, keys %v; carried out in %v if its condition still holds", instance, topic, keys, after)
			time.AfterFunc(after, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if at != "" && at != strconv.Itoa(len(s.topics[topic])) {
					return
				}
				s.appendLocked(topic, list)
				s.log.add("store: the append of %s to %s, keys %v, is carried out late", instance, topic, keys)
			})
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				go func() { // the channel stays open and returns nothing
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}()
			}
			return
		}
	}
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end-offset":%d}`, end)
		return
	}
	if at != "" {
		s.conditional[instance]++
	}
	s.appendLocked(topic, list)
	if slices.Contains(s.logged, topic) {
		var keys []string
		for _, x := range list {
			keys = append(keys, x.key)
		}
		s.log.add("store: an append of %s to %s, keys %v, is done and answered", instance, topic, keys)
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end-offset":%d}`, end, end+len(list))
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; !isOver; {
		s.mu.Lock()
		changed, n := s.changed, len(s.topics[topic])
		s.mu.Unlock()
		if n > from {
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
	list := s.topics[topic]
	if from > len(list) {
		w.WriteHeader(http.StatusGone)
		_, _ = fmt.Fprint(w, `{"first-offset":0}`)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, x := range list[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.key)+len(x.value)))
		out = append(out, byte(len(x.key)))
		out = append(append(out, x.key...), x.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	const maxItems = 500
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]item)
	for i, x := range s.topics[topic] {
		if len(x.value) == 0 {
			delete(newest, x.key)
			continue
		}
		newest[x.key] = item{x.key, x.value, i}
	}
	items := []item{}
	for _, x := range newest {
		if x.Key > after {
			items = append(items, x)
		}
	}
	slices.SortFunc(items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	hasMore := len(items) > maxItems
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items[:min(len(items), maxItems)], "has-more": hasMore, "end-offset": len(s.topics[topic])})
}
