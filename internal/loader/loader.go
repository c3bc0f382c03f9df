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

// DefaultGrace is how long after its deadline a request may get its verdict,
// or the rest of its answer.
const DefaultGrace = 30 * time.Second

// Sender sends requests. The errors are verdicts.
type Sender struct {
	Generate func(ctx context.Context, req *callerv1.GenerateRequest, emit func(token string)) error
	Call     func(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error)
}

// Loader runs a Plan. Its function fields must be set.
type Loader struct {
	Plan Plan
	// Through returns the sender of a customer through the system.
	Through func(customer string) Sender
	// Direct sends straight to the upstreams; needed if the plan has a direct share.
	Direct Sender
	// Token returns the token that a prompt's answer has at an index.
	Token func(prompt string, index uint32) string
	// Body returns the body that a method's answer has.
	Body func(method string) string
	// Grace is DefaultGrace unless set.
	Grace time.Duration
	// Ran returns how often each key ran, nil if nobody can say.
	Ran func(ctx context.Context) (map[string]int, error)

	start time.Time
	keys  []string
}

// Run runs the plan to its end and returns its report. If ctx ends, requests
// that were not sent are not counted.
func (l *Loader) Run(ctx context.Context) (Report, error) {
	schedule := l.Plan.Schedule()
	l.makeKeys(schedule)
	outcomes := make([]Outcome, len(schedule))
	sent := 0
	l.start = time.Now()
	var wg sync.WaitGroup
	for i, r := range schedule {
		if !l.wait(ctx, r.At) {
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
		return rep, errors.Wrap(err, "ask the services what they ran")
	}
	rep.Checked = true
	rep.Findings = Check(l.Plan.Targets, outcomes, ran, l.key)
	return rep, nil
}

// wait waits for an intended start and reports whether the run goes on.
func (l *Loader) wait(ctx context.Context, at time.Duration) bool {
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
	most := 0
	for _, r := range schedule {
		most = max(most, r.Key)
	}
	now := ulid.Now()
	l.keys = make([]string, most+1)
	for k := 1; k <= most; k++ {
		l.keys[k] = ulid.MustNew(now, rand.Reader).String()
	}
}

func (l *Loader) key(n int) string {
	return l.keys[n]
}

func (l *Loader) send(ctx context.Context, r Request) Outcome {
	t := l.Plan.Targets[r.Target]
	ctx, cancel := context.WithTimeout(ctx, t.Deadline.Duration+cmp.Or(l.Grace, DefaultGrace))
	defer cancel()
	o := Outcome{Request: r, Lag: l.since(r)}
	s := l.Direct
	if !r.Direct {
		s = l.Through(t.Customer)
	}
	var err error
	if r.Model != "" {
		err = l.generate(ctx, s, t, &o)
	} else {
		err = l.call(ctx, s, t, &o)
	}
	o.Total = l.since(r)
	switch {
	case ctx.Err() != nil, err == nil && o.Ending != Wrong && o.Ending != Answered:
		o.Ending = Lost
	case err != nil:
		o.Ending, o.Refusal = Refused, verdict.Of(err)
	}
	return o
}

func (l *Loader) since(r Request) time.Duration {
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
		now := l.since(o.Request)
		if n == 0 {
			o.First = now
		} else {
			o.Gaps = append(o.Gaps, now-last)
		}
		last = now
		if want := l.Token(prompt, n); token != want {
			o.Ending, o.Detail = Wrong, "token "+token+" came, "+want+" was due"
		}
		n++
	})
	switch {
	case err != nil:
		return err
	case n != t.MaxTokens:
		o.Ending, o.Detail = Wrong, "the answer is not whole"
	case o.Ending != Wrong:
		o.Ending = Answered
	}
	return nil
}

func (l *Loader) call(ctx context.Context, s Sender, t Target, o *Outcome) error {
	resp, err := s.Call(ctx, &callerv1.CallRequest{
		RequestId: o.ID, Customer: t.Customer, Service: t.Service, Method: t.Method, Key: l.key(o.Key),
		DeadlineMs: uint32(t.Deadline.Milliseconds()),
	})
	if err != nil {
		return err
	}
	o.First = l.since(o.Request)
	o.Ending = Answered
	if resp.GetRequestId() != o.ID || string(resp.GetBody()) != l.Body(t.Method) {
		o.Ending, o.Detail = Wrong, "the answer is that of another request"
	}
	return nil
}
