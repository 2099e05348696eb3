package router

import (
	"cmp"
	"slices"
)

// spread makes the random part of the choice. All instances see the same late reports; if each took the engine that
// looks best, they would all take the same one. What the others have sent since the reports were measured is poured
// over the engines as water over an uneven ground: each engine is chosen with the share that it would get of it.
func (r *Router) spread(q Request) {
	if len(r.parts) < 2 {
		return
	}
	age := r.age()
	if !r.Preferred(q.Prompt) {
		r.spreadPrefill(age * q.Others.Prefill)
	} else {
		for i := range r.parts {
			r.parts[i].prefillCost += r.random.Float64() * r.settings.Spread.Seconds()
		}
	}
	if q.LongOutput >= longOutput {
		r.spreadDecode(age * q.Others.Sequences)
	}
}

// chosenBonus in seconds puts the engine that was drawn before all others.
const chosenBonus = 1

// longOutput is the output from which on an answer takes a lasting place in a batch.
const longOutput = 8

// age returns the mean age of the candidates' reports, within reason.
func (r *Router) age() float64 {
	sum := 0.0
	for i := range r.parts {
		sum += min(r.parts[i].engine.AgeSeconds(r.now), r.settings.OldestReport.Seconds())
	}
	return sum / float64(len(r.parts))
}

// spreadPrefill chooses the prefill engine; seconds of unseen work lie over the costs as water over ground.
func (r *Router) spreadPrefill(seconds float64) {
	r.order = r.order[:0]
	for i := range r.parts {
		if r.parts[i].canPrefill {
			r.order = append(r.order, i)
		}
	}
	if len(r.order) < 2 {
		return
	}
	slices.SortFunc(r.order, func(a, b int) int { return cmp.Compare(r.parts[a].prefillCost, r.parts[b].prefillCost) })
	seconds = max(seconds, r.settings.Spread.Seconds())
	level, below := 0.0, 0
	sum := 0.0
	for k, i := range r.order {
		sum += r.parts[i].prefillCost
		level = (seconds + sum) / float64(k+1)
		below = k + 1
		if below == len(r.order) || level <= r.parts[r.order[below]].prefillCost {
			break
		}
	}
	least := r.parts[r.order[0]].prefillCost
	left := r.random.Float64() * seconds
	for _, i := range r.order[:below] {
		p := &r.parts[i]
		depth := level - p.prefillCost
		p.unseen = max(0, depth)
		if left >= 0 && left < depth {
			p.prefillCost = least - chosenBonus
		}
		left -= depth
	}
}

// spreadDecode chooses the decode engine: the unseen sequences fill the free places of the best engines one by one.
func (r *Router) spreadDecode(sequences float64) {
	r.order = r.order[:0]
	for i := range r.parts {
		if r.parts[i].canDecode {
			r.order = append(r.order, i)
		}
	}
	if len(r.order) < 2 {
		return
	}
	slices.SortFunc(r.order, func(a, b int) int { return cmp.Compare(r.parts[a].decodeCost, r.parts[b].decodeCost) })
	least := r.parts[r.order[0]].decodeCost
	left := r.random.Float64() * (sequences + 1)
	for _, i := range r.order {
		p := &r.parts[i]
		room := max(1, float64(p.places))
		if left < room {
			p.decodeCost = least - chosenBonus
			return
		}
		left -= room
	}
}
