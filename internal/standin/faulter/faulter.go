// Package faulter injects faults into a stand-in. Faults are set over HTTP or by
// tests.
package faulter

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Faults are the faults of a stand-in; each stand-in supports those that apply
// to it. The zero value has none.
type Faults struct {
	// Outage cuts the connection of every request.
	Outage bool `json:"outage"`
	// Hang leaves every request without a reply until the caller cancels it.
	Hang bool `json:"hang"`
	// DelayMs delays every request, in milliseconds.
	DelayMs int `json:"delay-ms"`
	// NumRepliesToLose is the number of further requests that are executed but
	// whose replies are lost. It counts down.
	NumRepliesToLose int `json:"lose-replies"`
	// LagMs is the age in milliseconds of the state that the stand-in reports.
	LagMs int `json:"lag-ms"`
	// TailLagMs delays entries sent to readers of the log, in milliseconds.
	TailLagMs int `json:"tail-lag-ms"`
	// CrashOn ends the process when a request contains this text.
	CrashOn string `json:"crash-on"`
	// Leaving makes an upstream report that it is leaving.
	Leaving bool `json:"leaving"`
	// CutAfterTokens cuts a stream after this many tokens, 0 for never.
	CutAfterTokens int `json:"cut-after"`
	// WrongAttemptIDs makes replies carry the id of another attempt.
	WrongAttemptIDs bool `json:"cross-answers"`
	// TokenMs is the time between tokens, or the duration of a call, in
	// milliseconds.
	TokenMs int `json:"token-ms"`
	// LoadMs is the duration of a load at full speed, in milliseconds.
	LoadMs int `json:"load-ms"`
	// FailLoads makes every load fail.
	FailLoads bool `json:"fail-loads"`
	// DropCacheEventEvery drops every n-th cache event, 0 for none.
	DropCacheEventEvery int `json:"gap-every"`
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

// Change calls f to modify the faults.
func (x *Faulter) Change(f func(*Faults)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(&x.f)
}

// loseReply reports whether to lose the reply of this request, and counts it.
func (x *Faulter) loseReply() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.f.NumRepliesToLose <= 0 {
		return false
	}
	x.f.NumRepliesToLose--
	return true
}

// Wrap returns a handler that applies the faults to h. It serves GET /faults and
// POST /faults itself. Replies are lost only on paths for which lossy reports
// true.
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
