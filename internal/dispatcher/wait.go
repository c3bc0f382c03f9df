package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/router"
)

// await waits until a candidate has room for the request. The grant's Done
// must be called.
func (d *Dispatcher) await(ctx context.Context, req admitter.Request, tried map[string]bool, cands func(time.Time) []router.Candidate) (admitter.Grant, error) {
	d.admit.Do(d.initAdmitter)
	return d.Admitter.Admit(ctx, req, admitter.Source{
		Candidates: cands,
		Choose: func(list []router.Candidate) int {
			return router.Choose(list, tried, rand.New(rand.NewPCG(rand.Uint64(), 0)))
		},
	})
}

func (d *Dispatcher) initAdmitter() {
	d.Admitter.Begin = d.Monitor.Begin
	d.Admitter.Changed = func() (state, load <-chan struct{}) {
		return d.Keeper.Changed(), d.Monitor.Changed()
	}
}
