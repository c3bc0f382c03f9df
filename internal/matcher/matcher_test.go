package matcher

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func ExampleConfig_Match() {
	c := New(7, []Route{
		{Name: "all", Host: "h.example", Prefix: "/a/"},
		{Name: "part", Host: "h.example", Prefix: "/a/b/"},
	}, nil, Limits{})
	for _, path := range []string{"/a/b/c?q", "/a/x", "/b/"} {
		r, ok := c.Match("H.example:80", path)
		fmt.Println(path, r.Name, ok)
	}
	// Output:
	// /a/b/c?q part true
	// /a/x all true
	// /b/  false
}

func TestMatchRequiresTheHost(t *testing.T) {
	c := New(1, []Route{{Name: "r", Host: "h.example", Prefix: "/a/"}}, nil, Limits{})
	_, ok := c.Match("other.example", "/a/")
	require.False(t, ok)
	_, ok = c.Match("h.example", "/a?x=/a/")
	require.False(t, ok, "the query must not be matched as part of the path")
	require.Equal(t, 1, c.NumRoutes())
}

func TestServiceIsChosenByWeight(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"never", 0}}}
	got := make(map[string]int)
	for i := range 10_000 {
		got[r.Service(fmt.Sprint(i))]++
	}
	require.InDelta(t, 9000, got["a"], 200)
	require.Equal(t, 10_000, got["a"]+got["b"])
	require.Equal(t, r.Service("x"), r.Service("x"))
	require.Equal(t, "only", Route{Targets: []Target{{"only", 0}}}.Service("x"))
	require.Empty(t, Route{}.Service("x"))
}
