package monitor

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
	upstreamv1 "github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/upstream/v1/upstreamv1connect"
)

// benchUpstream reports n replicas.
type benchUpstream struct{ n int }

func (u benchUpstream) Report(context.Context, *connect.Request[upstreamv1.ReportRequest]) (*connect.Response[upstreamv1.ReportResponse], error) {
	return connect.NewResponse(u.report()), nil
}

func (u benchUpstream) report() *upstreamv1.ReportResponse {
	r := &upstreamv1.ReportResponse{Incarnation: "01M8YVQXGSTGY9ZJB5T9HKZB0W", Sequence: 1, Slots: 32}
	for i := range u.n {
		r.Replicas = append(r.Replicas, &upstreamv1.ReplicaReport{
			Replica: fmt.Sprintf("r-01M8YVQXT6B19EBGZA3FEYDD%02d", i), Model: fmt.Sprintf("model-%d", i),
			State: upstreamv1.ReplicaState_REPLICA_STATE_LOADED, Running: 3,
		})
	}
	return r
}

// BenchmarkPoll measures one report of an upstream with n replicas, client and
// server together, and its size in bytes.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			mux := http.NewServeMux()
			mux.Handle(upstreamv1connect.NewEngineQueriesHandler(benchUpstream{n}))
			s := httptest.NewServer(mux)
			defer s.Close()
			u := &recordv1.Upstream{Name: "u", Address: strings.TrimPrefix(s.URL, "http://")}
			m := &Monitor{HTTP: &http.Client{}, Upstreams: func() map[string]*recordv1.Upstream {
				return map[string]*recordv1.Upstream{"u": u}
			}}
			m.syncConfig()
			for b.Loop() {
				if err := m.poll(context.Background(), u); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(benchUpstream{n}.report())), "B/report")
		})
	}
}

// BenchmarkViews measures the copy of all views that is made for each plan and for
// each choice of an upstream of a plain service.
func BenchmarkViews(b *testing.B) {
	for _, n := range []int{25, 250, 1600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			ups := make(map[string]*recordv1.Upstream)
			for i := range n {
				name := fmt.Sprintf("u-%d", i)
				ups[name] = &recordv1.Upstream{Name: name}
			}
			m := &Monitor{Upstreams: func() map[string]*recordv1.Upstream { return ups }}
			m.syncConfig()
			for b.Loop() {
				m.Views()
			}
		})
	}
}
