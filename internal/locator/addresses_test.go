package locator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func instancesIn(dataCentres ...string) []Instance {
	var out []Instance
	for i, d := range dataCentres {
		out = append(out, Instance{Address: string(rune('a' + i)), DataCentre: d})
	}
	return out
}

func TestAddresses(t *testing.T) {
	all := instancesIn("x", "x", "x", "y", "y", "z")
	require.ElementsMatch(t, []string{"a", "b", "c"}, Addresses(all, "x"))
	require.ElementsMatch(t, []string{"d", "e"}, Addresses(all, "y"))
	z := Addresses(all, "z")
	require.Len(t, z, 2, "must be filled up to an even share")
	require.Contains(t, z, "f")
	require.Subset(t, []string{"a", "b", "c"}, z[1:], "must come from the data centre with the most instances")
	require.Len(t, Addresses(all, "elsewhere"), 2)
	require.Empty(t, Addresses(nil, "x"))
	require.Equal(t, []string{"a"}, Addresses(instancesIn("x"), "y"))
}
