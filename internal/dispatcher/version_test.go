package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/admitter"
	"github.com/primrosedrift/primrosedrift/internal/attempter"
	"github.com/primrosedrift/primrosedrift/internal/router"
	"github.com/primrosedrift/primrosedrift/internal/tallier"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// versionEngine breaks off a response after its first token.
type versionEngine struct {
	upstreamv1connect.UnimplementedEngineCommandsHandler
	software string
	// hasEnded makes it refuse all requests but the first.
	hasEnded bool

	mu     sync.Mutex
	asked  []string // versions that the requests named
	numRun int
}

func (e *versionEngine) Generate(_ context.Context, req *connect.Request[upstreamv1.GenerateRequest], stream *connect.ServerStream[upstreamv1.GenerateResponse]) error {
	m := req.Msg
	e.mu.Lock()
	e.asked = append(e.asked, m.GetSoftware())
	isRefused := m.GetSoftware() != "" && m.GetSoftware() != e.software || e.hasEnded && m.GetFromToken() > 0
	if !isRefused {
		e.numRun++
	}
	e.mu.Unlock()
	if isRefused {
		err := connect.NewError(connect.CodeFailedPrecondition, errors.New("refused"))
		err.Meta().Set(attempter.HeaderAttempt, m.GetAttempt())
		err.Meta().Set(attempter.HeaderRan, "not-run")
		return err
	}
	if err := stream.Send(&upstreamv1.GenerateResponse{Attempt: m.GetAttempt(), Index: m.GetFromToken(), Token: "t", Software: e.software}); err != nil {
		return err
	}
	if m.GetFromToken() == 0 {
		panic(http.ErrAbortHandler)
	}
	return stream.Send(&upstreamv1.GenerateResponse{Attempt: m.GetAttempt(), End: true, Count: m.GetFromToken() + 1})
}

// TestInterruptedResponseGoesOnOnlyAtItsVersion guards against responses with tokens of two
// software versions.
func TestInterruptedResponseGoesOnOnlyAtItsVersion(t *testing.T) {
	for name, tt := range map[string]struct {
		others []string // software of the upstreams beside the one at v1 that begins
		want   bool     // whether the response is completed
	}{
		"another version":        {[]string{"v2"}, false},
		"the same version":       {[]string{"v1"}, true},
		"the other one is first": {[]string{"v2", "v1"}, true},
		"version is not stated":  {[]string{""}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			d := c.instances[0].Dispatcher
			d.RetryBudget.Deposit()
			ticket := d.Tallier.Add(tallier.Target{Model: "m"}, 1, time.Now().Add(longTimeout))
			t.Cleanup(ticket.Done)
			var engines []*versionEngine
			var cands []router.Candidate
			for i, software := range append([]string{"v1"}, tt.others...) {
				e := &versionEngine{software: software, hasEnded: i == 0}
				_, h := upstreamv1connect.NewEngineCommandsHandler(e)
				s := httptest.NewServer(h)
				t.Cleanup(s.Close)
				engines = append(engines, e)
				cands = append(cands, router.Candidate{Upstream: fmt.Sprint("e", i), Address: strings.TrimPrefix(s.URL, "http://"), Slots: 4})
			}
			var got []string
			g := &generation{
				d: d, req: &callerv1.GenerateRequest{MaxTokens: 2}, ticket: ticket, fingerprint: 1, tried: make(map[string]bool), ran: verdict.NotRun,
				adm: admitter.Request{ID: "r", Customer: "thottam", Target: "m/", Deadline: time.Now().Add(5 * time.Second)},
				emit: func(_ uint32, _, software string) error {
					got = append(got, software)
					return nil
				},
			}
			g.candidates = func(time.Time) []router.Candidate {
				if len(got) == 0 {
					return cands[:1]
				}
				return cands
			}
			_, err := g.run(t.Context())
			for _, software := range got {
				require.Equal(t, "v1", software)
			}
			for i, e := range engines[1:] {
				require.Equal(t, tt.others[i] == "v1", e.numRun > 0, "no other version runs it")
			}
			require.Equal(t, tt.want, err == nil, "%v", err)
		})
	}
}
