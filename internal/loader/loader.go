package loader

import (
	"cmp"
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// DefaultVerdictGrace is the time after its deadline within which a request must
// get its verdict or the rest of its answer.
const DefaultVerdictGrace = 30 * time.Second

// Sender sends requests. Its errors carry verdicts.
type Sender struct {
	Generate func(ctx context.Context, req *callerv1.GenerateRequest, emit func(token string)) error
	Call     func(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error)
}

// Loader runs a Plan. Direct, VerdictGrace and Ran are optional.
type Loader struct {
	Plan Plan
	// Through returns a Sender that sends requests of the customer to the entry
	// instances.
	Through func(customer string) Sender
	// Direct sends directly to the upstreams; required if the plan has a direct share.
	Direct Sender
	// Token returns the expected token of a prompt's answer at an index.
	Token func(prompt string, index uint32) string
	// Body returns the expected body of a method's answer.
	Body func(method string) string
	// VerdictGrace is DefaultVerdictGrace unless set.
	VerdictGrace time.Duration
	// Ran returns how often each key ran according to the services. If it is nil,
	// the keys are not checked.
	Ran func(ctx context.Context) (map[string]int, error)

	start time.Time
	keys  []string
}

// Run runs the plan to its end and returns the report. If ctx ends, no more
// requests are sent, and requests that were not sent are not counted. The error
// is that of Ran; the report is valid without the check of the keys.
func (l *Loader) Run(ctx context.Context) (Report, error) {
	schedule := l.Plan.Schedule()
	l.makeKeys(schedule)
	outcomes := make([]Outcome, len(schedule))
	sent := 0
	l.start = time.Now()
	var wg sync.WaitGroup
	for i, r := range schedule {
		if !l.waitUntil(ctx, r.At) {
			break
		}
		sent++
		wg.Go(func() { outcomes[i] = l.send(context.WithoutCancel(ctx), r) })
	}
	wg.Wait()
	outcomes = outcomes[:sent]
	rep := NewReport(l.Plan, outcomes, time.Since(l.start))
	if l.Ran == nil {
		return rep, nil
	}
	ran, err := l.Ran(context.WithoutCancel(ctx))
	if err != nil {
		return rep, errors.Wrap(err, "fetch run counts from the services")
	}
	rep.IsChecked = true
	rep.Findings = Check(l.Plan.Targets, outcomes, ran, l.key)
	return rep, nil
}

// waitUntil waits for an intended start. It returns false if ctx ends.
func (l *Loader) waitUntil(ctx context.Context, at time.Duration) bool {
	d := time.Until(l.start.Add(at))
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (l *Loader) makeKeys(schedule []Request) {
	maxKey := 0
	for _, r := range schedule {
		maxKey = max(maxKey, r.KeyNumber)
	}
	now := ulid.Now()
	l.keys = make([]string, maxKey+1)
	for k := 1; k <= maxKey; k++ {
		l.keys[k] = ulid.MustNew(now, rand.Reader).String()
	}
}

// key returns the key with the number.
func (l *Loader) key(n int) string {
	return l.keys[n]
}

func (l *Loader) send(ctx context.Context, r Request) Outcome {
	t := l.Plan.Targets[r.TargetIndex]
	ctx, cancel := context.WithTimeout(ctx, t.Deadline.Duration+cmp.Or(l.VerdictGrace, DefaultVerdictGrace))
	defer cancel()
	o := Outcome{Request: r, StartLag: l.sinceStart(r)}
	s := l.Direct
	if !r.IsDirect {
		s = l.Through(t.Customer)
	}
	var err error
	if r.Model != "" {
		err = l.generate(ctx, s, t, &o)
	} else {
		err = l.call(ctx, s, t, &o)
	}
	o.Total = l.sinceStart(r)
	switch {
	case ctx.Err() != nil, err == nil && o.Result != ResultWrongAnswer && o.Result != ResultAnswered:
		o.Result = ResultLost
	case err != nil:
		o.Result, o.Refusal = ResultRefused, verdict.Of(err)
	}
	return o
}

// sinceStart returns the time since the intended start of the request.
func (l *Loader) sinceStart(r Request) time.Duration {
	return time.Since(l.start.Add(r.At))
}

func (l *Loader) generate(ctx context.Context, s Sender, t Target, o *Outcome) error {
	prompt := o.ID
	n := uint32(0)
	last := time.Duration(0)
	err := s.Generate(ctx, &callerv1.GenerateRequest{
		RequestId: o.ID, Customer: t.Customer, Model: o.Model, Adapter: t.Adapter, Prompt: prompt,
		MaxTokens: t.MaxTokens, DeadlineMs: uint32(t.Deadline.Milliseconds()),
	}, func(token string) {
		now := l.sinceStart(o.Request)
		if n == 0 {
			o.FirstToken = now
		} else {
			o.TokenGaps = append(o.TokenGaps, now-last)
		}
		last = now
		if want := l.Token(prompt, n); token != want {
			o.Result, o.Detail = ResultWrongAnswer, "token "+token+" came, "+want+" was due"
		}
		n++
	})
	switch {
	case err != nil:
		return err
	case n != t.MaxTokens:
		o.Result, o.Detail = ResultWrongAnswer, "the answer is not whole"
	case o.Result != ResultWrongAnswer:
		o.Result = ResultAnswered
	}
	return nil
}

func (l *Loader) call(ctx context.Context, s Sender, t Target, o *Outcome) error {
	resp, err := s.Call(ctx, &callerv1.CallRequest{
		RequestId: o.ID, Customer: t.Customer, Service: t.Service, Method: t.Method, Key: l.key(o.KeyNumber),
		DeadlineMs: uint32(t.Deadline.Milliseconds()),
	})
	if err != nil {
		return err
	}
	o.FirstToken = l.sinceStart(o.Request)
	o.Result = ResultAnswered
	if resp.GetRequestId() != o.ID || string(resp.GetBody()) != l.Body(t.Method) {
		o.Result, o.Detail = ResultWrongAnswer, "the answer is that of another request"
	}
	return nil
}
