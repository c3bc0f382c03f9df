package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/drainer"
	"github.com/primrosedrift/primrosedrift/internal/sleeper"
	"github.com/primrosedrift/primrosedrift/internal/stopper"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const (
	// locateMargin is how much longer than a cached response of Locate a stopping instance accepts
	// requests, at most 1/acceptShare of the time of the stop.
	locateMargin = time.Second
	acceptShare  = 3
	// otherDrainTime is how long requests of peers and of debugging may run on at the end of a stop.
	otherDrainTime = 100 * time.Millisecond
)

// untilStop returns a handler that ends the contexts of its requests when a stop has to answer them.
// Responses during a stop state that the connection closes.
func (e *Entry) untilStop(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer e.halt.OnEnd(func() { cancel(stopper.ErrEnded) })()
		h.ServeHTTP(&closingWriter{ResponseWriter: w, halt: &e.halt}, r.WithContext(ctx))
	})
}

// closingWriter states in a response whose head is sent during a stop that the connection closes.
type closingWriter struct {
	http.ResponseWriter
	halt    *stopper.Stop
	hasHead bool
}

// Unwrap returns the writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush sends what was written, for packages that don't use http.ResponseController.
func (w *closingWriter) Flush() {
	w.close()
	_ = http.NewResponseController(w.ResponseWriter).Flush() // a later write reports the error
}

func (w *closingWriter) close() {
	if w.hasHead {
		return
	}
	w.hasHead = true
	if _, isStopping := w.halt.Schedule(); isStopping {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader sends the head.
func (w *closingWriter) WriteHeader(status int) {
	w.close()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.close()
	return w.ResponseWriter.Write(b)
}

// checkAccepts refuses requests that arrive when a stop accepts no more.
func (e *Entry) checkAccepts() error {
	plan, ok := e.halt.Schedule()
	if !ok || time.Now().Before(plan.Refuse) {
		return nil
	}
	return verdict.Refuse(verdict.ReasonStopping, time.Second, "this entry instance stops")
}

// endedByStop returns err, with the reason of the stop if this has ended the request.
func endedByStop(ctx context.Context, err error) error {
	if err == nil || !stopper.HasEnded(ctx) {
		return err
	}
	r := verdict.FromError(err)
	r.Reason, r.RetryAfter = verdict.ReasonStopping, time.Second
	if r.Ran == verdict.MayHaveRun {
		r.RetryAfter = 0
	}
	r.Detail = "the instance has stopped: " + r.Detail
	return r
}

// streamError returns the error for the caller of a stream. A stream that a stop has cut carries
// no verdict, like one that breaks off, so that the caller resumes it elsewhere.
func streamError(err error, refused error) error {
	if r := verdict.FromError(err); r.Reason == verdict.ReasonStopping && r.Ran == verdict.MayHaveRun {
		return connect.NewError(connect.CodeUnavailable, errors.Newf("%s", r.Error()))
	}
	return refused
}

// stop ends the requests and closes the servers. Locate no longer returns this instance.
func (e *Entry) stop(s servers) {
	late := e.pauses.Late(clocker.SinceStart())
	after := e.Settings.Timing.StopAfter.Duration
	plan := stopper.Plan(time.Now(), late, after)
	plan.Refuse = plan.Signaled.Add(min(e.Settings.Timing.LocateKeep.Duration+locateMargin, after/acceptShare))
	e.watcher.SetLeaving()
	e.halt.Begin(plan)
	e.Log.Info("shutdown started; Locate no longer returns this instance", zap.Duration("stop-after", after), zap.Duration("late", late),
		zap.Duration("until-refuse", time.Until(plan.Refuse)), zap.Duration("until-answer", time.Until(plan.Answer)), zap.Duration("until-close", time.Until(plan.Close)))
	e.controller.Wake()
	ctx, cancel := e.halt.EndInTime(context.Background())
	defer cancel()
	sleeper.Sleep(ctx, time.Until(plan.Refuse))
	e.drain(ctx, s.ending)
	othersCtx, cancelOthers := context.WithTimeout(context.Background(), otherDrainTime)
	defer cancelOthers()
	e.drain(othersCtx, s.others)
}

func (e *Entry) drain(ctx context.Context, servers []*drainer.Server) {
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			if err := s.DrainUntil(ctx); err != nil {
				e.Log.Warn("graceful shutdown incomplete", zap.Error(err))
			}
		})
	}
	wg.Wait()
}
