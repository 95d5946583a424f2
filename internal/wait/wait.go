// Package wait provides the cancellable sleep that this project uses everywhere.
package wait

import (
	"context"
	"time"
)

// For sleeps for d. It returns early with false when the context ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
