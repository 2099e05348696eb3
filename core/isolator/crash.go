package isolator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Process is one start of an upstream.
type Process struct {
	Upstream    identifier.UpstreamID
	Incarnation uint64
}

// Crash is the unplanned end of a process, with the traits of requests that broke off unanswered in it.
type Crash struct {
	Process Process
	At      time.Time
	Traits  []BrokenTrait

	// cleared holds the answers for traits of which other instances have reported the crash; they are sent with this
	// instance's own reports.
	cleared []Answer
	// replies is how often this instance has replied to reports of the crash, repliedAt when it last did.
	replies   int
	repliedAt time.Time
}

// BrokenTrait is a trait of requests that broke off; SentAt is when the last of them was sent.
type BrokenTrait struct {
	Trait  Trait
	SentAt time.Time
}

// add adds a trait, or a later time at which a request with it was sent.
func (c *Crash) add(b BrokenTrait) {
	for n := range c.Traits {
		if c.Traits[n].Trait == b.Trait {
			if b.SentAt.After(c.Traits[n].SentAt) {
				c.Traits[n].SentAt = b.SentAt
			}
			return
		}
	}
	if len(c.Traits) < maxCrashTraits {
		c.Traits = append(c.Traits, b)
	}
}
