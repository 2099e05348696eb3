package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/core/speedometer"
	"rosemaryspool.example/core/tracker"
)

// speedsOf returns the speeds of a service's upstreams.
func (a *Allocator) speedsOf(service identifier.ServiceName) *speedometer.Speedometer {
	s := a.speeds[service]
	if s == nil {
		s = speedometer.NewSpeedometer()
		a.speeds[service] = s
	}
	return s
}

// followSpeed starts to follow the speed of a listed upstream. Another incarnation or version starts anew.
func (a *Allocator) followSpeed(e tracker.Entry) {
	a.speedsOf(e.Service).Add(e.Upstream, speedometer.Identity{Incarnation: e.Incarnation, Version: e.Version})
}

// forgetSpeed ends that.
func (a *Allocator) forgetSpeed(id identifier.UpstreamID) {
	for _, s := range a.speeds {
		s.Remove(id)
	}
}

// mainWork is the work whose speed an upstream's waiting times depend on.
func mainWork(e tracker.Entry) speedometer.Work {
	switch e.Role {
	case tracker.RolePrefill:
		return speedometer.Prefill
	case tracker.RoleDecode:
		return speedometer.MixedPrefill
	default:
		return speedometer.Hold
	}
}

// pace returns how long an upstream takes for its main work now, relative to the others of its service.
func (a *Allocator) pace(now time.Time, e tracker.Entry) float64 {
	return a.speedsOf(e.Service).Factor(now, e.Upstream, mainWork(e))
}

// paced adapts a time that is usual for the service to the pace of an upstream.
func (d *decision) paced(u *upstream, usual time.Duration) time.Duration {
	return time.Duration(d.allocator.pace(d.now, u.entry) * float64(usual))
}

// Progressed records that a stream of a long answer has brought events in a time, and so how fast its upstream decodes.
func (a *Allocator) Progressed(now time.Time, p Placement, events int, took time.Duration) {
	u := a.runner(p)
	if u == nil || !p.Long || events <= 0 || took <= 0 {
		return
	}
	a.record(now, u, Observation{
		Event: EventProgressed, Took: took, Tokens: identifier.Tokens(events),
	})
}

// observeProgress updates the time from event to event, and how fast the upstream decodes relative to it.
func (t *timings) observeProgress(now time.Time, s *speedometer.Speedometer, u *upstream, o Observation) {
	if o.Took <= 0 || o.Tokens <= 0 {
		return
	}
	each := o.Took / time.Duration(o.Tokens)
	s.Observe(now, u.entry.Upstream, speedometer.Decode, float64(each)/float64(t.eventGap.value))
	t.eventGap.observe(time.Duration(float64(each) / s.Factor(now, u.entry.Upstream, speedometer.Decode)))
}

// observeLongAnswer updates how long a long answer holds its slot.
func (t *timings) observeLongAnswer(s *speedometer.Speedometer, u *upstream, o Observation) {
	if o.Took > 0 {
		t.longAnswer.observe(time.Duration(float64(o.Took) / s.Steady(u.entry.Upstream, speedometer.Decode)))
	}
}

// minShortSlots is the number of slots of a quick engine that are left to short answers, which would wait for seconds
// otherwise. Engines with few slots have none beyond them.
const minShortSlots = 6

// longAnswerCost is the cost of one more long answer at an engine. Where engines decode at different steady speeds, it is
// what the answer takes longer there than at the usual engine, down to its last event, so that it goes to a quick one
// while that has slots for it; among equal engines it spreads long answers.
func (d *decision) longAnswerCost(u *upstream) time.Duration {
	if !d.isLong() {
		return 0
	}
	factor := d.allocator.speedsOf(u.entry.Service).Steady(u.entry.Upstream, speedometer.Decode)
	long := u.load().Long
	cost := time.Duration(factor * float64(long) * float64(d.allocator.settings.LongAnswerPenalty))
	if factor < 1 && long+minShortSlots >= u.entry.Slots {
		return cost
	}
	return cost + time.Duration((factor-1)*float64(d.timings.longAnswer.value))
}

// TakeSpeedChanges returns the changes of speed classes of a service's upstreams since the last call.
func (a *Allocator) TakeSpeedChanges(service identifier.ServiceName) []speedometer.Change {
	return a.speedsOf(service).TakeChanges()
}

// HandOverSpeeds returns what this instance has learned of the speeds of some upstreams, at most limit, for another one
// that may become arbiter.
func (a *Allocator) HandOverSpeeds(service identifier.ServiceName, limit int) []speedometer.Speed {
	return a.speedsOf(service).Handover(limit)
}

// LearnSpeed applies what another instance has learned of an upstream's speed.
func (a *Allocator) LearnSpeed(service identifier.ServiceName, s speedometer.Speed) {
	a.speedsOf(service).Learn(s)
}

// CountSpeeds returns how many upstreams of a service are in a class.
func (a *Allocator) CountSpeeds(
	service identifier.ServiceName, work speedometer.Work, class speedometer.Class,
) int {
	return a.speedsOf(service).Count(work, class)
}
