package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/settings"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

const planText = `
seed = 7
length = "200ms"
[[targets]]
name = "roadside"
customer = "tolwerk"
rate = 200.0
models = ["levy-status", "vehicle-status"]
max-tokens = 3
deadline = "50ms"
[[targets]]
name = "debit"
customer = "tolwerk"
rate = 200.0
service = "kernheffing"
method = "debit"
never-twice = true
resend-share = 0.5
deadline = "50ms"
`

func testPlan(t *testing.T) Plan {
	p, err := ParsePlan("plan.toml", []byte(planText))
	require.NoError(t, err)
	return p
}

func token(prompt string, i uint32) string {
	return prompt + "-" + strconv.Itoa(int(i))
}

// upstream responds like the stand-ins and counts how often each key ran.
type upstream struct {
	runCounts map[string]int
	mu        chan struct{}
}

func newUpstream() *upstream {
	return &upstream{runCounts: make(map[string]int), mu: make(chan struct{}, 1)}
}

func (u *upstream) generate(_ context.Context, req *callerv1.GenerateRequest, emit func(string)) error {
	for i := range req.GetMaxTokens() {
		emit(token(req.GetPrompt(), i))
	}
	return nil
}

func (u *upstream) call(_ context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
	u.mu <- struct{}{}
	defer func() { <-u.mu }()
	if u.runCounts[req.GetKey()] == 0 {
		u.runCounts[req.GetKey()]++
	}
	return &callerv1.CallResponse{RequestId: req.GetRequestId(), Body: []byte(req.GetMethod() + " done")}, nil
}

func testLoader(t *testing.T, u *upstream, s Sender) *Loader {
	return &Loader{
		Plan: testPlan(t), SystemSender: func(string) Sender { return s }, ExpectedToken: token,
		ExpectedBody: func(m string) string { return m + " done" },
		Grace:        50 * time.Millisecond,
		RunCounts:    func(context.Context) (map[string]int, error) { return u.runCounts, nil },
	}
}

func TestScheduleIsDeterministic(t *testing.T) {
	p := testPlan(t)
	a, b := p.Schedule(), p.Schedule()
	require.Equal(t, a, b)
	p.Seed++
	require.NotEqual(t, a, p.Schedule())
	ids := make(map[string]bool)
	keys := make(map[int]int)
	for i, r := range a {
		require.False(t, ids[r.ID], r.ID)
		ids[r.ID] = true
		require.True(t, i == 0 || a[i-1].At <= r.At)
		keys[r.Key]++
		require.Equal(t, r.IsResend, r.Key > 0 && keys[r.Key] > 1)
	}
}

func TestScheduleKeepsRate(t *testing.T) {
	p := testPlan(t).WithLength(time.Minute).WithFactor(0.5)
	first := 0
	for _, r := range p.Schedule() {
		if !r.IsResend {
			first++
		}
	}
	require.InDelta(t, 2*100*60, first, 600)
}

