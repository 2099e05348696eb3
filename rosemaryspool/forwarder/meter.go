package forwarder

import "rosemaryspool.example/core/identifier"

// Meter counts the requests of accounts that have begun to run.
type Meter interface {
	Began(caller identifier.CallerID)
}

// MeterWith sets the meter; it must be called before the forwarder serves.
func (f *Forwarder) MeterWith(m Meter) { f.usage = m }

// meter counts the request once an upstream has begun to run it. What is passed on is counted by the instance that sends
// it to the upstream.
func (e *exchange) meter() {
	if e.metered || e.last.peer != "" || e.forwarder.usage == nil {
		return
	}
	e.metered = true
	e.forwarder.usage.Began(e.callerID())
}
