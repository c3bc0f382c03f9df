package assembler

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two instances that start in the same nanosecond and draw the same random numbers
// must not take each other's claims to the lease for their own.
func TestIncarnationsOfTwoInstancesDiffer(t *testing.T) {
	startedAt := time.Unix(1_000_000, 0)
	noEntropy := func() *bytes.Reader { return bytes.NewReader(make([]byte, 16)) }
	require.NotEqual(t, newIncarnation("a", startedAt, noEntropy()), newIncarnation("b", startedAt, noEntropy()))
	require.NotEqual(t, newIncarnation("a", startedAt, noEntropy()), newIncarnation("a", startedAt.Add(time.Second), noEntropy()),
		"nor two runs of one instance")
}
