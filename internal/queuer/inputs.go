package queuer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// Limit says which time limit a request's latest start time comes from, in kebab case.
type Limit string

// Limits.
const (
	LimitDeadline     Limit = "deadline"      // the client's deadline
	LimitRouteTimeout Limit = "route-timeout" // the timeout of the route
	LimitEventTimeout Limit = "event-timeout" // how long a client waits for an event
)

// inputs are what decides whether a request can start in time, for the log.
type inputs struct {
	timeLeft time.Duration // until the latest start time, negative if it has passed
	limit    Limit
	software *string // the only software version that may run the request
	// numUpstreams counts the upstreams that may run the request. The others count those of
	// them that have the model loaded, are loading it, or have a copy of its weights.
	numUpstreams, loaded, loading, inHostMemory, onDisk int
	silence                                             time.Duration // of the conductor, 0 if there is one
}

// inputsOf returns what decides whether the request can start in time.
func (t *Table) inputsOf(req Request, s *registrar.Snapshot, cfg *matcher.Config, now time.Time) inputs {
	in := inputs{timeLeft: req.StartBy.Sub(now), limit: req.StartByLimit, software: req.Software}
	if !t.HasConductor {
		in.silence = t.ConductorSilence
	}
	list := req.candidates(s)
	in.numUpstreams = len(list)
	if svc := cfg.Services[req.Service]; req.Model == "" || svc.Engine == nil {
		return in
	}
	for _, u := range list {
		m, ok := u.Model(req.Model)
		switch {
		case ok && m.ReadyAt.IsZero():
			in.loaded++
		case ok:
			in.loading++
		case slices.Contains(u.InHostMemory, req.Model):
			in.inHostMemory++
		case slices.Contains(u.OnDisk, req.Model):
			in.onDisk++
		}
	}
	return in
}

// String returns the inputs for the reason of a refusal.
func (in inputs) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v left until the %s", in.timeLeft.Round(time.Millisecond), in.limit)
	if in.software != nil {
		fmt.Fprintf(&b, ", only at software version %q", *in.software)
	}
	fmt.Fprintf(&b, ", upstreams %d: loaded %d, loading %d, in host memory %d, on disk %d", in.numUpstreams, in.loaded, in.loading, in.inHostMemory, in.onDisk)
	if in.silence > 0 {
		fmt.Fprintf(&b, ", no conductor for %v", in.silence.Round(time.Millisecond))
	}
	return b.String()
}
