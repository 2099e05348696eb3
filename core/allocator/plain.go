package allocator

// plainOption is the option to run the request at an upstream that is not an engine.
func (d *decision) plainOption(u *upstream) option {
	wait := d.slotWait(u, 0)
	own := d.paced(u, d.timings.slotHoldTime.value)
	return option{upstream: u, queued: wait, predicted: own + wait, cost: own + wait + d.remoteCost(u)}
}

// bestPlain returns the option with the lowest cost among upstreams that are not engines. If it is not admissible, it returns
// the best one that is and that ends before the deadline: a free slot at a slower upstream takes nothing from other requests.
func (d *decision) bestPlain(runners []*upstream) option {
	var best, admissible option
	for _, u := range runners {
		o := d.plainOption(u)
		best = best.orCheaper(o)
		if o.predicted <= d.req.TimeToDeadline && d.admissible(o) {
			admissible = admissible.orCheaper(o)
		}
	}
	if admissible.upstream != nil && !d.admissible(best) {
		return admissible
	}
	return best
}
