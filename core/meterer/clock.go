package meterer

import (
	"maps"
	"slices"
	"time"

	"rosemaryspool.example/core/identifier"
)

const (
	// minClocks is how many clocks a reference needs, the instance's own included: two may be wrong then.
	minClocks = 5
	// clockMemory is how long another instance's clock counts after it was last heard.
	clockMemory = 30 * time.Second
	// minCorrection is above what datagrams take; smaller differences say nothing.
	minCorrection = 100 * time.Millisecond
)

type heardClock struct {
	offset time.Duration
	at     time.Duration
}

// Clock estimates true time from the time of day at the instance's start, a steady clock and the clocks of other
// instances. Later steps of the time of day have no effect on it.
type Clock struct {
	anchor     time.Time
	correction time.Duration
	heard      map[identifier.InstanceID]heardClock
}

// NewClock returns a clock that shows wall when the steady clock shows steady.
func NewClock(wall time.Time, steady time.Duration) *Clock {
	return &Clock{anchor: wall.Round(0).Add(-steady), heard: map[identifier.InstanceID]heardClock{}}
}

// Uncorrected returns the time by this instance's clock alone.
func (c *Clock) Uncorrected(steady time.Duration) time.Time { return c.anchor.Add(steady) }

// Now returns the estimate of true time.
func (c *Clock) Now(steady time.Duration) time.Time { return c.anchor.Add(steady + c.correction) }

// Heard records the uncorrected time of another instance.
func (c *Clock) Heard(steady time.Duration, from identifier.InstanceID, uncorrected time.Time) {
	c.heard[from] = heardClock{offset: uncorrected.Sub(c.Uncorrected(steady)), at: steady}
}

// Reference returns the median of all clocks known, and false if there are too few.
func (c *Clock) Reference(steady time.Duration) (time.Time, bool) {
	maps.DeleteFunc(c.heard, func(_ identifier.InstanceID, h heardClock) bool { return steady-h.at > clockMemory })
	offsets := []time.Duration{0}
	for _, h := range c.heard {
		offsets = append(offsets, h.offset)
	}
	if len(offsets) < minClocks {
		return time.Time{}, false
	}
	slices.Sort(offsets)
	return c.Uncorrected(steady).Add(offsets[len(offsets)/2]), true
}

// Adopt sets the clock to a reference unless the difference is small. It returns the change.
func (c *Clock) Adopt(steady time.Duration, reference time.Time) time.Duration {
	difference := reference.Sub(c.Now(steady))
	if difference.Abs() < minCorrection {
		return 0
	}
	c.correction += difference
	return difference
}
