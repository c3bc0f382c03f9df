package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// stopRetryDelay is the retry delay of a request that a stop refuses. Other instances may
// serve it at once.
const stopRetryDelay = time.Second

// refuseForStop refuses a request that is not expected to end before a stop of the instance does.
// deadline is the time by which it has ended in any case, zero for a stream, which has none.
func (d *Dispatcher) refuseForStop(route string, deadline time.Time) error {
	plan, ok := d.Stop.Schedule()
	if !ok {
		return nil
	}
	now, takes := time.Now(), d.Stop.Expect(route)
	if deadline.IsZero() {
		if takes == 0 {
			return nil // its caller resumes it elsewhere if the stop cuts it
		}
		deadline = now.Add(takes)
	}
	f := plan.Fit(takes, now, deadline)
	if f.Fits {
		return nil
	}
	return verdict.Refuse(verdict.ReasonStopping, stopRetryDelay, "the instance stops in %v, and the request is expected to take %v",
		f.Left.Round(time.Millisecond), f.Expected.Round(time.Millisecond))
}

// RefuseCallForStop refuses a call that is not expected to end before a stop of the instance does,
// and takes at most timeout.
func (d *Dispatcher) RefuseCallForStop(req *callerv1.CallRequest, timeout time.Duration) error {
	return d.refuseForStop(callRoute(req), time.Now().Add(timeout))
}

// RefuseGenerateForStop is the same for a request to a model.
func (d *Dispatcher) RefuseGenerateForStop(req *callerv1.GenerateRequest) error {
	return d.refuseForStop(generateRoute(req), time.Time{})
}

func callRoute(req *callerv1.CallRequest) string {
	return "call " + req.GetService() + " " + req.GetMethod()
}

func generateRoute(req *callerv1.GenerateRequest) string { return "generate " + req.GetModel() }

// admitUnlessStopping admits a request as admit does. If a stop of the instance begins before the
// request can be sent, it is refused unless it is expected to end in time.
func (d *Dispatcher) admitUnlessStopping(ctx context.Context, route string, deadline time.Time, admit func(context.Context) (admitter.Grant, error)) (admitter.Grant, error) {
	if err := d.refuseForStop(route, deadline); err != nil {
		return admitter.Grant{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer d.Stop.OnBegin(func() {
		if err := d.refuseForStop(route, deadline); err != nil {
			cancel(err)
		}
	})()
	g, err := admit(ctx)
	var refusal verdict.Refusal
	switch {
	case err != nil && errors.As(context.Cause(ctx), &refusal):
		return g, refusal
	case err != nil:
		return g, err
	}
	if err := d.refuseForStop(route, deadline); err != nil { // the time that it has waited is gone
		g.Done()
		return admitter.Grant{}, err
	}
	return g, nil
}
