package versioner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func replicas(list ...string) Replicas {
	r := make(Replicas)
	for k := 0; k < len(list); k += 2 {
		r.Add(list[k], list[k+1])
	}
	return r
}

// TestDefaultVersionChangesOnlyWhenNoUpstreamHasIt guards against former versions, which make streams
// unknown, for each upstream that comes or goes.
func TestDefaultVersionChangesOnlyWhenNoUpstreamHasIt(t *testing.T) {
	t1 := NewTable(replicas("", "v1", "", "v2", "", "v1", "m", "v2"), 1)
	require.Equal(t, map[string][]string{"": {"v1"}, "m": {"v2"}}, t1.Versions)
	require.True(t, t1.Equal(t1.Next(replicas("", "v1", "", "v2", "", "v2", "m", "v2"))))
	require.True(t, t1.Equal(t1.Next(nil)), "nothing is known of the upstreams")
	t2 := t1.Next(replicas("", "v2", "m", "v1", "m", "v3", "m", "v3"))
	require.Equal(t, map[string][]string{"": {"v2", "v1"}, "m": {"v3", "v2"}}, t2.Versions)
	require.Equal(t, map[string][]string{"": {"v2", "v1"}, "m": {"v1", "v3", "v2"}}, t2.Next(replicas("m", "v1")).Versions)
	require.Equal(t, map[string][]string{"": {"v2", "v1"}, "new": {"v1", "v2"}}, Table{Versions: map[string][]string{"": {"v2", "v1"}}}.Next(replicas("new", "v1")).Versions, "it was not listed")
	require.Equal(t, map[string][]string{"": {"v1"}, "m": {"v2"}}, t1.Versions, "a table is immutable")
}

// TestStreamWithoutARecordIsUnknownWhileItsVersionIsNotCertain guards against a stream that goes on at
// another version.
func TestStreamWithoutARecordIsUnknownWhileItsVersionIsNotCertain(t *testing.T) {
	table := Table{Versions: map[string][]string{"": {"v1"}, "changed": {"v2", "v1"}, "own": {"v2"}}, Era: 3}
	for _, tt := range []struct {
		name, model string
		table       Table
		era         int64
		want        string
	}{
		{"not trusted", "m", table, 3, ""},
		{"trusted", "m", table.WithTrust(true, 3), 3, "v1"},
		{"listed", "own", table.WithTrust(true, 3), 3, "v2"},
		{"with a former version", "changed", table.WithTrust(true, 3), 3, ""},
		{"without it", "changed", table.WithTrust(true, 3).WithoutFormer("changed", "v1"), 3, "v2"},
		{"log restored", "m", table.WithTrust(true, 3), 4, ""},
		{"no table", "m", Table{}, 0, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			version, err := tt.table.Origin(tt.model, tt.era)
			require.Equal(t, tt.want, version)
			require.Equal(t, tt.want != "", err == nil)
		})
	}
}

// TestRevisionIncreasesWithEachChange guards against an instance that follows default versions of before a change
// once more.
func TestRevisionIncreasesWithEachChange(t *testing.T) {
	first := NewTable(replicas("", "v1"), 1).WithRevisionAfter(Table{})
	require.Equal(t, int64(1<<revisionBits+1), first.Revision)
	require.Equal(t, first, first.Next(replicas("", "v1", "", "v2")).WithRevisionAfter(first))
	second := first.Next(replicas("", "v2")).WithRevisionAfter(first)
	require.Equal(t, first.Revision+1, second.Revision)
	require.True(t, second.HasFormer())
	require.Equal(t, second.Revision, second.WithoutFormers().WithRevisionAfter(second).Revision)
	require.Equal(t, map[string][]string{"": {"v2"}}, second.WithoutFormers().Versions)
	restored := first.WithTrust(false, 2).Next(replicas("", "v2")).WithRevisionAfter(first)
	require.Greater(t, restored.Revision, second.Revision)
}

func ExampleTable_Default() {
	t := NewTable(replicas("", "v1", "m", "v1"), 1)
	fmt.Println(t.Default("m"))
	t = t.Next(replicas("", "v1", "m", "v2"))
	fmt.Println(t.Default("m"))
	fmt.Println(t.Default("any other"))
	// Output:
	// v1 true
	// v2 true
	// v1 true
}
