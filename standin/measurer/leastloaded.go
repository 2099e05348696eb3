package measurer

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// choose returns the engines for prefill and decode: by rotation, or the mixed engine or pair with the least load in the
// way of the request.
func (b *baseline) chooseEngines(now time.Time, r *baselineRequest) (prefill, decode *baselineEngine) {
	if b.rotate {
		e := b.nextInRotation(now)
		return e, e
	}
	output := max(r.arrived.ExpectedOutput-r.skip-1, 0)
	before := func(e *baselineEngine) float64 { return e.prefillSeconds(now) }
	after := func(e *baselineEngine) float64 { return e.decodeSeconds(now, output) }
	both := func(e *baselineEngine) float64 { return before(e) + after(e) }
	mixed := b.leastLoaded(now, identifier.RoleMixed, both)
	prefill = b.leastLoaded(now, identifier.RolePrefill, before)
	decode = b.leastLoaded(now, identifier.RoleDecode, after)
	if prefill == nil || decode == nil {
		return mixed, mixed
	}
	if mixed != nil && both(mixed) < before(prefill)+after(decode) {
		return mixed, mixed
	}
	return prefill, decode
}

// rotation returns the next engine in turn that may be used.
func (b *baseline) nextInRotation(now time.Time) *baselineEngine {
	var last *baselineEngine
	for range b.order {
		b.next++
		last = b.engines[b.order[b.next%len(b.order)]]
		if last.usable() && !now.Before(last.avoidUntil) {
			return last
		}
	}
	return last
}

// least returns the usable engine of a role with the least load; one that failed lately serves when no other can.
func (b *baseline) leastLoaded(now time.Time, role identifier.Role, load func(*baselineEngine) float64) *baselineEngine {
	var best *baselineEngine
	least, avoided := 0.0, false
	for k := range b.order {
		// Each instance begins at another engine, so that equal loads don't send all instances to the same one.
		e := b.engines[b.order[(b.next+k)%len(b.order)]]
		if e.load.Role != role || !e.usable() {
			continue
		}
		avoid := now.Before(e.avoidUntil)
		l := load(e)
		if best == nil || avoided && !avoid || avoided == avoid && l < least {
			best, least, avoided = e, l, avoid
		}
	}
	return best
}

// usable reports whether the engine takes new work, as far as is known.
func (e *baselineEngine) usable() bool { return !e.load.Changing && !e.load.Leaving }

// recent returns own work that the last report may not show.
func (e *baselineEngine) unreportedWork(now time.Time) baselineWork {
	var sum baselineWork
	kept := e.dispatched[:0]
	for _, w := range e.dispatched {
		if now.Sub(w.at) > baselineReportLag {
			continue
		}
		kept = append(kept, w)
		sum.prefill += w.prefill
		sum.decode += w.decode
		sum.sequences += w.sequences
	}
	e.dispatched = kept
	return sum
}

// prefillSeconds returns how long the engine needs for the prefill that it is known to hold.
func (e *baselineEngine) prefillSeconds(now time.Time) float64 {
	return float64(e.load.QueuedPrefill+e.unreportedWork(now).prefill) / max(e.load.PrefillPerSecond, 1)
}

// decodeSeconds returns how long an answer takes in the engine's batch, with the wait for a place in it.
func (e *baselineEngine) decodeSeconds(now time.Time, output identifier.Tokens) float64 {
	recent := e.unreportedWork(now)
	step := e.load.DecodeStep.Seconds()
	places := float64(max(e.load.MaxBatch, 1))
	held := float64(e.load.Running + e.load.Waiting + recent.sequences)
	seconds := float64(output) * step * (1 + held/places)
	if held > places {
		pending := float64(e.load.PendingOutput + recent.decode)
		seconds += pending / held * step * (held - places) / places
	}
	return seconds
}
