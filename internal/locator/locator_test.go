package locator

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func instances(t *rapid.T) []Candidate {
	n := rapid.IntRange(1, 9).Draw(t, "instances")
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Name: fmt.Sprint("entry-", i), DataCentre: fmt.Sprint("dc-", i%3)}
	}
	return list
}

// TestRemovedInstanceKeepsTheOrderOfTheOthers guards against keys that move between
// remaining instances when another one leaves.
func TestRemovedInstanceKeepsTheOrderOfTheOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instances(t)
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		key := rapid.String().Draw(t, "key")
		var want, remaining []Candidate
		for _, c := range Rank(key, list) {
			if c.Name != list[removed].Name {
				want = append(want, c)
			}
		}
		for i, c := range list {
			if i != removed {
				remaining = append(remaining, c)
			}
		}
		require.Equal(t, want, append([]Candidate(nil), Rank(key, remaining)...))
	})
}

// TestLocateProperties checks the invariants of Locate: no duplicates, no
// overloaded instance while another exists, and the same first instance for all
// callers below RequestsPerEntry.
func TestLocateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instances(t)
		numOverloaded := 0
		for i := range list {
			list[i].IsOverloaded = rapid.Bool().Draw(t, "overloaded")
			if list[i].IsOverloaded {
				numOverloaded++
			}
		}
		q := Request{Key: rapid.String().Draw(t, "key"), DataCentre: "dc-1", NumRequests: rapid.IntRange(0, 1000).Draw(t, "num requests"), Rotation: rapid.Uint64().Draw(t, "rotation")}
		got := Locate(q, list)
		require.NotEmpty(t, got)
		seen := make(map[string]bool)
		for _, c := range got {
			require.False(t, seen[c.Name])
			seen[c.Name] = true
			require.True(t, numOverloaded == len(list) || !c.IsOverloaded, "an overloaded instance was listed")
		}
		if q.NumRequests >= RequestsPerEntry {
			return
		}
		other := q
		other.DataCentre, other.Rotation = "dc-2", q.Rotation+1
		require.Equal(t, got[0], Locate(other, list)[0], "all callers of a target must get the same first instance")
		require.LessOrEqual(t, len(got), 1+numFallbacks)
		require.True(t, Includes(q, list, got[0].Name))
		if numOverloaded == 0 {
			require.Equal(t, Rank(q.Key, list)[0], got[0], "the first instance must be the highest-ranked one, which holds the shard")
		}
	})
}

// TestCallersSpreadOverSharingInstances checks that the callers of a target with
// many requests spread over more instances, those in their data centre first, and
// that the callers of other targets share one instance.
func TestCallersSpreadOverSharingInstances(t *testing.T) {
	var list []Candidate
	for i := range 6 {
		list = append(list, Candidate{Name: fmt.Sprint("entry-", i), DataCentre: fmt.Sprint("dc-", i%2)})
	}
	countFirst := func(numRequests int, dc string) map[string]int {
		out := make(map[string]int)
		for rotation := range uint64(600) {
			out[Locate(Request{Key: "k", DataCentre: dc, NumRequests: numRequests, Rotation: rotation}, list)[0].Name]++
		}
		return out
	}
	require.Len(t, countFirst(RequestsPerEntry-1, "dc-0"), 1)
	require.Len(t, countFirst(5*RequestsPerEntry, "elsewhere"), 6)
	for name, n := range countFirst(5*RequestsPerEntry, "dc-1") {
		require.Contains(t, []string{"entry-1", "entry-3", "entry-5"}, name)
		require.GreaterOrEqual(t, n, 100)
	}
}
