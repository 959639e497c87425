// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// Sleep waits for d or until the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
