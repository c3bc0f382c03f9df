// Package sleeper waits for a while, or until a context ends.
package sleeper

import (
	"context"
	"time"
)

// Sleep returns after the duration, or earlier if ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
