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

// TestMinimalMovement checks that when an instance leaves, nothing else moves.
func TestMinimalMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instances(t)
		gone := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		key := rapid.String().Draw(t, "key")
		var without, left []Candidate
		for _, c := range Rank(key, list) {
			if c.Name != list[gone].Name {
				without = append(without, c)
			}
		}
		for i, c := range list {
			if i != gone {
				left = append(left, c)
			}
		}
		require.Equal(t, without, append([]Candidate(nil), Rank(key, left)...))
	})
}

// TestLocateProperties checks what holds for every answer.
func TestLocateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := instances(t)
		over := 0
		for i := range list {
			list[i].Overloaded = rapid.Bool().Draw(t, "overloaded")
			if list[i].Overloaded {
				over++
			}
		}
		q := Question{Key: rapid.String().Draw(t, "key"), DataCentre: "dc-1", Heat: rapid.IntRange(0, 1000).Draw(t, "heat"), Turn: rapid.Uint64().Draw(t, "turn")}
		got := Locate(q, list)
		require.NotEmpty(t, got)
		seen := make(map[string]bool)
		for _, c := range got {
			require.False(t, seen[c.Name])
			seen[c.Name] = true
			require.True(t, over == len(list) || !c.Overloaded, "an overloaded instance was named")
		}
		if q.Heat >= HeatPerEntry {
			return
		}
		other := q
		other.DataCentre, other.Turn = "dc-2", q.Turn+1
		require.Equal(t, got[0], Locate(other, list)[0], "callers of a target meet")
		require.LessOrEqual(t, len(got), 1+fallbacks)
		require.True(t, Names(q, list, got[0].Name))
		if over == 0 {
			require.Equal(t, Rank(q.Key, list)[0], got[0], "the holder of the shard is the first")
		}
	})
}

// TestSpread checks that the callers of a hot target take turns over more
// instances, near ones first, and that others go on as before.
func TestSpread(t *testing.T) {
	var list []Candidate
	for i := range 6 {
		list = append(list, Candidate{Name: fmt.Sprint("entry-", i), DataCentre: fmt.Sprint("dc-", i%2)})
	}
	firsts := func(heat int, dc string) map[string]int {
		out := make(map[string]int)
		for turn := range uint64(600) {
			out[Locate(Question{Key: "k", DataCentre: dc, Heat: heat, Turn: turn}, list)[0].Name]++
		}
		return out
	}
	require.Len(t, firsts(HeatPerEntry-1, "dc-0"), 1)
	require.Len(t, firsts(5*HeatPerEntry, "elsewhere"), 6)
	for name, n := range firsts(5*HeatPerEntry, "dc-1") {
		require.Contains(t, []string{"entry-1", "entry-3", "entry-5"}, name)
		require.GreaterOrEqual(t, n, 100)
	}
}