// TestReportShowsEveryEnding injects one fault per row, except in the first, and
// checks that the report shows it. All faults but a refusal make the run unclean.
func TestReportShowsEveryEnding(t *testing.T) {
	tests := []struct {
		name        string
		isClean     bool
		injectFault func(u *upstream, s *Sender)
		check       func(t *testing.T, r Report)
	}{
		{"no fault", true, func(*upstream, *Sender) {}, func(t *testing.T, r Report) {
			require.Equal(t, r.All.Sent, r.All.Answered)
		}},
		{"refused", true, func(_ *upstream, s *Sender) {
			s.Generate = func(context.Context, *callerv1.GenerateRequest, func(string)) error {
				return verdict.Refuse(verdict.ReasonQueueFull, time.Second, "full")
			}
		}, func(t *testing.T, r Report) {
			require.Equal(t, r.Targets[0].Sent, r.Targets[0].Reasons["queue-full (not-run)"])
		}},
		{"tokens of another request", false, func(_ *upstream, s *Sender) {
			s.Generate = func(_ context.Context, req *callerv1.GenerateRequest, emit func(string)) error {
				for i := range req.GetMaxTokens() {
					emit(token("another", i))
				}
				return nil
			}
		}, func(t *testing.T, r Report) { require.Equal(t, r.Targets[0].Sent, r.Targets[0].Wrong) }},
		{"incomplete response", false, func(_ *upstream, s *Sender) {
			s.Generate = func(_ context.Context, req *callerv1.GenerateRequest, emit func(string)) error {
				emit(token(req.GetPrompt(), 0))
				return nil
			}
		}, func(t *testing.T, r Report) { require.Equal(t, r.Targets[0].Sent, r.Targets[0].Wrong) }},
		{"response to another request", false, func(u *upstream, s *Sender) {
			s.Call = func(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
				resp, err := u.call(ctx, req)
				resp.RequestId = "another"
				return resp, err
			}
		}, func(t *testing.T, r Report) { require.Equal(t, r.Targets[1].Sent, r.Targets[1].Wrong) }},
		{"no verdict", false, func(_ *upstream, s *Sender) {
			s.Generate = func(ctx context.Context, _ *callerv1.GenerateRequest, _ func(string)) error {
				<-ctx.Done()
				return ctx.Err()
			}
		}, func(t *testing.T, r Report) { require.Equal(t, r.Targets[0].Sent, r.Targets[0].Lost) }},
		{"run twice", false, func(u *upstream, s *Sender) {
			s.Call = func(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
				resp, err := u.call(ctx, req)
				u.mu <- struct{}{}
				u.runCounts[req.GetKey()] = 2
				<-u.mu
				return resp, err
			}
		}, func(t *testing.T, r Report) { require.Positive(t, r.RunTwice) }},
		{"false not-run", false, func(u *upstream, s *Sender) {
			s.Call = func(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
				_, _ = u.call(ctx, req)
				return nil, verdict.Refuse(verdict.ReasonUpstreamFailed, 0, "not run")
			}
		}, func(t *testing.T, r Report) { require.Positive(t, r.FalseNotRun) }},
		{"answered without a run", false, func(_ *upstream, s *Sender) {
			s.Call = func(_ context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
				return &callerv1.CallResponse{RequestId: req.GetRequestId(), Body: []byte(req.GetMethod() + " done")}, nil
			}
		}, func(t *testing.T, r Report) { require.Positive(t, r.NeverRan) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream()
			s := Sender{Generate: u.generate, Call: u.call}
			tt.injectFault(u, &s)
			r, err := testLoader(t, u, s).Run(context.Background())
			require.NoError(t, err)
			require.Equal(t, tt.isClean, r.IsClean(), "%+v", r)
			tt.check(t, r)
		})
	}
}

// TestLatencyCountsFromIntendedStart checks that latency includes a delay before
// the request is sent.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	u := newUpstream()
	l := testLoader(t, u, Sender{Generate: u.generate, Call: u.call})
	l.makeKeys(l.Plan.Schedule())
	l.start = time.Now().Add(-time.Second)
	o := l.send(context.Background(), Request{ID: "late", Model: "levy-status"})
	require.Equal(t, Answered, o.Ending)
	require.GreaterOrEqual(t, o.FirstToken, time.Second)
	require.GreaterOrEqual(t, o.StartLag, time.Second)
}

func TestReportFormats(t *testing.T) {
	u := newUpstream()
	r, err := testLoader(t, u, Sender{Generate: u.generate, Call: u.call}).Run(context.Background())
	require.NoError(t, err)
	var text, svg bytes.Buffer
	require.NoError(t, r.WriteText(&text))
	require.Contains(t, text.String(), " 0 lost, 0 run twice\n")
	require.NoError(t, r.WriteSVG(&svg))
	require.Contains(t, svg.String(), "<svg")
	data, err := json.Marshal(r)
	require.NoError(t, err)
	require.Contains(t, string(data), `"run-twice":0`)
}

func TestPlanFaults(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"no target", `seed = 1`, "needs at least one target"},
		{"unknown key", "sed = 1", "unknown key"},
		{"no rate", "[[targets]]\nname='a'\ncustomer='c'\nmodels=['m']", "must be above zero"},
		{"nan rate", "[[targets]]\nname='a'\ncustomer='c'\nmodels=['m']\nrate=nan", "must be above zero"},
		{"models and service", "[[targets]]\nname='a'\ncustomer='c'\nmodels=['m']\nservice='s'\nrate=1.0", "either models or a service"},
		{"resend share", "[[targets]]\nname='a'\ncustomer='c'\nservice='s'\nrate=1.0\nresend-share=2.0", "from 0 to 1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParsePlan("plan.toml", []byte(tt.text))
			require.ErrorContains(t, err, tt.want)
			require.ErrorAs(t, err, new(settings.Faults))
		})
	}
}
