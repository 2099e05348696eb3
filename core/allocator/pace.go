package allocator

import "time"

// pace is what an instance has measured of a service's upstreams.
type pace struct {
	memory float64
	// first is the time from dispatch to the first event at an upstream with a free slot and a read prompt.
	first time.Duration
	// residence is how long a short answer holds its slot, long how long a long one does.
	residence time.Duration
	// read is the time of one prompt's read at an engine that only reads; direct the same at an engine that also makes tokens.
	read   time.Duration
	direct time.Duration
}

func newPace(s Settings) *pace {
	return &pace{
		memory: s.Memory, first: s.Residence / 2, residence: s.Residence, read: s.ReadTime, direct: 2 * s.ReadTime,
	}
}

func (p *pace) move(estimate *time.Duration, measured time.Duration) {
	*estimate += time.Duration(p.memory * float64(measured-*estimate))
}
