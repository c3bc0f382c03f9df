package sleeper

import (
	"context"
	"testing"
	"time"
)

func TestSleepReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Sleep(ctx, time.Hour)
	Sleep(t.Context(), time.Microsecond)
}
