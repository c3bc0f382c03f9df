package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// await waits until a candidate has room.
func (d *Dispatcher) await(ctx context.Context, until time.Time, tried map[string]bool, cands func(time.Time) []router.Candidate) (router.Candidate, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		state, load := d.Keeper.Changed(), d.Monitor.Changed()
		list := cands(time.Now())
		if i := router.Choose(list, tried, rand.New(rand.NewPCG(rand.Uint64(), 0))); i >= 0 {
			return list[i], nil
		}
		select {
		case <-ctx.Done():
			return router.Candidate{}, verdict.Refuse(verdict.ReasonCanceled, 0, "caller went away")
		case <-timer.C:
			return router.Candidate{}, verdict.Refuse(verdict.ReasonDeadline, comeBackLater, "no upstream had room in time")
		case <-state:
		case <-load:
		}
	}
}
