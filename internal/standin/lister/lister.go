// Package lister stands in for the platform's instance list.
//
// The process that starts and ends instances registers their states over HTTP.
// The list is returned with a configurable lag.
package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosedrift/primrosedrift/internal/standin/faulter"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
)

// Lister lists instances. Its zero value lists none.
type Lister struct {
	Faults faulter.Faulter

	mu       sync.Mutex
	versions []version // ordered by time; the last one is current
}

// version is the list of instances from a point in time on.
type version struct {
	at   time.Time
	list map[string]*platformv1.Instance
}

// Set adds or replaces an instance.
func (l *Lister) Set(in *platformv1.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[string]*platformv1.Instance)
	if n := len(l.versions); n > 0 {
		for k, v := range l.versions[n-1].list {
			list[k] = v
		}
	}
	list[in.GetName()] = in
	l.versions = append(l.versions, version{time.Now(), list})
	if len(l.versions) > 1024 {
		l.versions = l.versions[len(l.versions)-1024:]
	}
}

// List returns the instances as they were Faults.LagMs ago.
func (l *Lister) List(context.Context, *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	asOf := time.Now().Add(-time.Duration(l.Faults.Get().LagMs) * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	resp := &platformv1.ListResponse{}
	for i := len(l.versions) - 1; i >= 0; i-- {
		if l.versions[i].at.After(asOf) {
			continue
		}
		for _, in := range l.versions[i].list {
			resp.Instances = append(resp.Instances, in)
		}
		break
	}
	return connect.NewResponse(resp), nil
}

// update is the body of POST /instances.
type update struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	State       string `json:"state"` // live, leaving or gone
	Role        string `json:"role"`  // entry or upstream
	Incarnation string `json:"incarnation"`
}

var states = map[string]platformv1.InstanceState{
	"live":    platformv1.InstanceState_INSTANCE_STATE_LIVE,
	"leaving": platformv1.InstanceState_INSTANCE_STATE_LEAVING,
	"gone":    platformv1.InstanceState_INSTANCE_STATE_GONE,
}

var roles = map[string]platformv1.InstanceRole{
	"entry":    platformv1.InstanceRole_INSTANCE_ROLE_ENTRY,
	"upstream": platformv1.InstanceRole_INSTANCE_ROLE_UPSTREAM,
}

// Handler serves the list, and POST /instances to add or replace an instance.
func (l *Lister) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewInstanceListQueriesHandler(l))
	mux.HandleFunc("POST /instances", func(w http.ResponseWriter, r *http.Request) {
		var u update
		if err := json.NewDecoder(r.Body).Decode(&u); err != nil || states[u.State] == 0 || roles[u.Role] == 0 {
			http.Error(w, "bad instance", http.StatusBadRequest)
			return
		}
		l.Set(&platformv1.Instance{
			Name: u.Name, Address: u.Address, DataCentre: u.DataCentre,
			State: states[u.State], Role: roles[u.Role], Incarnation: u.Incarnation,
		})
	})
	return l.Faults.Wrap(mux, nil)
}
