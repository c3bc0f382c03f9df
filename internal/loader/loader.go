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

// DefaultGrace is how long after its deadline a request may still receive its
// verdict or the rest of its response.
const DefaultGrace = 30 * time.Second

// Sender sends requests. verdict.FromError returns the verdict in an error of its
// functions.
type Sender struct {
	Generate func(ctx context.Context, req *callerv1.GenerateRequest, emit func(token string)) error
	Call     func(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error)
}

// Loader runs a Plan. SystemSender, ExpectedToken and ExpectedBody must be set.
type Loader struct {
	Plan Plan
	// SystemSender returns the Sender that sends a customer's requests to the entry
	// instances.
	SystemSender func(customer string) Sender
	// Direct sends directly to the upstreams. It must be set if the plan has a
	// direct share.
	Direct Sender
	// ExpectedToken returns the expected token at an index of the response to a
	// prompt.
	ExpectedToken func(prompt string, index uint32) string
	// ExpectedBody returns the expected response body of a method.
	ExpectedBody func(method string) string
	// Grace is DefaultGrace if zero.
	Grace time.Duration
	// RunCounts returns how often each key ran. If it is nil, the keys are not
	// checked.
	RunCounts func(ctx context.Context) (map[string]int, error)

	start time.Time
	keys  []string
}

// Run sends all requests of the plan, waits for their outcomes and returns the
// report. If ctx ends, the remaining requests are neither sent nor counted.
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
	if l.RunCounts == nil {
		return rep, nil
	}
	runCounts, err := l.RunCounts(context.WithoutCancel(ctx))
	if err != nil {
		return rep, errors.Wrap(err, "get run counts from the services")
	}
	rep.HasRunCounts = true
	rep.Findings = Check(l.Plan.Targets, outcomes, runCounts, l.key)
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
		maxKey = max(maxKey, r.Key)
	}
	now := ulid.Now()
	l.keys = make([]string, maxKey+1)
	for k := 1; k <= maxKey; k++ {
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
	o := Outcome{Request: r, StartLag: l.elapsed(r)}
	s := l.Direct
	if !r.IsDirect {
		s = l.SystemSender(t.Customer)
	}
	var err error
	if r.Model != "" {
		err = l.generate(ctx, s, t, &o)
	} else {
		err = l.call(ctx, s, t, &o)
	}
	o.Total = l.elapsed(r)
	switch {
	case ctx.Err() != nil, err == nil && o.Ending != Wrong && o.Ending != Answered:
		o.Ending = Lost
	case err != nil:
		o.Ending, o.Refusal = Refused, verdict.FromError(err)
	}
	return o
}

func (l *Loader) elapsed(r Request) time.Duration {
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
		now := l.elapsed(o.Request)
		if n == 0 {
			o.FirstToken = now
		} else {
			o.TokenGaps = append(o.TokenGaps, now-last)
		}
		last = now
		if want := l.ExpectedToken(prompt, n); token != want {
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
	o.FirstToken = l.elapsed(o.Request)
	o.Ending = Answered
	if resp.GetRequestId() != o.ID || string(resp.GetBody()) != l.ExpectedBody(t.Method) {
		o.Ending, o.Detail = Wrong, "the answer is that of another request"
	}
	return nil
}
