package syncer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// With any sequence of changes and lost responses, an instance that receives a
// response has the state that the conductor had when it sent the response.
func TestDeltasReproduceTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d delta
		version := uint64(1)
		views := make(map[string]registrar.View)
		c := &Client{Self: &peerv1.Member{Instance: "b"}, Upstreams: &registrar.Table{}, Losses: &losstracker.Tracker{}}
		own := map[string]int{"e0": 1}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "upstream"))
			v := views[id]
			v.ID, v.StartedAtMs = id, 1
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				v.NumOrders++
				v.Models = []registrar.Model{{Name: "m", Adapters: []string{fmt.Sprint("a", v.NumOrders)}}}
				views[id] = v
			case 1:
				v.Running = rapid.IntRange(0, 4).Draw(t, "running")
				views[id] = v
			case 2:
				delete(views, id)
			case 3:
				version++
			default:
				list := make([]registrar.View, 0, len(views))
				for _, v := range views {
					list = append(list, v)
				}
				out := &peerv1.WatchResponse{Version: version, Incarnation: "a1"}
				d.record(list, version)
				out.Base = d.base("b", c.responseNumber)
				d.fill(out, "b", list, own, time.Now())
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				c.applyView(out, time.Now())
				for id, v := range views {
					got := c.views[id]
					require.Equal(t, v.NumOrders, got.NumOrders)
					require.Equal(t, v.Models, got.Models)
					require.Equal(t, max(0, v.Running-own[id]), got.Running)
				}
			}
		}
	})
}

// A response lists no members or upstreams if they have not changed.
func TestDeltaWithoutChangesIsEmpty(t *testing.T) {
	s, _ := newServer()
	now := time.Now()
	s.ApplyReport(report("b", "b1", false), now)
	whole := s.View("b", 0, now)
	require.Zero(t, whole.GetBase())
	require.Len(t, whole.GetMembers(), 1)
	s.NotifyViews(s.Conductor.Views(time.Now()))
	next := s.View("b", whole.GetAnswer(), now)
	require.Equal(t, whole.GetVersion(), next.GetBase())
	require.Empty(t, next.GetMembers())
	require.Empty(t, next.GetUpstreams())
	require.Zero(t, s.View("b", whole.GetAnswer(), now).GetBase(), "a whole view, since the second response was lost")
}

// The load: hundreds of instances are restarted one after the other. Each watcher gets
// only the members that have changed, and ends up with the members that there are.
func TestMemberChangesReproduceTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := newServer()
		c := &Client{Self: &peerv1.Member{Instance: "w"}, Upstreams: &registrar.Table{}, Losses: &losstracker.Tracker{}}
		now := time.Unix(1000, 0)
		incarnation := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				incarnation += rapid.IntRange(0, 1).Draw(t, "restart")
				name := fmt.Sprint("m", rapid.IntRange(0, 5).Draw(t, "member"))
				s.ApplyReport(report(name, fmt.Sprint(name, incarnation), rapid.Bool().Draw(t, "stopping")), now)
			case 2:
				s.mu.Lock()
				s.sweepLocked(now)
				s.mu.Unlock()
			default:
				v := s.View("w", c.responseNumber, now)
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				c.applyView(v, now)
				want := make(map[string]string)
				for name, m := range s.members {
					want[name] = fmt.Sprint(m.GetIncarnation(), m.GetIsStopping())
				}
				got := make(map[string]string)
				for _, m := range c.members {
					got[m.GetInstance()] = fmt.Sprint(m.GetIncarnation(), m.GetIsStopping())
				}
				require.Equal(t, want, got)
				require.Len(t, c.members, len(want))
			}
		}
	})
}
