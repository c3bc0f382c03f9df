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

// stateCacheTTL is how long a DirectClient caches the state of the system.
const stateCacheTTL = 500 * time.Millisecond

// DirectClient sends requests directly to the upstreams, bypassing entry
// instances. It chooses round-robin among the loaded replicas of the model or the
// upstreams of the service.
type DirectClient struct {
	// FetchState returns the configuration in force and the replicas.
	FetchState func(ctx context.Context) (*operatorv1.GetResponse, error)
	HTTP       *http.Client

	mu          sync.Mutex
	cached      *operatorv1.GetResponse
	cachedUntil time.Time
	numCalls    int
}

// Sender returns a Sender that sends with c.
func (c *DirectClient) Sender() Sender {
	return Sender{Generate: c.generate, Call: c.call}
}

func (c *DirectClient) state(ctx context.Context) (*operatorv1.GetResponse, int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.numCalls++
	if time.Now().Before(c.cachedUntil) {
		return c.cached, c.numCalls, nil
	}
	state, err := c.FetchState(ctx)
	if err != nil {
		return nil, 0, errors.Wrap(err, "get the state of the system")
	}
	c.cached, c.cachedUntil = state, time.Now().Add(stateCacheTTL)
	return state, c.numCalls, nil
}

func (c *DirectClient) generate(ctx context.Context, req *callerv1.GenerateRequest, emit func(token string)) error {
	state, turn, err := c.state(ctx)
	if err != nil {
		return err
	}
	var candidates []*operatorv1.ReplicaView
	for _, r := range state.GetReplicas() {
		if r.GetModel() == req.GetModel() && r.GetState() == "loaded" && hasAdapter(r, req.GetAdapter()) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return verdict.Refuse(verdict.ReasonNoUpstream, 0, "no replica of %q is loaded", req.GetModel())
	}
	r := candidates[turn%len(candidates)]
	for _, u := range upstreams(state) {
		if u.GetName() != r.GetUpstream() {
			continue
		}
		a := attempter.Attempter{HTTP: c.HTTP}
		_, err := a.Generate(ctx, u.GetAddress(), &upstreamv1.GenerateRequest{
			Model: req.GetModel(), Adapter: req.GetAdapter(), Replica: r.GetId(), Prompt: req.GetPrompt(), MaxTokens: req.GetMaxTokens(),
		}, func(_ uint32, token, _ string) error {
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

func (c *DirectClient) call(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
	state, turn, err := c.state(ctx)
	if err != nil {
		return nil, err
	}
	var candidates []*recordv1.Upstream
	for _, u := range upstreams(state) {
		if u.GetService() == req.GetService() {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return nil, verdict.Refuse(verdict.ReasonNoUpstream, 0, "no upstream gives %q", req.GetService())
	}
	a := attempter.Attempter{HTTP: c.HTTP}
	body, err := a.Call(ctx, candidates[turn%len(candidates)].GetAddress(), &upstreamv1.CallRequest{
		Method: req.GetMethod(), Body: req.GetBody(), Key: req.GetKey(),
	})
	if err != nil {
		return nil, err
	}
	return &callerv1.CallResponse{RequestId: req.GetRequestId(), Body: body}, nil
}

func upstreams(state *operatorv1.GetResponse) []*recordv1.Upstream {
	var out []*recordv1.Upstream
	for _, o := range state.GetObjects() {
		if u := o.GetUpstream(); u != nil {
			out = append(out, u)
		}
	}
	return out
}
