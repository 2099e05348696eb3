// Package meterer counts the requests of each account by windows of true time, adds up the counts of all instances and
// decides when a window is reported. It does no I/O.
package meterer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// Window is the number of a window: it begins that many times its length after the start of 1970.
type Window uint64

// WindowAt returns the window of a length in which a time lies.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(max(0, at.UnixNano()) / int64(length))
}

// End returns the time at which the window ends.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, (int64(w)+1)*int64(length)) }

// Usage counts the requests of accounts that began to run.
type Usage map[identifier.CallerID]uint64

// count holds the requests of one account in one window, and the version of the counter at their last change.
type count struct {
	requests uint64
	changed  uint64
}

// Counter counts the requests that begin at one instance. Its versions rise with each change.
type Counter struct {
	windows map[Window]map[identifier.CallerID]count
	version uint64
}

// NewCounter returns a counter without requests.
func NewCounter() *Counter { return &Counter{windows: map[Window]map[identifier.CallerID]count{}} }

// Count adds a request.
func (c *Counter) Count(w Window, caller identifier.CallerID) {
	callers := c.windows[w]
	if callers == nil {
		callers = map[identifier.CallerID]count{}
		c.windows[w] = callers
	}
	c.version++
	callers[caller] = count{requests: callers[caller].requests + 1, changed: c.version}
}

// Since returns the counts that have changed since a version, and the version now.
func (c *Counter) Since(version uint64) (map[Window]Usage, uint64) {
	changed := map[Window]Usage{}
	if version == c.version {
		return changed, version
	}
	for w, callers := range c.windows {
		for caller, n := range callers {
			if n.changed <= version {
				continue
			}
			if changed[w] == nil {
				changed[w] = Usage{}
			}
			changed[w][caller] = n.requests
		}
	}
	return changed, c.version
}

// Discard drops the windows before one.
func (c *Counter) Discard(before Window) {
	for w := range c.windows {
		if w < before {
			delete(c.windows, w)
		}
	}
}

// Sender is one process of an instance.
type Sender struct {
	Instance  identifier.InstanceID
	StartedMs int64
}

// Collector adds up the counts of all instances.
type Collector struct{ windows map[Window]map[Sender]Usage }

// NewCollector returns a collector without counts.
func NewCollector() *Collector { return &Collector{windows: map[Window]map[Sender]Usage{}} }

// Merge takes over a sender's counts of a window. Counts only rise, so repeated and reordered ones change nothing.
func (c *Collector) Merge(sender Sender, w Window, counts Usage) {
	senders := c.windows[w]
	if senders == nil {
		senders = map[Sender]Usage{}
		c.windows[w] = senders
	}
	known := senders[sender]
	if known == nil {
		known = make(Usage, len(counts))
		senders[sender] = known
	}
	for caller, n := range counts {
		known[caller] = max(known[caller], n)
	}
}

// Total returns the requests of all instances in a window.
func (c *Collector) Total(w Window) Usage {
	total := Usage{}
	for _, counts := range c.windows[w] {
		for caller, n := range counts {
			total[caller] += n
		}
	}
	return total
}

// Discard drops the windows before one.
func (c *Collector) Discard(before Window) {
	for w := range c.windows {
		if w < before {
			delete(c.windows, w)
		}
	}
}
