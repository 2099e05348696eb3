//go:build !linux

package steward

import "time"

// sinceBoot returns the runtime's clock, which may stand still while the machine is suspended.
func sinceBoot() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}
