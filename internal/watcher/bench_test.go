package watcher

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
)

// benchList lists n peers that all have the same address.
type benchList struct {
	n       int
	address string
}

func (l benchList) List(context.Context, *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	resp := &platformv1.ListResponse{}
	for i := range l.n {
		resp.Instances = append(resp.Instances, &platformv1.Instance{
			Name: fmt.Sprintf("entry-%d", i), Address: l.address, Role: platformv1.InstanceRole_INSTANCE_ROLE_ENTRY,
			State: platformv1.InstanceState_INSTANCE_STATE_LIVE, Incarnation: fmt.Sprint(i),
		})
	}
	return connect.NewResponse(resp), nil
}

// benchPeer is a peer with a fixed status.
type benchPeer struct{}

func (benchPeer) Status(_ context.Context, _ *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	return &peerv1.StatusResponse{Instance: "entry-1", Incarnation: "01M8YVQXGSTGY9ZJB5T9HKZB0W", CallerAddress: "10.0.0.1:7001"}, nil
}

func (benchPeer) State(context.Context, *peerv1.StateRequest) (*peerv1.StateResponse, error) {
	return &peerv1.StateResponse{}, nil
}

// BenchmarkRound measures one round with n peers, including the peers' own work.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{6, 25, 100} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			s := httptest.NewServer(peerv1.NewPeerQueriesServer(benchPeer{}))
			defer s.Close()
			w := &Watcher{
				Self: Member{Name: "self"}, List: benchList{n, strings.TrimPrefix(s.URL, "http://")},
				HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
			}
			for b.Loop() {
				w.round(context.Background(), DefaultInterval)
			}
		})
	}
}
