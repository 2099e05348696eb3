package governor

import (
	"sync/atomic"
	"time"
)

// keyState says until when this instance knows of all removed keys.
type keyState struct {
	// limit is how old that knowledge may be, in nanoseconds; zero means any age.
	limit atomic.Int64
	// knownTo is the time up to which the configuration is known; nil before the first read.
	knownTo atomic.Pointer[time.Time]
	// outdated is true while the knowledge is too old, as logged last.
	outdated atomic.Bool
}

// SetKeyLimit replaces how old the knowledge of removed keys may be; zero means any age.
func (g *Governor) SetKeyLimit(limit time.Duration) { g.keys.limit.Store(int64(limit)) }

// ConfigurationKnown records that this instance, or one whose view it follows, knows all configurations that were
// confirmed before a time.
func (g *Governor) ConfigurationKnown(to time.Time) {
	for {
		before := g.keys.knownTo.Load()
		if before != nil && !to.After(*before) || g.keys.knownTo.CompareAndSwap(before, &to) {
			return
		}
	}
}

// KeysOutdated reports whether keys may have been removed without this instance having been able to learn of it for longer
// than the limit allows.
func (g *Governor) KeysOutdated(now time.Time) bool {
	limit := time.Duration(g.keys.limit.Load())
	if limit <= 0 {
		return false
	}
	knownTo := g.keys.knownTo.Load()
	outdated := knownTo == nil || now.Sub(*knownTo) > limit
	if g.keys.outdated.Swap(outdated) != outdated {
		line := g.log.Info()
		if knownTo != nil {
			line = line.Dur("ageMs", now.Sub(*knownTo))
		}
		line.Str("event", "keysOutdated").Bool("outdated", outdated).Dur("limitMs", limit).
			Msg("Knowledge of removed keys has become too old, or recent again")
	}
	return outdated
}
