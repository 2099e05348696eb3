// Package repeater runs a function at an interval.
package repeater

import (
	"context"
	"time"
)

// Every calls act after each interval until ctx ends. Calls that a long one overlaps are left out.
func Every(ctx context.Context, interval time.Duration, act func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			act()
		}
	}
}
