//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// silentHeartbeats is after how many intervals of silence the platform removes an entry.
	silentHeartbeats = 3
)

// model is an entry of the list of models that a server holds.
type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// replica is a stand-in for a server that writes its entry to the store.
type replica struct {
	id, service, zone, version string
	slots                      int
	models                     []model
	handler                    func(w http.ResponseWriter, r *http.Request)
	// onOrder, if set, answers orders. Otherwise they are carried out at once.
	onOrder func(w http.ResponseWriter, r *http.Request)

	store *store
	log   *recorder
	ln    net.Listener
	born  int64
	ended chan struct{}

	mu        sync.Mutex
	conns     map[net.Conn]bool
	sequence  int
	numOrders int
	state     string
	running   map[string]int
}

// start starts the server at a new port.
func (p *replica) start(ip string) {
	ln, err := net.Listen("tcp4", ip+":0")
	check(err)
	p.ln, p.born, p.ended, p.state = ln, time.Now().UnixMilli(), make(chan struct{}), "ready"
	p.conns, p.running = make(map[net.Conn]bool), make(map[string]int)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", p.handleReport)
	if p.onOrder == nil {
		p.onOrder = p.handleOrder
	}
	mux.HandleFunc("POST /order", p.onOrder)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", p.id) })
	mux.HandleFunc("/", p.handleRequest)
	srv := &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if s == http.StateNew {
			p.conns[c] = true
		} else if s == http.StateClosed || s == http.StateHijacked {
			delete(p.conns, c)
		}
	}}
	go func() { _ = srv.Serve(ln) }()
	p.register()
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-p.ended:
				return
			case <-tick.C:
				p.register()
			}
		}
	}()
	p.log.add("server %s (%s %s) starts at %s", p.id, p.service, p.version, ln.Addr())
}

// register writes the entry.
func (p *replica) register() {
	p.mu.Lock()
	p.sequence++
	e := entryOf(p.service, p.ln.Addr().String(), p.zone, p.version, p.slots, p.state, p.sequence, p.born, p.models)
	p.mu.Unlock()
	b, err := json.Marshal(e)
	check(err)
	select {
	case <-p.ended:
	default:
		p.store.put("keyed.servers", p.id, b)
	}
}

func entryOf(service, address, zone, version string, slots int, state string, sequence int, born int64, models []model) map[string]any {
	e := map[string]any{
		"service": service, "address": address, "zone": zone, "version": version, "slots": slots, "state": state,
		"cold-remaining-ms": 0, "sequence": sequence, "born": born,
	}
	if models != nil {
		names := []string{}
		for _, m := range models {
			names = append(names, m.Name)
		}
		e["stage"], e["models"], e["available"] = "combined", models, map[string]any{"resident": []string{}, "on-disk": names}
	}
	return e
}

// crash ends the server without a word. Its entry goes after three intervals of silence.
func (p *replica) crash() {
	close(p.ended)
	_ = p.ln.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.mu.Unlock()
	time.AfterFunc(silentHeartbeats*heartbeat, func() { p.store.put("keyed.servers", p.id, nil) })
}

func (p *replica) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *replica) handleReport(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	runs := [][]any{}
	for id, n := range p.running {
		runs = append(runs, []any{id, 800, n, 2})
	}
	out := map[string]any{
		"stage": "combined", "models": p.models, "busy": false, "sequence": p.numOrders, "queued": 0, "active": len(p.running), "kv-used": 0,
		"kv-total": 89834, "handles": 0, "born": p.born, "runs": runs,
	}
	p.mu.Unlock()
	w.Header().Set("X-Instance-Id", p.id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// handleOrder carries orders out at once.
func (p *replica) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *int
		Token                             int64 `json:"fencing-token"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)
	w.Header().Set("X-Instance-Id", p.id)
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.models, func(m model) bool { return m.Name == o.Model })
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != p.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case o.Precondition != nil && *o.Precondition != p.numOrders:
		w.WriteHeader(http.StatusConflict)
		return
	case (i >= 0) == (o.Operation == "load") && o.Adapter == "":
		return // it holds already
	}
	p.numOrders++
	if o.Operation == "load" {
		p.models = append(p.models, model{Name: o.Model, Version: 1, Adapters: []string{}})
	} else {
		p.models = slices.Delete(slices.Clone(p.models), i, i+1)
	}
	p.log.add("server %s: order of %s, epoch %d: %s %s", p.id, o.Holder, o.Token, o.Operation, o.Model)
	w.WriteHeader(http.StatusAccepted)
}

func (p *replica) handleRequest(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Instance-Id", p.id)
	p.mu.Lock()
	name, _, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	holds := name == "" || slices.ContainsFunc(p.models, func(m model) bool { return m.Name == name })
	p.mu.Unlock()
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != p.id || !holds {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.handler(w, r)
}

func (p *replica) stamp(id string) string { return p.id + "." + id }

// stream sends a stream of events, or the rest of one.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, numEvents int, gap time.Duration) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a stream that begins
	p.log.add("server %s (%s) runs %s after event %d", p.id, p.version, id, last)
	w.Header().Set("X-Server-Stamp", p.stamp(id))
	w.Header().Set("Content-Type", "text/event-stream")
	defer func() {
		p.mu.Lock()
		delete(p.running, id)
		p.mu.Unlock()
	}()
	for n := last + 1; n <= numEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-p.ended:
			panic(http.ErrAbortHandler)
		case <-time.After(gap):
		}
		p.mu.Lock()
		p.running[id] = n
		p.mu.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d of %d\n\n", n, p.version, p.id, n, numEvents); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
