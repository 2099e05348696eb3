package simulator

import (
	"cmp"
	"slices"
	"time"
)

// entry is one action scheduled for a time on the fake clock.
type entry struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// before reports whether the entry runs before the other: by time, then in the order of scheduling.
func (e entry) before(other entry) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// calendar is the event calendar of the simulation: a min-heap of actions and the fake clock that they advance.
type calendar struct {
	now      time.Duration
	sequence uint64
	entries  []entry
}

// at schedules an action for a time, or for now if that time has passed.
func (c *calendar) at(when time.Duration, action func()) {
	c.sequence++
	c.entries = append(c.entries, entry{max(when, c.now), c.sequence, action})
	i := len(c.entries) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !c.entries[i].before(c.entries[parent]) {
			return
		}
		c.entries[i], c.entries[parent] = c.entries[parent], c.entries[i]
		i = parent
	}
}

// after schedules an action after a delay.
func (c *calendar) after(delay time.Duration, action func()) { c.at(c.now+delay, action) }

// run executes all actions due by end in order and advances the clock to end.
func (c *calendar) run(end time.Duration) {
	for len(c.entries) > 0 && c.entries[0].at <= end {
		first := c.pop()
		c.now = first.at
		first.action()
	}
	c.now = max(c.now, end)
}

// pop removes and returns the earliest entry.
func (c *calendar) pop() entry {
	first := c.entries[0]
	last := len(c.entries) - 1
	c.entries[0] = c.entries[last]
	c.entries[last] = entry{}
	c.entries = c.entries[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && c.entries[child+1].before(c.entries[child]) {
			child++
		}
		if !c.entries[child].before(c.entries[i]) {
			return first
		}
		c.entries[i], c.entries[child] = c.entries[child], c.entries[i]
		i = child
	}
}

// sortRequests sorts requests by arrival time and keeps the order of equal ones.
func sortRequests(requests []Request) {
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
}
