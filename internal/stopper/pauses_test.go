package stopper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSignalBeforeSeveralPausesIsNotTakenForYounger guards against a stop that outlasts its grace in a process that runs only now and then: the signal is sent in one pause and handled after another, within settleTime of the first.
func TestSignalBeforeSeveralPausesIsNotTakenForYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pauses
		p.Tick(time.Second)
		sent := time.Second + drawDuration(t, "sent", 0, tickInterval)
		now := sent + drawDuration(t, "first pause", time.Second, 5*time.Second)
		p.Tick(now)
		now += drawDuration(t, "second pause", minPause, settleTime)
		p.Tick(now)
		require.GreaterOrEqual(t, p.Late(now)+minPause, now-sent)
	})
}
