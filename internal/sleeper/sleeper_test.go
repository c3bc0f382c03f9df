package sleeper

import (
	"context"
	"testing"
	"time"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	Sleep(ctx, time.Hour)
	Sleep(t.Context(), time.Microsecond)
}
