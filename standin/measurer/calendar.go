package measurer

import (
	"cmp"
	"slices"
	"time"
)

// entry is one act at a time of the fake clock.
type entry struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// before orders entries by time, then by when they were added.
func (e entry) before(other entry) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// calendar is a heap of acts that runs on a fake clock.
type calendar struct {
	now      time.Duration
	sequence uint64
	entries  []entry
}

// at adds an act at a time, or now when the time has passed.
func (c *calendar) at(when time.Duration, act func()) {
	c.sequence++
	c.entries = append(c.entries, entry{max(when, c.now), c.sequence, act})
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

// after adds an act after a delay.
func (c *calendar) after(delay time.Duration, act func()) { c.at(c.now+delay, act) }

// run carries out the acts up to the end in order and moves the clock there.
func (c *calendar) run(end time.Duration) {
	for len(c.entries) > 0 && c.entries[0].at <= end {
		first := c.pop()
		c.now = first.at
		first.action()
	}
	c.now = max(c.now, end)
}

// pop removes the earliest entry.
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

// sortRequests orders requests by arrival.
func sortRequests(requests []Request) {
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
}
