package conductor

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/arranger"
	"github.com/primrosedrift/primrosedrift/internal/logger"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
)

// resolveConflict requests the upstream's state to find out why an order was
// answered with a conflict. done reports whether the order has taken effect.
func (c *Conductor) resolveConflict(ctx context.Context, e *engine, o arranger.Order) (done bool, err error) {
	sleeper.Sleep(ctx, orderRetryInterval)
	s, err := c.requestState(ctx, e)
	if err != nil {
		c.Log.Info("upstream state unknown", zap.String("upstream", e.up.ID), logger.Error(err))
		return false, nil
	}
	if err := c.abortIfRestarted(e, s); err != nil {
		return false, err
	}
	if s.NumOrders <= e.numOrders {
		return false, nil // another order is in flight, or the report is out of date
	}
	before := e.numOrders
	isAsPlanned := sameModels(e.models, s.Models)
	c.mu.Lock()
	e.setState(s, time.Now())
	c.viewsChanged = true
	c.mu.Unlock()
	i := slices.IndexFunc(s.Models, func(m registrar.Model) bool { return m.Name == o.Model })
	isLoaded := i >= 0 && (o.Adapter == "" || slices.Contains(s.Models[i].Adapters, o.Adapter))
	if s.NumOrders == before+1 && isLoaded == (o.Operation == arranger.Load) {
		return true, nil
	}
	if s.IsBusy && s.NumOrders == before+1 && o.Operation == arranger.Load && o.Adapter == "" {
		return true, c.awaitLoad(ctx, e, o)
	}
	if isAsPlanned && !s.IsBusy {
		return false, nil // the order is sent again with the right number
	}
	return false, errors.Wrap(errMoveAborted, "models of the upstream differ from those of the plan")
}

// sameModels reports whether both lists name the same models and adapters.
func sameModels(a, b []registrar.Model) bool {
	return slices.Equal(modelNames(a), modelNames(b))
}

func modelNames(models []registrar.Model) []string {
	var out []string
	for _, m := range models {
		out = append(out, m.Name)
		for _, a := range m.Adapters {
			out = append(out, m.Name+"/"+a)
		}
	}
	slices.Sort(out)
	return out
}
