// Package wait holds the one way in which this project lets time pass.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports false when the context ends first.
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
