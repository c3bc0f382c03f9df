// Package sleeper provides a sleep that a context can end early.
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends if that is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
