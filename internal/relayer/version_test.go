package relayer

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
)

// versionUpstreams are fake upstreams of several software versions that break off each
// stream after its first event.
type versionUpstreams struct {
	mu   sync.Mutex
	runs map[string][]string // versions that ran parts of a stream, by request
}

func newVersionFixture(t *testing.T, software ...string) (*fixture, *versionUpstreams) {
	v := &versionUpstreams{runs: make(map[string][]string)}
	var ups []*upstream
	for _, version := range software {
		ups = append(ups, newUpstream(t, func(_ int, r *http.Request, _ string) (string, bool) {
			v.mu.Lock()
			v.runs[r.Header.Get(hID)] = append(v.runs[r.Header.Get(hID)], version)
			v.mu.Unlock()
			if r.Header.Get(hLastEventID) == "" {
				return streamHead(r) + chunk(event(1)), true
			}
			return streamHead(r) + chunk(event(2)) + "0\r\n\r\n", false
		}))
	}
	g := newFixture(t, ups...)
	changes := make(map[string]*registrar.Upstream)
	for i, version := range software {
		id := fmt.Sprint("u", i)
		u := *g.Upstreams.Snapshot().ByID[id]
		u.Software = version
		changes[id] = &u
	}
	g.Upstreams.ApplyRegistrations(changes, time.Now())
	return g, v
}

// TestInterruptedStreamDoesNotGoOnAtAnotherVersion guards against streams that hold events of
// two software versions within one response.
func TestInterruptedStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	for name, software := range map[string][]string{
		"two versions":                       {"v1", "v2"},
		"a version and none":                 {"v1", ""},
		"several upstreams of both versions": {"v1", "v1", "v2", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			const numStreams = 40
			numDone := 0
			for range numStreams / 4 { // breakers open after some failures
				g, v := newVersionFixture(t, software...)
				for range 4 {
					r := g.request("POST", "/resumable/", "x")
					_, body := g.do(r)
					if body == event(1)+event(2) {
						numDone++
					}
					v.mu.Lock()
					for _, version := range v.runs[r.Header.Get(hID)] {
						require.Equal(t, v.runs[r.Header.Get(hID)][0], version)
					}
					v.mu.Unlock()
				}
			}
			require.Positive(t, numDone, "the stream goes on at its version")
		})
	}
}
