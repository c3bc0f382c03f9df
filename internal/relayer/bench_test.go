package relayer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
)

// pieces is a body that returns one event for each Read.
type pieces struct{ left int }

func (p *pieces) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	p.left--
	return copy(b, "id: 1234\ndata: {\"tokens\":[\"one\",\"two\",\"three\",\"four\",\"five\",\"six\",\"seven\",\"eight\"]}\n\n"), nil
}

func (p *pieces) Close() error { return nil }

// BenchmarkForwardStream measures what an event costs that is forwarded to a client that keeps up.
func BenchmarkForwardStream(b *testing.B) {
	h := &Relayer{IsStopping: func() bool { return false }}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c := &call{Relayer: h, reply: reply{w: w, isStopping: h.IsStopping}, route: matcher.Route{EventTimeout: 2 * time.Second}}
		c.handOn.isRunning = true // without a tracked attempt
		c.forwardStream(context.Background(), nil, &courier.Response{Status: http.StatusOK, Header: http.Header{}, HasLength: true, Body: &pieces{b.N}})
	}))
	defer server.Close()
	b.ReportAllocs()
	b.ResetTimer()
	resp, err := http.Get(server.URL)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
}
