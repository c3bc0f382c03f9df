package main

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	topicServers  = "keyed.servers"
	topicOperator = "keyed.op"
	// heartbeat is the interval at which replicas register, and maxSilence the one after which an entry is removed.
	heartbeat  = 1200 * time.Millisecond
	maxSilence = 3 * heartbeat
	// answerDelay is how long the platform's store takes for an answer.
	answerDelay = 4 * time.Millisecond
)

// store is a stand-in for the platform's store: topics of one partition with keyed records.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]entry
	beats   map[string]time.Time // of the registered replicas
	changed chan struct{}
	// answer, if set, decides what becomes of a call: it is carried out if the first result is true, and
	// answered if the second is.
	answer func(r *http.Request) (isDone, isAnswered bool)
}

type entry struct {
	key   string
	value []byte
}

func startStore(address string) (*store, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: ln, topics: make(map[string][]entry), beats: make(map[string]time.Time), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	mux.HandleFunc("POST /register", s.register) // of replicas only
	go func() { _ = http.Serve(ln, mux) }()
	go s.sweep()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// sweep removes the entries of replicas that have been silent.
func (s *store) sweep() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > maxSilence {
				delete(s.beats, id)
				s.putLocked(topicServers, id, nil)
				note("store: entry %s removed after %v of silence", id, maxSilence)
			}
		}
		s.mu.Unlock()
	}
}

// put writes a record as an operator or a replica does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(topic, key, value)
}

func (s *store) putLocked(topic, key string, value []byte) {
	s.topics[topic] = append(s.topics[topic], entry{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// register takes the entry of a replica, or its removal if the body is empty.
func (s *store) register(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.URL.Query().Get("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(body) == 0 {
		delete(s.beats, id)
		s.putLocked(topicServers, id, nil)
		return
	}
	s.beats[id] = time.Now()
	s.putLocked(topicServers, id, body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	q := r.URL.Query()
	topic := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || q.Get("part") != "0" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == topicServers || topic == topicOperator {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	isDone, isAnswered := true, true
	if s.answer != nil {
		isDone, isAnswered = s.answer(r)
	}
	var list []entry
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n || n < 1 || n < 1+int(body[4]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec := body[4 : 4+n]
		k := 1 + int(rec[0])
		list = append(list, entry{string(rec[1:k]), slices.Clone(rec[k:])})
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	status, out := http.StatusOK, map[string]any{"offset": end, "end-offset": end + len(list)}
	if at := q.Get("at"); at != "" && at != strconv.Itoa(end) {
		status, out = http.StatusPreconditionFailed, map[string]any{"end-offset": end}
	} else if isDone {
		for _, x := range list {
			s.putLocked(topic, x.key, x.value)
		}
	}
	if !isAnswered {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, out)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		isOver := false
		if len(list) <= from {
			select {
			case <-changed:
				continue
			case <-timer.C:
				isOver = true
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < len(list) && !isOver; i++ {
			x := list[i]
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.key)+len(x.value)))
			out = append(out, byte(len(x.key)))
			out = append(append(out, x.key...), x.value...)
		}
		w.Header().Set("Store-Era", "1")
		_, _ = w.Write(out)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	list := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	byKey := make(map[string]item)
	for i, x := range list {
		byKey[x.key] = item{x.key, x.value, i}
	}
	items := []item{}
	for _, x := range byKey {
		if len(x.Value) > 0 && x.Key > r.URL.Query().Get("after") {
			items = append(items, x)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	hasMore := len(items) > 500
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), 500)], "has-more": hasMore, "end-offset": len(list)})
}
