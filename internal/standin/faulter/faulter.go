// Package faulter switches faults of a stand-in on and off, over HTTP and in tests.
package faulter

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Faults are the faults that every stand-in can have. The zero value has none.
type Faults struct {
	// Outage refuses every request.
	Outage bool `json:"outage"`
	// Hang answers no request until the caller gives up.
	Hang bool `json:"hang"`
	// DelayMs delays every request.
	DelayMs int `json:"delay-ms"`
	// LoseReplies carries out this many requests and cuts their replies.
	LoseReplies int `json:"lose-replies"`
	// LagMs is the age of what the stand-in reports.
	LagMs int `json:"lag-ms"`
	// TailLagMs delays what the log's readers are sent.
	TailLagMs int `json:"tail-lag-ms"`
	// CrashOn ends the process when a request contains this text.
	CrashOn string `json:"crash-on"`
	// Leaving makes an upstream report that it leaves.
	Leaving bool `json:"leaving"`
	// CutAfter cuts a stream after this many tokens, 0 for never.
	CutAfter int `json:"cut-after"`
	// CrossAnswers echoes a wrong attempt id.
	CrossAnswers bool `json:"cross-answers"`
	// TokenMs is the time between tokens.
	TokenMs int `json:"token-ms"`
	// LoadMs is the time of a load at full speed.
	LoadMs int `json:"load-ms"`
	// FailLoads refuses every load.
	FailLoads bool `json:"fail-loads"`
	// GapEvery drops every n-th cache event.
	GapEvery int `json:"gap-every"`
}

// Faulter holds the faults in force. Its zero value has none.
type Faulter struct {
	mu sync.Mutex
	f  Faults
}

// Get returns the faults in force.
func (x *Faulter) Get() Faults {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.f
}

// Set replaces the faults.
func (x *Faulter) Set(f Faults) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.f = f
}

// Change changes the faults in place.
func (x *Faulter) Change(f func(*Faults)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(&x.f)
}

// loseReply reports whether the reply of this request is lost.
func (x *Faulter) loseReply() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.f.LoseReplies <= 0 {
		return false
	}
	x.f.LoseReplies--
	return true
}

// Wrap puts the faults before a handler and serves POST /faults beside it.
// Lost replies apply to paths that lossy accepts.
func (x *Faulter) Wrap(h http.Handler, lossy func(path string) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			x.serveFaults(w, r)
			return
		}
		f := x.Get()
		if f.DelayMs > 0 {
			select {
			case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		switch {
		case f.Hang:
			<-r.Context().Done()
			return
		case f.Outage:
			panic(http.ErrAbortHandler) // cuts the connection
		case lossy != nil && lossy(r.URL.Path) && x.loseReply():
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func (x *Faulter) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := x.Get()
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		x.Set(f)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f)
}
