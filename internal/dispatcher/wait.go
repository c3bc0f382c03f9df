package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/router"
)

// refiner tells what one request knows of a candidate, and whether it may use it.
type refiner func(router.Candidate) (router.Candidate, bool)

// await waits until a candidate has room for the request. The candidates are
// the same for all requests of a target; refine, if set, tells them apart for
// this one. The grant's Done must be called.
func (d *Dispatcher) await(ctx context.Context, req admitter.Request, tried map[string]bool, cands func(time.Time) []router.Candidate, refine refiner) (admitter.Grant, error) {
	d.admit.Do(d.initAdmitter)
	return d.Admitter.Admit(ctx, req, admitter.Source{
		Candidates: cands,
		Choose:     func(list []router.Candidate) int { return choose(list, tried, refine) },
	})
}

func choose(list []router.Candidate, tried map[string]bool, refine refiner) int {
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
