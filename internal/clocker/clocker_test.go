package clocker

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBootIsMonotonic(t *testing.T) {
	last := Boot()
	for range 1000 {
		now := Boot()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
}
