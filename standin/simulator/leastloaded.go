package simulator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// chooseEngines returns the engines for prefill and decode: the next one in rotation, or else the mixed engine or the
// pair of engines with the shortest estimated time for the request.
func (b *baseline) chooseEngines(now time.Time, r *baselineRequest) (prefill, decode *baselineEngine) {
	if b.rotate {
		e := b.nextInRotation(now)
		return e, e
	}
	output := max(r.arrived.ExpectedOutput-r.skip-1, 0)
	prefillTime := func(e *baselineEngine) float64 { return e.prefillSeconds(now) }
	decodeTime := func(e *baselineEngine) float64 { return e.decodeSeconds(now, output) }
	totalTime := func(e *baselineEngine) float64 { return prefillTime(e) + decodeTime(e) }
	mixed := b.leastLoaded(now, identifier.RoleMixed, totalTime)
	prefill = b.leastLoaded(now, identifier.RolePrefill, prefillTime)
	decode = b.leastLoaded(now, identifier.RoleDecode, decodeTime)
	if prefill == nil || decode == nil {
		return mixed, mixed
	}
	if mixed != nil && totalTime(mixed) < prefillTime(prefill)+decodeTime(decode) {
		return mixed, mixed
	}
	return prefill, decode
}

// nextInRotation returns the next usable engine that is not in its cooldown. If there is none, it returns the last one
// that it tried.
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

// leastLoaded returns the usable engine of a role with the least load. An engine in its cooldown is used only if there
// is no other.
func (b *baseline) leastLoaded(
	now time.Time, role identifier.Role, load func(*baselineEngine) float64,
) *baselineEngine {
	var best *baselineEngine
	least, bestCooling := 0.0, false
	for k := range b.order {
		// Instances start at different engines, so that ties don't send all of them to the same one.
		e := b.engines[b.order[(b.next+k)%len(b.order)]]
		if e.load.Role != role || !e.usable() {
			continue
		}
		cooling := now.Before(e.avoidUntil)
		l := load(e)
		if best == nil || bestCooling && !cooling || bestCooling == cooling && l < least {
			best, least, bestCooling = e, l, cooling
		}
	}
	return best
}

// usable reports whether the engine accepts new work according to its last report.
func (e *baselineEngine) usable() bool { return !e.load.Changing && !e.load.Leaving }

// unreportedWork returns the sum of the instance's dispatches within the report lag and deletes older ones.
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

// prefillSeconds returns how long the engine needs for the prefill that is queued on it.
func (e *baselineEngine) prefillSeconds(now time.Time) float64 {
	return float64(e.load.QueuedPrefill+e.unreportedWork(now).prefill) / max(e.load.PrefillPerSecond, 1)
}

// decodeSeconds returns how long a response takes in the engine's batch, including the wait for a slot in the batch.
func (e *baselineEngine) decodeSeconds(now time.Time, output identifier.Tokens) float64 {
	recent := e.unreportedWork(now)
	step := e.load.DecodeStep.Seconds()
	slots := float64(max(e.load.MaxBatch, 1))
	held := float64(e.load.Running + e.load.Waiting + recent.sequences)
	seconds := float64(output) * step * (1 + held/slots)
	if held > slots {
		pending := float64(e.load.PendingOutput + recent.decode)
		seconds += pending / held * step * (held - slots) / slots
	}
	return seconds
}
