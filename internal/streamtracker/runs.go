package streamtracker

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxRuns bounds the requests that are remembered from the states of upstreams.
const maxRuns = 1 << 15

// runs holds what upstreams have said about the requests that they run. Its zero value is ready to use.
type runs struct {
	mu   sync.Mutex
	list *simplelru.LRU[string, run] // by request
}

type run struct {
	service, software string
	until             time.Time
	// isAmbiguous says that upstreams of several versions ran the request: an attempt that was given up
	// may go on.
	isAmbiguous bool
}

// RecordRuns records that a process of a software version runs requests and has sent events for them. An
// instance that has just started learns in this way what began before it.
func (k *Keeper) RecordRuns(service, software string, requests []string, now time.Time) {
	k.runs.mu.Lock()
	defer k.runs.mu.Unlock()
	if k.runs.list == nil {
		k.runs.list, _ = simplelru.NewLRU[string, run](maxRuns, nil) // fails only for a size below one
	}
	for _, id := range requests {
		known, isKnown := k.runs.list.Peek(id)
		isOther := isKnown && (known.isAmbiguous || known.service != service || known.software != software)
		k.runs.list.Add(id, run{service, software, now.Add(StreamMemory), isOther && now.Before(known.until)})
	}
}

// FindRun returns the origin of a stream that an upstream has been seen to run. Any record of an attempt
// takes precedence over it.
func (k *Keeper) FindRun(stream, service string, now time.Time) (Origin, bool) {
	k.runs.mu.Lock()
	defer k.runs.mu.Unlock()
	if k.runs.list == nil {
		return Origin{}, false
	}
	r, ok := k.runs.list.Peek(stream)
	if !ok || r.isAmbiguous || r.service != service || !now.Before(r.until) {
		return Origin{}, false
	}
	return Origin{Stream: stream, Service: service, Software: r.software, TTL: r.until.Sub(now)}, true
}
