package limiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const alone = 10 * time.Second

func TestLimitFallsToOneLoad(t *testing.T) {
	var l Limit
	require.Equal(t, MaxLoads, l.Loads())
	l = l.WithLoad(alone, alone, 4) // the first of four loads that run one after the other
	require.Equal(t, MaxLoads, l.Loads())
	l = l.WithLoad(2*alone, alone, 4)
	require.Equal(t, 2, l.Loads())
	l = l.WithLoad(4*alone, alone, 4)
	require.Equal(t, 1, l.Loads())
	l = l.WithLoad(time.Hour, alone, 1)
	require.Equal(t, 1, l.Loads(), "at least one")
}

func TestLimitRecoversToFourLoads(t *testing.T) {
	var l Limit
	for concurrent := 1; concurrent <= 4; concurrent++ {
		l = l.WithLoad(alone+alone/10, alone, concurrent)
	}
	require.Equal(t, 4, l.Loads())
	l = l.WithLoad(2*alone, alone, 2) // the store is slow for a while
	require.Equal(t, 1, l.Loads())
	for range 5 {
		l = l.WithLoad(alone, alone, l.Loads())
	}
	require.Equal(t, 4, l.Loads(), "the limit recovers one load at a time")
	require.Equal(t, l, l.WithLoad(time.Second, 0, 1), "a load without an expected duration is ignored")
}

// A store that needs long for one load runs one at a time until several loads have run
// at full speed.
func TestLimitOfSlowStoreStartsAtOne(t *testing.T) {
	require.Equal(t, Limit{}, New(slowLoad-1))
	l := New(slowLoad)
	for range loadsToRaise {
		require.Equal(t, 1, l.Loads())
		l = l.WithLoad(slowLoad, slowLoad, 1)
	}
	require.Equal(t, 2, l.Loads())
	l = l.WithLoad(2*slowLoad, slowLoad, 2)
	require.Equal(t, 1, l.Loads())
	l = l.WithLoad(slowLoad, slowLoad, 1)
	require.Equal(t, 1, l.Loads())
}
