package syncer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/linkwatcher"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// network carries the calls between instances in one process, and counts them.
type network struct {
	handlers map[string]http.Handler // by address

	mu              sync.Mutex
	calls, numBytes map[string]int // by path
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	n.handlers[r.URL.Host].ServeHTTP(w, r)
	resp := w.Result()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[r.URL.Path]++
	n.numBytes[r.URL.Path] += int(r.ContentLength) + w.Body.Len()
	return resp, nil
}

// newNetwork returns a network of instances that know each other and have no conductor.
func newNetwork(numInstances int) (*network, []*Client) {
	n := &network{handlers: make(map[string]http.Handler), calls: make(map[string]int), numBytes: make(map[string]int)}
	var members []*peerv1.Member
	var clients []*Client
	for k := range numInstances {
		s, holder := newServer()
		*holder = false
		name := fmt.Sprintf("edge-%03d", k)
		s.Self = &peerv1.Member{
			Instance: name, Incarnation: name + "/01KHQ4MK5HV5C2JRCXJM5M5WQZ", DataCentre: fmt.Sprint("dc-", k%8), PeerAddress: name + ":8789", CallerAddress: name + ":8788",
		}
		s.Neighbours = &Neighbours{}
		mux := http.NewServeMux()
		queries, commands := peerv1.NewFleetQueriesServer(s), peerv1.NewFleetCommandsServer(s)
		mux.Handle(queries.PathPrefix(), queries)
		mux.Handle(commands.PathPrefix(), commands)
		n.handlers[s.Self.GetPeerAddress()] = mux
		members = append(members, s.Self)
		clients = append(clients, &Client{
			Self: s.Self, HTTP: &http.Client{Transport: n}, Server: s, Neighbours: s.Neighbours, Losses: s.Losses, Lease: &leaser.Lease{Log: zap.NewNop()},
			Upstreams: &registrar.Table{}, Log: zap.NewNop(), IsStopping: func() bool { return false }, Links: &linkwatcher.Watcher{}, Seeds: []string{"edge-000:8789"},
		})
	}
	for _, c := range clients {
		c.members = members
	}
	return n, clients
}

// TestLossesOfALargeFleetAreBounded guards against a fleet without a conductor in which the calls and bytes
// of an instance grow with the fleet or with the losses, when many upstreams crash together.
func TestLossesOfALargeFleetAreBounded(t *testing.T) {
	const (
		seconds          = 2
		maxCalls         = 80       // a second and instance
		maxBytes         = 96 << 10 // a second and instance
		lossesPerSecond  = 20       // of an instance
		numIncarnations  = 40
		numLossIntervals = seconds * lossesPerSecond
	)
	for _, numInstances := range []int{49, 195} {
		t.Run(fmt.Sprint(numInstances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, clients := newNetwork(numInstances)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				for k, c := range clients {
					wg.Go(func() { c.runProbes(ctx) })
					wg.Go(func() {
						for x := range numLossIntervals {
							i := registrar.Incarnation{ID: fmt.Sprint("i-ae3b6e31", x%numIncarnations), StartedAtMs: 1771376891828}
							c.Losses.Begin(i, uint64(k*numLossIntervals+x)).End(losstracker.Broken, time.Now())
							c.NotifyLoss(false)
							time.Sleep(time.Second / lossesPerSecond)
						}
					})
				}
				time.Sleep(seconds * time.Second)
				n.mu.Lock()
				calls, numBytes := 0, 0
				for path := range n.calls {
					t.Logf("%s: %d calls, %d bytes", path, n.calls[path], n.numBytes[path])
					calls += n.calls[path]
					numBytes += n.numBytes[path]
				}
				n.mu.Unlock()
				cancel()
				wg.Wait()
				require.LessOrEqual(t, calls, maxCalls*numInstances*seconds)
				require.LessOrEqual(t, numBytes, maxBytes*numInstances*seconds)
			})
		})
	}
}
