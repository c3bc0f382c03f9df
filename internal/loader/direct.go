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

// configTTL is how long a Straight caches the configuration in force.
const configTTL = 500 * time.Millisecond

// Straight sends requests directly to upstreams that have the replica or the
// service, in round-robin order.
type Straight struct {
	// InForce fetches the configuration in force and the replicas.
	InForce func(ctx context.Context) (*operatorv1.GetResponse, error)
	HTTP    *http.Client

	mu          sync.Mutex
	cached      *operatorv1.GetResponse
	cachedUntil time.Time
	numRequests int
}

// Sender returns a Sender that sends directly to the upstreams.
func (s *Straight) Sender() Sender {
	return Sender{Generate: s.generate, Call: s.call}
}

// config returns the configuration in force, at most configTTL old, and the
// number of the request, which selects among upstreams.
func (s *Straight) config(ctx context.Context) (*operatorv1.GetResponse, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numRequests++
	if time.Now().Before(s.cachedUntil) {
		return s.cached, s.numRequests, nil
	}
	got, err := s.InForce(ctx)
	if err != nil {
		return nil, 0, errors.Wrap(err, "get configuration in force")
	}
	s.cached, s.cachedUntil = got, time.Now().Add(configTTL)
	return got, s.numRequests, nil
}

func (s *Straight) generate(ctx context.Context, req *callerv1.GenerateRequest, emit func(token string)) error {
	got, n, err := s.config(ctx)
	if err != nil {
		return err
	}
	var candidates []*operatorv1.ReplicaView
	for _, r := range got.GetReplicas() {
		if r.GetModel() == req.GetModel() && r.GetState() == "loaded" && hasAdapter(r, req.GetAdapter()) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return verdict.Refuse(verdict.ReasonNoUpstream, 0, "no replica of %q is loaded", req.GetModel())
	}
	r := candidates[n%len(candidates)]
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

func hasAdapter(r *operatorv1.ReplicaView, adapter string) bool {
	return adapter == "" || slices.Contains(r.GetAdapters(), adapter)
}

func (s *Straight) call(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
	got, n, err := s.config(ctx)
	if err != nil {
		return nil, err
	}
	var candidates []*recordv1.Upstream
	for _, u := range upstreams(got) {
		if u.GetService() == req.GetService() {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return nil, verdict.Refuse(verdict.ReasonNoUpstream, 0, "no upstream gives %q", req.GetService())
	}
	a := attempter.Attempter{HTTP: s.HTTP}
	body, err := a.Call(ctx, candidates[n%len(candidates)].GetAddress(), &upstreamv1.CallRequest{
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
