// Package pacer delays requests until their scheduled send times.
package pacer

import (
	"context"
	"time"
)

// WaitUntil waits until the given time. It reports whether the time was reached before ctx ended.
func WaitUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
