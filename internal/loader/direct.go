package loader

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/attempter"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// directKeep is how long a Straight keeps what is in force.
const directKeep = 500 * time.Millisecond

// Straight sends requests straight to the upstreams that hold what they need.
type Straight struct {
	// InForce returns what is in force.
	InForce func(ctx context.Context) (*operatorv1.GetResponse, error)
	HTTP    *http.Client

	mu    sync.Mutex
	known *operatorv1.GetResponse
	until time.Time
	turn  int
}

// Sender returns the functions that send.
func (s *Straight) Sender() Sender {
	return Sender{Generate: s.generate, Call: s.call}
}

func (s *Straight) get(ctx context.Context) (*operatorv1.GetResponse, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn++
	if time.Now().Before(s.until) {
		return s.known, s.turn, nil
	}
	got, err := s.InForce(ctx)
	if err != nil {
		return nil, 0, errors.Wrap(err, "ask what is in force")
	}
	s.known, s.until = got, time.Now().Add(directKeep)
	return got, s.turn, nil
}

func (s *Straight) generate(ctx context.Context, req *callerv1.GenerateRequest, emit func(token string)) error {
	got, turn, err := s.get(ctx)
	if err != nil {
		return err
	}
	var fit []*operatorv1.ReplicaView
	for _, r := range got.GetReplicas() {
		if r.GetModel() == req.GetModel() && r.GetState() == "loaded" && holds(r, req.GetAdapter()) {
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 {
		return verdict.Refuse(verdict.ReasonNoUpstream, 0, "no replica of %q is loaded", req.GetModel())
	}
	r := fit[turn%len(fit)]
	for _, u := range upstreams(got) {
		if u.GetName() != r.GetUpstream() {
			continue
		}
		a := attempter.Attempter{HTTP: s.HTTP}
		_, err := a.Generate(ctx, u.GetAddress(), &upstreamv1.GenerateRequest{
			Model: req.GetModel(), Adapter: req.GetAdapter(), Replica: r.GetId(), Prompt: req.GetPrompt(), MaxTokens: req.GetMaxTokens(),
		}, func(_ uint32, token string) error {
			emit(token)
			return nil
		})
		return err
	}
	return verdict.Refuse(verdict.ReasonNoUpstream, 0, "upstream %q is not in force", r.GetUpstream())
}

func holds(r *operatorv1.ReplicaView, adapter string) bool {
	return adapter == "" || slices.Contains(r.GetAdapters(), adapter)
}

func (s *Straight) call(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
	got, turn, err := s.get(ctx)
	if err != nil {
		return nil, err
	}
	var fit []*recordv1.Upstream
	for _, u := range upstreams(got) {
		if u.GetService() == req.GetService() {
			fit = append(fit, u)
		}
	}
	if len(fit) == 0 {
		return nil, verdict.Refuse(verdict.ReasonNoUpstream, 0, "no upstream gives %q", req.GetService())
	}
	a := attempter.Attempter{HTTP: s.HTTP}
	body, err := a.Call(ctx, fit[turn%len(fit)].GetAddress(), &upstreamv1.CallRequest{
		Method: req.GetMethod(), Body: req.GetBody(), Key: req.GetKey(),
	})
	if err != nil {
		return nil, err
	}
	return &callerv1.CallResponse{RequestId: req.GetRequestId(), Body: body}, nil
}

func upstreams(got *operatorv1.GetResponse) []*recordv1.Upstream {
	var out []*recordv1.Upstream
	for _, o := range got.GetObjects() {
		if u := o.GetUpstream(); u != nil {
			out = append(out, u)
		}
	}
	return out
}
