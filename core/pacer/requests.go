package pacer

import "time"

const (
	// firstRequestWait is how long an instance waits for the first datagram of a snapshot before it asks again.
	firstRequestWait = 50 * time.Millisecond
	// quickRequests is the number of requests without a response before the wait doubles, up to maxRequestWait.
	quickRequests  = 5
	maxRequestWait = 3200 * time.Millisecond
)

// Requests decides when an instance asks another one for a snapshot of a topic. A snapshot of 3,000 upstreams takes 70 to 560
// datagrams. A lost datagram, or a view that shows that records are missing, must not lead to several snapshots from
// several instances at once, which fill the links and lose more datagrams. It is not safe for concurrent use.
type Requests struct {
	// tries is the number of requests for the next snapshot, failures that of the last ones after which nothing came.
	tries    int
	failures int
	// asked is true if nothing has come since the last request.
	asked bool
	// until is when the next request may be sent.
	until time.Time
}

// Ask reports whether a request may be sent now, and the number of those before it, by which the receiver is chosen.
func (r *Requests) Ask(now time.Time) (try int, due bool) {
	if now.Before(r.until) {
		return 0, false
	}
	if r.asked {
		r.failures++
	}
	r.asked = true
	r.tries++
	r.until = now.Add(r.wait())
	return r.tries - 1, true
}

// Progressed records that a datagram of a snapshot, or that there is one soon, has arrived.
func (r *Requests) Progressed(now time.Time) {
	r.asked, r.failures = false, 0
	if until := now.Add(r.wait()); until.After(r.until) {
		r.until = until
	}
}

// Completed records that a snapshot is complete.
func (r *Requests) Completed() { *r = Requests{} }

// Wait returns the time until a request may be sent.
func (r *Requests) Wait(now time.Time) time.Duration { return r.until.Sub(now) }

func (r *Requests) wait() time.Duration {
	wait := firstRequestWait
	for range r.failures - quickRequests {
		wait = min(2*wait, maxRequestWait)
	}
	return wait
}
