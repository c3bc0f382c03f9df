package syncer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// The load: many instances watch, and adapters come and go all the time. An instance
// whose requests wait for what was loaded, or run where something is removed, gets a
// response at once. The others get it with later changes.
func TestOnlyWatchersThatUseAChangeAreWokenAtOnce(t *testing.T) {
	s, _ := newServer()
	now := time.Now()
	uses := map[string]*peerv1.CopyUse{
		"waits":   {Service: "lm", Model: "m1", Adapter: "a1", Waiting: 1},
		"runs":    {Service: "lm", Model: "m1", Adapter: "a1", Arrived: 1},
		"other":   {Service: "lm", Model: "m1", Adapter: "a2", Waiting: 1},
		"nothing": {Service: "lm", Model: "m2"},
	}
	for name, u := range uses {
		s.ApplyReport(&peerv1.ReportRequest{Member: &peerv1.Member{Instance: name, Incarnation: name}, Uses: []*peerv1.CopyUse{u}}, now)
	}
	woken := func() []string {
		var out []string
		for name := range uses {
			w := s.watchers[name]
			if w.isUrgent {
				out = append(out, name)
				w.isUrgent = false
			}
			select {
			case <-w.wake:
			default:
			}
		}
		return out
	}
	view := func(adapters ...string) []registrar.View {
		return []registrar.View{{ID: "e1", StartedAtMs: 1, Models: []registrar.Model{{Name: "m1", Adapters: adapters}}}}
	}
	s.NotifyViews(view())
	require.ElementsMatch(t, []string{"waits", "other"}, woken(), "the model itself was loaded")
	s.NotifyViews(view("a1"))
	require.ElementsMatch(t, []string{"waits"}, woken())
	s.NotifyViews(view())
	require.ElementsMatch(t, []string{"waits", "runs"}, woken())
	s.NotifyViews(view())
	require.Empty(t, woken())
	version := s.version
	s.watcherLocked("nothing").isIdle = true
	s.NotifyViews(view("a3"))
	require.Greater(t, s.version, version)
	require.Len(t, s.watchers["nothing"].wake, 1, "its last response is long enough ago")
	require.Empty(t, s.watchers["other"].wake)
	require.Empty(t, woken())
}
