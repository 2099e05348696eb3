package allocator

import (
	"time"

	"rosemaryspool.example/core/identifier"
)

// option is one way to serve a request: at one upstream, or with the prefill at another engine than the decode.
type option struct {
	upstream  *upstream
	prefiller *upstream
	// tokens is the number of prompt tokens that are expected to be prefilled.
	tokens identifier.Tokens
	// queued is the time spent waiting for other requests.
	queued time.Duration
	// predicted is the time to the first event; cost adds the delay that the option causes for other requests.
	predicted time.Duration
	cost      time.Duration
}

// reader returns the upstream that prefills the prompt.
func (o option) reader() *upstream {
	if o.prefiller != nil {
		return o.prefiller
	}
	return o.upstream
}

// orCheaper returns the cheaper one of two options. One without an upstream is none.
func (o option) orCheaper(other option) option {
	if o.upstream == nil || other.cost < o.cost {
		return other
	}
	return o
}

// directOption is the option to prefill and decode at the same engine.
func (d *decision) directOption(u *upstream, aff affinity) option {
	tokens := d.allocator.uncachedTokens(d.req, u, aff)
	queued := d.slotWait(u, 0) + d.paced(u, d.timings.mixedPrefill.slope(d.ahead(u)))
	work := d.paced(u, d.timings.mixedPrefill.slope(tokens))
	predicted := queued + d.timings.mixedPrefill.base + work + d.timings.firstEventDelay.value
	return option{
		upstream: u, tokens: tokens, queued: queued, predicted: predicted,
		cost: predicted + d.engineTimeCost(work) + d.interferenceCost(u, work) + d.remoteCost(u) + d.longAnswerCost(u),
	}
}

// interferenceCost is the cost of a prefill to the answers that an engine decodes: each of them stalls for about that
// time, and one stall may make a whole answer late.
func (d *decision) interferenceCost(u *upstream, work time.Duration) time.Duration {
	load := u.load()
	short := d.allocator.settings.InterferenceWeight * float64(load.Short+load.AwaitingPrefill)
	return time.Duration((float64(load.Long) + short) * float64(work))
}

// splitOption is the option to prefill at one engine and decode at another.
func (d *decision) splitOption(prefiller, runner *upstream, aff affinity) option {
	tokens := d.allocator.uncachedTokens(d.req, prefiller, aff)
	ahead := d.paced(prefiller, d.timings.prefill.slope(d.ahead(prefiller)))
	work := d.paced(prefiller, d.timings.prefill.slope(tokens))
	// Slots become free during the prefill elsewhere, but the other requests that await their prefill elsewhere take
	// slots too.
	wait := d.slotWait(runner, runner.load().AwaitingPrefill)
	predicted := max(wait, d.timings.prefill.base+ahead+work) + d.timings.firstEventDelay.value
	return option{
		upstream: runner, prefiller: prefiller, tokens: tokens, queued: max(ahead, wait-work, 0), predicted: predicted,
		cost: predicted + d.engineTimeCost(work) + d.remoteCost(prefiller) + d.remoteCost(runner) +
			d.longAnswerCost(runner),
	}
}

func (d *decision) engineTimeCost(work time.Duration) time.Duration {
	return time.Duration(d.allocator.settings.EngineTimeWeight * float64(work))
}

// leastLoaded returns the engine of each version with the lowest cost of decoding a prompt that another engine prefills:
// mainly the wait for a slot, the cost of another data centre and, for a long answer, of the long answers there; then 1 ms
// for each short answer, also for those that await their prefill elsewhere, and a quarter of the queued prefill's time.
func (d *decision) leastLoaded(runners []*upstream) map[identifier.SoftwareVersion]*upstream {
	best := map[identifier.SoftwareVersion]*upstream{}
	least := map[identifier.SoftwareVersion]time.Duration{}
	for _, u := range runners {
		version := u.entry.Version
		load := u.load()
		cost := d.slotWait(u, load.AwaitingPrefill) + d.remoteCost(u) +
			time.Duration(load.Short+load.AwaitingPrefill)*time.Millisecond +
			d.paced(u, d.timings.mixedPrefill.slope(d.queuedPrefill(u)))/4 + d.longAnswerCost(u)
		if best[version] == nil || cost < least[version] {
			best[version], least[version] = u, cost
		}
	}
	return best
}

// slotWait predicts the wait for a slot behind the requests at an upstream and a number of requests that await their
// prefill elsewhere.
func (d *decision) slotWait(u *upstream, awaiting int) time.Duration {
	load := u.load()
	// Long answers keep their slots; only the other slots become free as short answers end.
	slots := max(1, u.entry.Slots-load.Long)
	ahead := load.Short + awaiting - slots + 1
	if ahead <= 0 {
		return 0
	}
	return d.paced(u, time.Duration(ahead)*d.timings.slotHoldTime.value/time.Duration(slots))
}

func (d *decision) remoteCost(u *upstream) time.Duration {
	if u.entry.DataCentre == d.dataCentre {
		return 0
	}
	return d.allocator.settings.RemoteCost
}
