package clocker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSinceStartIsMonotonic(t *testing.T) {
	last := SinceStart()
	for range 1000 {
		now := SinceStart()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
}
