// Package pacer lets senders keep to the times at which their requests are due.
package pacer

import (
	"context"
	"time"
)

// WaitUntil waits for a time and returns false when ctx ended first.
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
