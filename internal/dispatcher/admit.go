package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/router"
)

// refineFunc adds the properties that a candidate has for one request only, and
// reports whether the request may use it.
type refineFunc func(router.Candidate) (router.Candidate, bool)

// admit waits until a candidate has a free slot for the request. The candidates
// are the same for all requests of a target; refine, if not nil, adapts them to
// this request. The caller must call the grant's Done. The request ends by deadline, and its route
// tells how long it is expected to run.
func (d *Dispatcher) admit(ctx context.Context, req admitter.Request, route string, deadline time.Time, tried map[string]bool, candidates func(time.Time) []router.Candidate, refine refineFunc) (admitter.Grant, error) {
	d.initOnce.Do(d.initAdmitter)
	return d.admitUnlessStopping(ctx, route, deadline, func(ctx context.Context) (admitter.Grant, error) {
		return d.Admitter.Admit(ctx, req, admitter.Source{
			Candidates: candidates,
			Choose:     func(list []router.Candidate) int { return choose(list, tried, refine) },
		})
	})
}

// choose returns the index in list of the candidate to use, -1 if there is none.
func choose(list []router.Candidate, tried map[string]bool, refine refineFunc) int {
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	if refine == nil {
		return router.Choose(list, tried, rng)
	}
	refined := make([]router.Candidate, 0, len(list))
	index := make([]int, 0, len(list))
	for i, c := range list {
		if r, ok := refine(c); ok {
			refined = append(refined, r)
			index = append(index, i)
		}
	}
	i := router.Choose(refined, tried, rng)
	if i < 0 {
		return -1
	}
	return index[i]
}

func (d *Dispatcher) initAdmitter() {
	d.Admitter.Begin = d.Monitor.Begin
	d.Admitter.Changed = func() (state, load <-chan struct{}) {
		return d.Keeper.Changed(), d.Monitor.Changed()
	}
}
